#pragma once

#include "bamboostream/src/Core/bounded_duration.h"
#include "bamboostream/src/Core/clamped_cast.h"

#include <boost/json.hpp>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <string_view>

namespace bamboostream {

/// The inclusive range of a whole number.
template <std::integral Number> struct number_range {
    Number min_value = std::numeric_limits<Number>::min();
    Number max_value = std::numeric_limits<Number>::max();
};

/// Reads a whole number of any size from a field of an external document. One that is out of range
/// becomes the nearer bound. A missing field, a fraction, or a value of another type yields
/// `default_value`.
template <std::integral Number>
Number bounded_number_at(const boost::json::value& value, std::string_view name,
                         Number default_value, number_range<Number> range = {}) {
    const boost::json::object* object = value.if_object();
    const boost::json::value* found = object != nullptr ? object->if_contains(name) : nullptr;
    if (found == nullptr) {
        return default_value;
    }
    if (const std::int64_t* whole = found->if_int64()) {
        return clamped_cast<Number>(*whole, range.min_value, range.max_value);
    }
    if (const std::uint64_t* whole = found->if_uint64()) {
        return clamped_cast<Number>(*whole, range.min_value, range.max_value);
    }
    const double* real = found->if_double();
    const bool is_whole = real != nullptr && std::trunc(*real) == *real;
    return is_whole ? clamped_cast<Number>(*real, range.min_value, range.max_value) : default_value;
}

/// Reads a number of milliseconds; one that is negative or beyond `max_read_duration` becomes the
/// nearer bound. A missing field, or one of another type, yields `default_value`.
milliseconds duration_at(const boost::json::value& value, std::string_view name,
                         milliseconds default_value = milliseconds{0});

} // namespace bamboostream
