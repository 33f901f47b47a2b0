#include "bamboostream/src/Routing/memory_forecast.h"

#include <algorithm>
#include <cmath>

namespace bamboostream {

namespace {
/// Memory is allocated in blocks of 16 tokens; on average half of the last block is unused.
constexpr double half_block = 8.0;
} // namespace

memory_demand::memory_demand(double held,
                             const std::array<double, forecast_horizon.size()>& survival) {
    for (std::size_t i = 0; i < forecast_horizon.size(); ++i) {
        const double size = held + forecast_horizon[i] + half_block;
        mean_[i] = size * survival[i];
        variance_[i] = size * size * survival[i] * (1.0 - survival[i]);
    }
}

memory_demand memory_demand::exact(double held, double remaining) {
    memory_demand out;
    for (std::size_t i = 0; i < forecast_horizon.size(); ++i) {
        const bool last = i + 1 == forecast_horizon.size();
        const double until = last ? remaining : std::min(remaining, forecast_horizon[i + 1]);
        // The maximum that it holds before the next point of the horizon.
        out.mean_[i] = remaining > forecast_horizon[i] ? held + until + half_block : 0.0;
    }
    return out;
}

void memory_forecast::clear() {
    mean_.fill(0.0);
    variance_.fill(0.0);
    count_ = 0;
}

void memory_forecast::add(const memory_demand& demand) {
    for (std::size_t i = 0; i < mean_.size(); ++i) {
        mean_[i] += demand.mean(i);
        variance_[i] += demand.variance(i);
    }
    ++count_;
}

double memory_forecast::peak_with(const memory_demand& candidate, double margin_sigmas) const {
    double peak = 0.0;
    for (std::size_t i = 0; i < mean_.size(); ++i) {
        const double variance = variance_[i] + candidate.variance(i);
        peak = std::max(peak, mean_[i] + candidate.mean(i) + margin_sigmas * std::sqrt(variance));
    }
    return peak;
}

} // namespace bamboostream
