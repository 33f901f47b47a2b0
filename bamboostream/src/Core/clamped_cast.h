#pragma once

#include <concepts>
#include <limits>
#include <utility>

namespace bamboostream {

/// Converts a whole number to another integer type. A value below `min_value` or above `max_value`
/// becomes that bound. Never overflows.
template <std::integral To, std::integral From>
constexpr To clamped_cast(From value, To min_value = std::numeric_limits<To>::min(),
                          To max_value = std::numeric_limits<To>::max()) {
    if (std::cmp_less(value, min_value)) {
        return min_value;
    }
    return std::cmp_greater(value, max_value) ? max_value : static_cast<To>(value);
}

/// Converts a number to an integer type and drops its fraction. A value below `min_value` or above
/// `max_value` becomes that bound, and one that is not a number becomes `min_value`. Never
/// overflows.
template <std::integral To>
constexpr To clamped_cast(double value, To min_value = std::numeric_limits<To>::min(),
                          To max_value = std::numeric_limits<To>::max()) {
    if (!(value > static_cast<double>(min_value))) {
        return min_value;
    }
    return value >= static_cast<double>(max_value) ? max_value : static_cast<To>(value);
}

} // namespace bamboostream
