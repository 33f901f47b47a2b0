#pragma once

#include "bamboostream/src/Core/clock.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace bamboostream {

/// Bytes that may be used at once and per second (a token bucket). Not thread-safe.
class byte_allowance {
public:
    byte_allowance(std::size_t burst, std::size_t per_second)
        : burst_(static_cast<double>(burst)), per_second_(static_cast<double>(per_second)),
          left_(burst_) {}

    /// Uses `bytes`, also if there are fewer left; false if there are none left then.
    bool use(std::size_t bytes, time_point now) {
        const double elapsed_s = updated_ ? to_milliseconds(now - *updated_) / 1000.0 : 0.0;
        left_ = std::min(burst_, left_ + elapsed_s * per_second_) - static_cast<double>(bytes);
        updated_ = now;
        return left_ > 0.0;
    }

private:
    double burst_;
    double per_second_;
    double left_;
    std::optional<time_point> updated_;
};

} // namespace bamboostream
