#include "bamboostream/src/Forwarding/forwarding_state.h"

namespace bamboostream {

std::string_view to_string(forward_result result) {
    static constexpr std::array<std::string_view, static_cast<std::size_t>(forward_result::count_)>
        names = {"answered",  "backend_failed", "not_run",     "unknown",
                 "timed_out", "broken_off",     "caller_left", "rejected"};
    return names[static_cast<std::size_t>(result)];
}

} // namespace bamboostream
