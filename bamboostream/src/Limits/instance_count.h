#pragma once

#include "bamboostream/src/Core/clock.h"

#include <algorithm>
#include <cstddef>
#include <deque>

namespace bamboostream {

/// The number of live instances that this one sees, now and in the last minute.
///
/// An instance that sees fewer than before can't tell whether the others have ended or are cut off
/// from it and go on, so it divides a common limit by the larger number. Not thread-safe.
class instance_count {
public:
    /// Sets the number of live instances, this one included.
    void update(std::size_t live, time_point now);
    std::size_t live() const { return live_; }
    /// The largest number in the last minute.
    std::size_t max_recent() const {
        return recent_.empty() ? live_ : std::max(live_, recent_.front().live);
    }

private:
    struct sample {
        time_point at;
        std::size_t live;
    };
    std::size_t live_ = 1;
    /// Recent counts, oldest first and strictly decreasing: the front is the maximum.
    std::deque<sample> recent_;
};

} // namespace bamboostream
