#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace bamboostream {

/// What a pool's users weigh most; chosen per pool in the configuration.
enum class objective : std::uint8_t {
    /// The registry's: streams must not go silent.
    stall_time,
    /// The consortium's: tokens must flow evenly for everyone.
    tail_latency,
};

/// The figures by which a pool's scheduler keeps to its objective. A table of plain numbers, so
/// that a new objective is a new row and not a new branch.
struct objective_rules {
    std::string_view name;
    /// Standard deviations that a predicted peak is taken above its mean. The figures are the knee
    /// of the curve of throughput over preemptions, see docs/design/unknown-lengths.md.
    double margin_sigmas = 1.8;
    /// Most of it: preemptions beyond the expected few raise it, quiet lowers it again.
    double max_margin_sigmas = 4.0;
    /// Prompt tokens that may be on their way to one engine without a first token yet. Prefill
    /// shares steps with decoding, so a pile of prompts is a gap in every stream of that engine.
    std::uint32_t prefill_in_flight = 8192;
    /// Whether the shortest expected output of a workspace goes first (with ageing).
    bool shortest_first = false;
    /// How much a cached prefix token is worth against a predicted memory token.
    double prefix_worth = 0.5;
};

const objective_rules& rules_of(objective which);

/// The objective named "stall_time" or "tail_latency".
std::optional<objective> parse_objective(std::string_view name);

} // namespace bamboostream
