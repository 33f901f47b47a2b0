#include "bamboostream/src/Gateway/announcement_delay.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// No machine runs for a century. An announcement with a larger clock value is damaged and must not
/// overflow the difference.
constexpr milliseconds max_clock = std::chrono::hours(24 * 36'500);

} // namespace

milliseconds announcement_delay::excess_over_min(const std::string& announcer, std::int64_t stamp,
                                                 milliseconds sent_at, milliseconds received_at) {
    const milliseconds difference = received_at - std::clamp(sent_at, milliseconds{0}, max_clock);
    const auto [found, is_new] = by_announcer_.try_emplace(announcer);
    auto& [known_stamp, d] = found->second;
    if (is_new || known_stamp != stamp) {
        std::erase_if(by_announcer_, [&](const auto& item) {
            return item.first != announcer &&
                   received_at - item.second.second.window_start > 3 * window;
        });
        found->second = {stamp, {received_at, difference, std::nullopt}};
        return milliseconds{0};
    }
    if (received_at - d.window_start >= window) {
        d.previous_min = d.current_min;
        d.current_min = difference;
        d.window_start = received_at;
    }
    d.current_min = std::min(d.current_min, difference);
    return difference - std::min(d.current_min, d.previous_min.value_or(d.current_min));
}

} // namespace bamboostream
