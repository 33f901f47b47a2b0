#include "bamboostream/src/Gateway/announcement_delay.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// No machine runs for a century; a telling that says so is damaged, and mustn't overflow.
constexpr milliseconds longest_clock = std::chrono::hours(24 * 36'500);

} // namespace

milliseconds announcement_delay::excess_over_min(const std::string& teller, std::int64_t stamp,
                                                 milliseconds told_at, milliseconds heard_at) {
    const milliseconds difference = heard_at - std::clamp(told_at, milliseconds{0}, longest_clock);
    const auto [found, is_new] = by_teller_.try_emplace(teller);
    auto& [known_stamp, d] = found->second;
    if (is_new || known_stamp != stamp) {
        std::erase_if(by_teller_, [&](const auto& item) {
            return item.first != teller && heard_at - item.second.second.window_start > 3 * window;
        });
        found->second = {stamp, {heard_at, difference, std::nullopt}};
        return milliseconds{0};
    }
    if (heard_at - d.window_start >= window) {
        d.previous_min = d.current_min;
        d.current_min = difference;
        d.window_start = heard_at;
    }
    d.current_min = std::min(d.current_min, difference);
    return difference - std::min(d.current_min, d.previous_min.value_or(d.current_min));
}

} // namespace bamboostream
