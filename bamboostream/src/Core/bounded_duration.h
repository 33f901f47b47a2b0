#pragma once

#include "bamboostream/src/Core/clock.h"

#include <algorithm>
#include <cmath>

namespace bamboostream {

/// Longest duration that a number from outside the process is converted to: about a hundred years.
/// Adding it to the present time doesn't overflow.
inline constexpr milliseconds max_read_duration = std::chrono::hours(24 * 365 * 100);

/// Converts a number of milliseconds from outside the process. A number beyond `max_read_duration`
/// in either direction becomes that bound.
constexpr milliseconds bounded_milliseconds(std::int64_t ms) {
    return std::clamp(milliseconds(ms), -max_read_duration, max_read_duration);
}

/// Converts fractional milliseconds from outside the process and drops the fraction. A number
/// beyond `max_read_duration` in either direction becomes that bound, and one that is not a number
/// becomes zero.
inline milliseconds bounded_milliseconds(double ms) {
    constexpr auto bound = static_cast<double>(max_read_duration.count());
    const double bounded = std::isnan(ms) ? 0.0 : std::clamp(ms, -bound, bound);
    return milliseconds(static_cast<std::int64_t>(bounded));
}

} // namespace bamboostream
