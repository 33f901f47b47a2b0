#include "bamboostream/src/Gateway/store_read_policy.h"

#include <algorithm>

namespace bamboostream {

void store_read_policy::record_view(const std::string& teller, record_topic topic,
                                    time_point as_of) {
    const auto [found, added] = told_.try_emplace({teller, topic}, as_of);
    found->second = std::max(found->second, as_of);
}

bool store_read_policy::is_covered(record_topic topic, std::span<const std::string> order,
                                   std::string_view self, milliseconds limit,
                                   time_point now) const {
    const auto place = std::find(order.begin(), order.end(), self);
    return std::any_of(order.begin(), place, [&](const std::string& teller) {
        const auto found = told_.find({teller, topic});
        return found != told_.end() && now - found->second <= limit;
    });
}

store_read_role store_read_policy::role_of(std::span<const std::string> order,
                                           std::string_view self) {
    const auto place = std::find(order.begin(), order.end(), self);
    if (place == order.end()) {
        return store_read_role::other;
    }
    const auto rank = static_cast<std::size_t>(place - order.begin());
    return rank < reader_count ? store_read_role::reader : store_read_role::standby;
}

bool store_read_policy::must_read(record_topic topic, std::span<const std::string> order,
                                  std::string_view self, time_point now) const {
    const read_timing times = read_timing_of(topic);
    switch (role_of(order, self)) {
    case store_read_role::reader:
        return true;
    case store_read_role::standby:
        return !is_covered(topic, order, self, times.max_view_age, now);
    case store_read_role::other:
        break;
    }
    return !is_covered(topic, order, self, times.fallback_view_age, now);
}

milliseconds store_read_policy::read_wait(record_topic topic, std::span<const std::string> order,
                                          std::string_view self, time_point now) const {
    const read_timing times = read_timing_of(topic);
    return is_covered(topic, order, self, times.max_view_age, now) ? relaxed_wait : times.wait;
}

milliseconds store_read_policy::failure_backoff(store_read_role role, int failures) {
    constexpr milliseconds reader_pause{250};
    constexpr milliseconds substitute_pause{500};
    constexpr milliseconds first_pause{700};
    constexpr milliseconds longest_pause{2'800};
    if (role == store_read_role::reader) {
        return reader_pause;
    }
    if (role == store_read_role::standby) {
        return substitute_pause;
    }
    milliseconds pause = first_pause;
    for (int i = 1; i < failures && pause < longest_pause; ++i) {
        pause *= 2;
    }
    return std::min(pause, longest_pause);
}

} // namespace bamboostream
