#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace bamboostream {

/// Scheduling objective of a pool, chosen in the configuration.
enum class objective : std::uint8_t {
    /// Minimize pauses within streams.
    stall_time,
    /// Minimize tail latency of tokens over all callers.
    tail_latency,
};

/// Parameters of a pool's scheduler for an objective. They are a table of numbers, so that a new
/// objective needs a new row and no new branch.
struct objective_rules {
    std::string_view name;
    /// Safety margin: standard deviations added to the mean of a predicted peak. The values are at
    /// the knee of the curve of throughput over preemptions, see docs/design/unknown-lengths.md.
    double margin_sigmas = 1.8;
    /// Upper limit of the margin: preemptions beyond the expected few raise it, and it decays
    /// again.
    double max_margin_sigmas = 4.0;
    /// Limit on the prompt tokens sent to one engine that have not produced a first token yet.
    /// Prefill shares steps with decoding, so many prompts at once pause every stream of that
    /// engine.
    std::uint32_t prefill_in_flight = 8192;
    /// Whether the request of a workspace with the shortest expected output is served first, with
    /// ageing.
    bool shortest_first = false;
    /// Value of a cached prefix token relative to a token of predicted memory.
    double prefix_weight = 0.5;
};

const objective_rules& rules_of(objective which);

/// The objective named "stall_time" or "tail_latency"; empty for any other name.
std::optional<objective> parse_objective(std::string_view name);

} // namespace bamboostream
