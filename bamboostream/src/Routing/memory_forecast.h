#pragma once

#include <array>
#include <cstddef>

namespace bamboostream {

/// Points of the forecast horizon, in output tokens ahead. Every running generation grows by one
/// token in each decoding step, so tokens ahead are also steps ahead.
inline constexpr std::array<double, 20> forecast_horizon = {
    0, 8, 16, 32, 48, 64, 96, 128, 160, 192, 256, 320, 384, 512, 640, 768, 1024, 1536, 2048, 4096};

/// Expected KV cache memory of one generation at each point of the horizon, in tokens, and its
/// variance: by then the generation has grown, or it has ended and holds nothing.
class memory_demand {
public:
    memory_demand() = default;
    /// A generation that holds `held` tokens now and still runs at each point of the horizon with
    /// the given probability.
    memory_demand(double held, const std::array<double, forecast_horizon.size()>& survival);

    /// A generation that holds `held` tokens now and ends after exactly `remaining` further ones.
    static memory_demand exact(double held, double remaining);

    double mean(std::size_t i) const { return mean_[i]; }
    double variance(std::size_t i) const { return variance_[i]; }

private:
    std::array<double, forecast_horizon.size()> mean_{};
    std::array<double, forecast_horizon.size()> variance_{};
};

/// Predicts the peak use of an engine's KV cache by the generations that run on it: the maximum
/// over the horizon of the expected sum plus `margin_sigmas` standard deviations.
///
/// A sum of final sizes would count memory that is never in use at the same time; a sum of medians
/// would ignore the tail of long outputs, which is what fills an engine.
///
/// Example: `if (forecast.peak_with(demand, 1.0) <= capacity) forecast.add(demand);`
class memory_forecast {
public:
    void clear();
    void add(const memory_demand& demand);
    double peak(double margin_sigmas) const { return peak_with({}, margin_sigmas); }
    /// The predicted peak if `candidate` also ran. Constant time, no allocation.
    double peak_with(const memory_demand& candidate, double margin_sigmas) const;
    std::size_t size() const { return count_; }
    /// Cache memory that all generations hold now.
    double held() const { return mean_[0]; }

private:
    std::array<double, forecast_horizon.size()> mean_{};
    std::array<double, forecast_horizon.size()> variance_{};
    std::size_t count_ = 0;
};

} // namespace bamboostream
