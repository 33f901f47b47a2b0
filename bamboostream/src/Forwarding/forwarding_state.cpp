#include "bamboostream/src/Forwarding/forwarding_state.h"

namespace bamboostream {

std::string_view to_string(forward_result result) {
    static constexpr std::array<std::string_view, static_cast<std::size_t>(forward_result::count_)>
        names = {"answered",  "backend_failed", "not_run",     "unknown",
                 "timed_out", "broken_off",     "caller_left", "rejected"};
    return names[static_cast<std::size_t>(result)];
}

std::string_view to_string(continuation_refusal cause) {
    static constexpr std::array<std::string_view,
                                static_cast<std::size_t>(continuation_refusal::count_)>
        names = {"version_differs", "version_unavailable", "origin_unknown", "service_not_routed"};
    return names[static_cast<std::size_t>(cause)];
}

} // namespace bamboostream
