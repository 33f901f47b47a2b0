#include "bamboostream/src/Lengths/life_table.h"

#include <algorithm>
#include <cmath>

namespace bamboostream {

namespace {

constexpr double bins_per_doubling = 4.0;
/// Compensates for rounding errors at the edges of bins.
constexpr double edge_slack = 1e-9;

const std::array<double, life_table::bin_count + 1>& edges() {
    static const auto table = [] {
        std::array<double, life_table::bin_count + 1> out{};
        for (std::size_t i = 0; i < out.size(); ++i) {
            out[i] = std::exp2(static_cast<double>(i) / bins_per_doubling);
        }
        return out;
    }();
    return table;
}

} // namespace

std::size_t life_table::bin_of(double tokens) {
    const double position = std::log2(std::max(tokens, 1.0)) * bins_per_doubling;
    return std::min(static_cast<std::size_t>(position + edge_slack), bin_count - 1);
}

double life_table::lower_edge(std::size_t bin) {
    return edges()[bin];
}

void life_table::decay(counts& c) {
    const double all = c.passed + c.ended;
    if (all > max_outputs) {
        const double keep = max_outputs / all;
        c.passed *= keep;
        c.ended *= keep;
    }
}

void life_table::passed(std::uint32_t from, std::uint32_t to) {
    if (to <= from) {
        return;
    }
    const std::size_t first = from == 0 ? 0 : bin_of(from);
    const std::size_t last = bin_of(to);
    for (std::size_t bin = first; bin < last; ++bin) {
        bins_[bin].passed += 1.0;
        decay(bins_[bin]);
    }
}

void life_table::ended(std::uint32_t tokens) {
    counts& c = bins_[bin_of(tokens)];
    c.ended += 1.0;
    decay(c);
}

double life_table::hazard(std::size_t bin, double prior, double prior_outputs) const {
    const counts& c = bins_[bin];
    return (c.ended + prior * prior_outputs) / (c.ended + c.passed + prior_outputs);
}

survival_curve::survival_curve(const std::array<double, life_table::bin_count>& hazards) {
    survival_[0] = 1.0;
    mean_ = 0.0;
    for (std::size_t i = 0; i < hazards.size(); ++i) {
        const double ending = i + 1 == hazards.size() ? 1.0 : hazards[i];
        survival_[i + 1] = survival_[i] * (1.0 - ending);
        mean_ += survival_[i] * ending * (edges()[i] + edges()[i + 1]) / 2.0;
    }
}

double survival_curve::survival(double tokens) const {
    if (tokens <= 1.0) {
        return 1.0;
    }
    const std::size_t bin = life_table::bin_of(tokens);
    const double low = edges()[bin];
    const double high = edges()[bin + 1];
    const double inside = std::clamp((tokens - low) / (high - low), 0.0, 1.0);
    return survival_[bin] + (survival_[bin + 1] - survival_[bin]) * inside;
}

double survival_curve::conditional_quantile(std::uint32_t reached, double q) const {
    const double floor = static_cast<double>(reached) + 1.0;
    const double wanted = survival(floor) * (1.0 - q);
    for (std::size_t i = life_table::bin_of(floor); i < life_table::bin_count; ++i) {
        if (survival_[i + 1] <= wanted) {
            const double drop = survival_[i] - survival_[i + 1];
            const double share = drop > 0.0 ? (survival_[i] - wanted) / drop : 1.0;
            return std::max(floor, edges()[i] + share * (edges()[i + 1] - edges()[i]));
        }
    }
    return std::max(floor, edges()[life_table::bin_count]);
}

} // namespace bamboostream
