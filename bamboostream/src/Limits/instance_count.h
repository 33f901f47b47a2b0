#pragma once

#include "bamboostream/src/Core/clock.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>

namespace bamboostream {

/// The number of live instances that this one sees, now and in the last minute.
///
/// An instance that sees fewer than before can't tell whether the others have ended or are cut off
/// from it and go on, so it divides a common limit by the larger number, without those that are
/// known to have ended. Not thread-safe.
class instance_count {
public:
    /// Sets the number of live instances, this one included. `ended` counts the processes that are
    /// known to have ended since the start. One that turns out to be live moves from it to `live`.
    void update(std::size_t live, std::size_t ended, time_point now);
    /// As above, without knowledge of those that have ended.
    void update(std::size_t live, time_point now) { update(live, ended_, now); }
    std::size_t live() const { return live_; }
    /// The largest number in the last minute, without those that are known to have ended since.
    std::size_t max_recent() const {
        return recent_.empty() ? live_ : std::max(live_, recent_.front().begun - ended_);
    }
    /// Whether an instance has ended in the last 10 s, as is known, and every other one of the last
    /// minute is live.
    bool lost_only_ended(time_point now) const;

private:
    struct sample {
        time_point at;
        /// Live instances and those that had ended.
        std::size_t begun;
    };
    std::size_t live_ = 1;
    std::size_t ended_ = 0;
    std::optional<time_point> last_end_;
    /// Recent counts, oldest first and strictly decreasing: the front is the maximum.
    std::deque<sample> recent_;
};

} // namespace bamboostream
