#include "bamboostream/src/Gateway/telling_delay.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// No machine runs for a century; a telling that says so is damaged, and mustn't overflow.
constexpr milliseconds longest_clock = std::chrono::hours(24 * 36'500);

} // namespace

milliseconds telling_delay::beyond_least(const std::string& teller, std::int64_t stamp,
                                         milliseconds told_at, milliseconds heard_at) {
    const milliseconds difference = heard_at - std::clamp(told_at, milliseconds{0}, longest_clock);
    const auto [found, is_new] = by_teller_.try_emplace(teller);
    auto& [known_stamp, d] = found->second;
    if (is_new || known_stamp != stamp) {
        std::erase_if(by_teller_, [&](const auto& item) {
            return item.first != teller && heard_at - item.second.second.span_began > 3 * span;
        });
        found->second = {stamp, {heard_at, difference, std::nullopt}};
        return milliseconds{0};
    }
    if (heard_at - d.span_began >= span) {
        d.least_before = d.least;
        d.least = difference;
        d.span_began = heard_at;
    }
    d.least = std::min(d.least, difference);
    return difference - std::min(d.least, d.least_before.value_or(d.least));
}

} // namespace bamboostream
