#pragma once

#include "bamboostream/src/Core/clock.h"

#include <algorithm>
#include <cmath>

namespace bamboostream::internal {

/// Moving average of the rate at which a pool serves tokens while requests wait. While none wait
/// the observed rate is below what the pool could serve, so it isn't recorded.
class service_rate {
public:
    void add(double tokens) { tokens_ += tokens; }

    void update(bool saturated, time_point now) {
        if (last_ == time_point{}) {
            last_ = now;
            tokens_ = 0.0;
            return;
        }
        const double elapsed = std::chrono::duration<double>(now - last_).count();
        if (elapsed < sample_seconds) {
            saturated_ = saturated_ && saturated;
            return;
        }
        if (saturated_ && saturated) {
            learn(tokens_ / elapsed, elapsed);
        }
        saturated_ = saturated;
        last_ = now;
        tokens_ = 0.0;
    }

    /// Whether enough saturated time has been observed for the rate to be reliable.
    bool known() const { return seen_seconds_ >= trusted_seconds; }
    double tokens_per_second() const { return rate_; }

private:
    static constexpr double sample_seconds = 0.25;
    static constexpr double trusted_seconds = 1.5;
    static constexpr double average_seconds = 4.0;

    void learn(double rate, double elapsed) {
        seen_seconds_ += elapsed;
        const double horizon = std::min(seen_seconds_, average_seconds);
        rate_ += (rate - rate_) * std::min(1.0, elapsed / horizon);
    }

    double tokens_ = 0.0;
    double rate_ = 0.0;
    double seen_seconds_ = 0.0;
    time_point last_{};
    bool saturated_ = false;
};

} // namespace bamboostream::internal
