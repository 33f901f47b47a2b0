#pragma once

#include <array>
#include <cstddef>

namespace bamboostream {

/// The moments ahead, in output tokens, at which memory is predicted. All running generations grow
/// by one token a step, so tokens ahead are also steps ahead.
inline constexpr std::array<double, 20> forecast_horizon = {
    0, 8, 16, 32, 48, 64, 96, 128, 160, 192, 256, 320, 384, 512, 640, 768, 1024, 1536, 2048, 4096};

/// What one generation is expected to hold of an engine's cache memory at each moment ahead, in
/// tokens, with the variance of that: it has grown by then, or has ended and holds nothing.
class memory_demand {
public:
    memory_demand() = default;
    /// A generation that holds `held` now and is still running at each moment ahead with the given
    /// probability.
    memory_demand(double held, const std::array<double, forecast_horizon.size()>& survival);

    /// A generation that holds `held` now and will end after exactly `remaining` further tokens.
    static memory_demand exact(double held, double remaining);

    double mean(std::size_t i) const { return mean_[i]; }
    double variance(std::size_t i) const { return variance_[i]; }

private:
    std::array<double, forecast_horizon.size()> mean_{};
    std::array<double, forecast_horizon.size()> variance_{};
};

/// Predicts the highest use of an engine's cache memory by the generations running on it: the
/// largest, over the moments ahead, of the expected sum plus `margin_sigmas` standard deviations.
///
/// Adding up the final sizes instead would count memory that is never in use at the same time;
/// taking each generation at its median would leave out the tail that fills an engine.
///
/// Example: `if (forecast.peak_with(demand, 1.0) <= capacity) forecast.add(demand);`
class memory_forecast {
public:
    void clear();
    void add(const memory_demand& demand);
    double peak(double margin_sigmas) const { return peak_with({}, margin_sigmas); }
    /// The peak if `candidate` also ran. Constant time; allocates nothing.
    double peak_with(const memory_demand& candidate, double margin_sigmas) const;
    std::size_t size() const { return count_; }
    /// Cache held now by all.
    double held() const { return mean_[0]; }

private:
    std::array<double, forecast_horizon.size()> mean_{};
    std::array<double, forecast_horizon.size()> variance_{};
    std::size_t count_ = 0;
};

} // namespace bamboostream
