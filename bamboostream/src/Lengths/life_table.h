#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace bamboostream {

/// Life table of output lengths: for each logarithmic bin of lengths, the number of outputs that
/// ended in it and the number that passed through it.
///
/// The table handles censored observations: an output that still runs, or was cut off, counts in
/// every bin that it has passed and in none beyond. Without that, the estimate would be biased
/// toward short outputs, which are the first to end after a burst of requests. The counts of a bin
/// are bounded, so that it follows a change of workload within a few hundred outputs.
///
/// Example: `t.passed(0, 130); t.ended(130);`
/// See also `survival_curve`, which evaluates hazards, and `length_estimator`, which combines
/// tables.
class life_table {
public:
    /// Bin edges grow by a factor of 2^(1/4); the last bin has no upper limit.
    static constexpr std::size_t bin_count = 68;
    /// Limit on the outputs counted in a bin; above it, older ones lose weight.
    static constexpr double max_outputs = 300.0;

    /// Records that an output grew from `from` to `to` tokens.
    void passed(std::uint32_t from, std::uint32_t to);
    /// Records that an output ended with `tokens` tokens.
    void ended(std::uint32_t tokens);
    /// Probability that an output which reaches the bin ends in it, smoothed by a prior probability
    /// that has the weight of `prior_outputs` outputs.
    double hazard(std::size_t bin, double prior, double prior_outputs) const;

    static std::size_t bin_of(double tokens);
    /// Lower edge of a bin in tokens.
    static double lower_edge(std::size_t bin);

private:
    struct counts {
        double passed = 0.0;
        double ended = 0.0;
    };
    static void decay(counts& c);
    std::array<counts, bin_count> bins_{};
};

/// Survival function of output lengths, computed once from the hazards of the bins. Linear within a
/// bin.
class survival_curve {
public:
    /// A curve on which no output is longer than one token.
    survival_curve() = default;
    explicit survival_curve(const std::array<double, life_table::bin_count>& hazards);

    /// Fraction of outputs with more than `tokens` tokens.
    double survival(double tokens) const;
    /// Quantile `q` of the final length of an output that has `reached` tokens already; at least
    /// `reached` + 1.
    double conditional_quantile(std::uint32_t reached, double q) const;
    double mean() const { return mean_; }

private:
    /// Fraction of outputs that reach the lower edge of each bin.
    std::array<double, life_table::bin_count + 1> survival_{};
    double mean_ = 1.0;
};

} // namespace bamboostream
