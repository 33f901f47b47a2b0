#pragma once

#include "bamboostream/src/Core/clock.h"

#include <optional>

namespace bamboostream {

/// Measures how long requests have been refused without a pause.
///
/// An overload that has lasted for some time is likely to last as long again: callers that retry
/// soon during a long overload are refused a second time and get no response at all. Callers
/// refused in a transient overload find free capacity when they retry soon. Not thread-safe.
///
/// Example: `const duration overload = tracker.record_refusal(now);`
class overload_tracker {
public:
    /// Records that a request is refused for lack of capacity. Returns how long the overload has
    /// lasted, zero for its first refusal.
    duration record_refusal(time_point now) {
        if (!since_ || now - latest_ > max_pause) {
            since_ = now;
        }
        latest_ = now;
        return now - *since_;
    }

private:
    /// The overload is over after this time without a refusal.
    static constexpr milliseconds max_pause{1'000};

    std::optional<time_point> since_;
    time_point latest_{};
};

} // namespace bamboostream
