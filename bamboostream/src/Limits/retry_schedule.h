#pragma once

#include "bamboostream/src/Core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace bamboostream {

/// Assigns retry times to refused callers, spaced at the rate that the pool can serve, so that
/// callers refused in a burst don't cause a second burst when they retry. A caller that returns at
/// its time is admitted; the reservation of one that never returns expires.
class retry_schedule {
public:
    /// Reserves a retry time for the request with `id` and returns the time until then; repeated
    /// before that time, it returns the same reservation. `queue_time` is the time until the
    /// requests that wait now are served, `service_time` the time that this request adds to it.
    milliseconds reserve(std::uint64_t id, const std::string& workspace, duration queue_time,
                         duration service_time, double tokens, time_point now);
    /// Uses the reservation of a request that has returned. False if there is none or the request
    /// is early by more than the tolerance; the reservation is kept then.
    bool redeem(std::uint64_t id, time_point now);
    /// Expected tokens of the reservations that are due by `until`.
    double tokens_due(time_point until) const;
    /// Removes reservations whose callers have not returned in time.
    void expire(time_point now);
    std::size_t size() const { return reservations_.size(); }

private:
    struct reservation {
        time_point due{};
        double tokens = 0.0;
    };
    std::unordered_map<std::uint64_t, reservation> reservations_;
    std::unordered_map<std::string, time_point> next_due_;
};

} // namespace bamboostream
