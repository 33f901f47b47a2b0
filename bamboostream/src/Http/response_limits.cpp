#include "bamboostream/src/Http/response_limits.h"

#include <array>

namespace bamboostream {

std::string_view to_string(response_limit limit) {
    static constexpr std::array<std::string_view, static_cast<std::size_t>(response_limit::count_)>
        names = {"none",          "head_bytes",          "head_time", "interim_responses",
                 "framing_bytes", "body_bytes",          "body_time", "event_bytes",
                 "event_time",    "bytes_without_event", "memory",    "surplus_bytes"};
    return names.at(static_cast<std::size_t>(limit));
}

} // namespace bamboostream
