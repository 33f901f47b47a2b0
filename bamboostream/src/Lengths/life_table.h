#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace bamboostream {

/// What is known of output lengths as a life table: for each log-spaced bin of lengths, how many
/// outputs ended in it and how many passed through it.
///
/// An output that still runs, or was cut off, counts in every bin it has passed and in none beyond,
/// so short outputs, which are the first to end in a rush, don't make the rest look short. The
/// counts of a bin are bounded, so it follows a change of workload within a few hundred outputs.
///
/// Example: `t.passed(0, 130); t.ended(130);`
/// See also `length_curve`, which answers questions, and `length_estimator`, which combines tables.
class life_table {
public:
    /// Bins grow by a factor of 2^(1/4); the last one is open.
    static constexpr std::size_t bin_count = 68;
    /// Outputs that a bin remembers.
    static constexpr double memory_outputs = 300.0;

    /// An output went on from `from` tokens to `to` tokens.
    void passed(std::uint32_t from, std::uint32_t to);
    /// An output ended with `tokens` tokens.
    void ended(std::uint32_t tokens);
    /// Chance that an output which reaches the bin ends in it; `prior` counts for
    /// `prior_outputs` outputs.
    double hazard(std::size_t bin, double prior, double prior_outputs) const;

    static std::size_t bin_of(double tokens);
    /// Lower edge of a bin in tokens.
    static double lower_edge(std::size_t bin);

private:
    struct counts {
        double passed = 0.0;
        double ended = 0.0;
    };
    static void forget(counts& c);
    std::array<counts, bin_count> bins_{};
};

/// The chances of an output to reach each length, worked out once from hazards and then cheap to
/// ask.
class length_curve {
public:
    /// Starts with no one surviving the first token.
    length_curve() = default;
    explicit length_curve(const std::array<double, life_table::bin_count>& hazards);

    /// The share of outputs with more than `tokens` tokens.
    double survival(double tokens) const;
    /// The final length that a share `q` of outputs stays at or under, given that `reached` tokens
    /// have come already. Never under `reached` + 1.
    double conditional_quantile(std::uint32_t reached, double q) const;
    double mean() const { return mean_; }

private:
    /// Share of outputs that reach the lower edge of each bin.
    std::array<double, life_table::bin_count + 1> reaching_{};
    double mean_ = 1.0;
};

} // namespace bamboostream
