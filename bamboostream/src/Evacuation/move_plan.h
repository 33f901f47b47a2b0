#pragma once

#include "bamboostream/src/Forwarding/active_streams.h"
#include "bamboostream/src/Membership/backend_registry.h"
#include "bamboostream/src/Routing/load_table.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bamboostream {

/// A generation at a leaving engine and the instance that passes its stream on.
struct move_candidate {
    movable_generation generation;
    /// Empty for this instance itself.
    std::string instance;

    bool operator==(const move_candidate&) const = default;
};

/// An engine that a generation may move to.
struct move_target {
    registered_backend backend;
    backend_work work;
    std::int64_t memory_tokens = 0;
    int slots = 0;
};

/// How fast memory moves.
struct link_speed {
    double bytes_per_token = 0.0;
    /// Bits a microsecond.
    double mbps = 0.0;
};

/// Time of a copy on an otherwise idle link; twice as long between failure domains.
duration copy_time(std::int64_t tokens, link_speed speed, bool far);

/// The order in which generations leave an engine. Copies share the engine's link and go one after
/// the other; whoever is not done when the engine goes is cut. Small copies first saves the most
/// generations in the time there is; one that ends by itself within the notice goes last.
std::vector<move_candidate> order_moves(std::vector<move_candidate> candidates);

/// What the generations of a move's target may come to hold, in shares of its memory.
///
/// Estimates are right at the median only, and when an engine overflows it pushes its newest out in
/// the middle of their streams, reads their prompts again and lets others wait. While the other
/// engines have room, newcomers go there and the target may be filled. When all are near the brim,
/// whoever moves in makes others late, so room is kept.
struct move_limits {
    /// While the targets are on average no fuller than `easy`.
    double most_full = 0.95;
    double easy = 0.5;
    /// When they are on average at least as full as `brim`.
    double most_full_at_brim = 0.65;
    double brim = 0.85;
};

/// The limit for targets that are on average `average` full; between the two it falls evenly.
double most_full_after_move(const move_limits& limits, double average);

/// The target on which the copy is done soonest and the generation hurts least; nothing when none
/// has room.
std::optional<std::size_t> choose_target(const movable_generation& generation,
                                         const failure_domain_id& source_domain, link_speed speed,
                                         std::span<const move_target> targets,
                                         const move_limits& limits = {});

} // namespace bamboostream
