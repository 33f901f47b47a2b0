#include "bamboostream/src/Gateway/store_read_policy.h"

#include <algorithm>

namespace bamboostream {

void store_read_policy::record_view(const std::string& announcer, record_topic topic,
                                    time_point as_of) {
    const auto [found, added] = last_views_.try_emplace({announcer, topic}, as_of);
    found->second = std::max(found->second, as_of);
}

bool store_read_policy::is_covered(record_topic topic, std::span<const std::string> order,
                                   std::string_view self, milliseconds max_age,
                                   time_point now) const {
    const auto position = std::find(order.begin(), order.end(), self);
    return std::any_of(order.begin(), position, [&](const std::string& announcer) {
        const auto found = last_views_.find({announcer, topic});
        return found != last_views_.end() && now - found->second <= max_age;
    });
}

store_read_role store_read_policy::role_of(std::span<const std::string> order,
                                           std::string_view self) {
    const auto position = std::find(order.begin(), order.end(), self);
    if (position == order.end()) {
        return store_read_role::other;
    }
    const auto rank = static_cast<std::size_t>(position - order.begin());
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
    constexpr milliseconds initial_pause{700};
    constexpr milliseconds max_pause{2'800};
    if (role == store_read_role::reader) {
        return reader_pause;
    }
    if (role == store_read_role::standby) {
        return substitute_pause;
    }
    milliseconds pause = initial_pause;
    for (int i = 1; i < failures && pause < max_pause; ++i) {
        pause *= 2;
    }
    return std::min(pause, max_pause);
}

} // namespace bamboostream
