#pragma once

#include "bamboostream/src/Forwarding/active_streams.h"
#include "bamboostream/src/Limits/move_reserve.h"
#include "bamboostream/src/Membership/backend_registry.h"
#include "bamboostream/src/Routing/load_table.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bamboostream {

/// A generation at a leaving engine and the instance that forwards its stream.
struct move_candidate {
    movable_generation generation;
    /// Empty for this instance itself.
    std::string instance;

    bool operator==(const move_candidate&) const = default;
};

/// An engine that takes work, to which a generation may move if it fits.
struct move_target {
    registered_backend backend;
    backend_work work;
    std::int64_t memory_tokens = 0;
    int slots = 0;
    /// The engine runs the software version that began the generation. The others only tell how
    /// full the service is.
    bool fits = true;
    /// Probability that the remaining events of the generation have a late pause there, 0 to 1.
    double pause_risk = 0.0;
};

/// The speed at which a generation's memory is copied.
struct link_speed {
    double bytes_per_token = 0.0;
    /// Megabits per second, which are bits per microsecond.
    double mbps = 0.0;
};

/// The time of a copy on an otherwise idle link. A copy between failure domains takes twice as
/// long.
duration copy_time(std::int64_t tokens, link_speed speed, bool cross_domain);

/// The order in which generations leave an engine. Copies share the engine's link and are made one
/// after the other; generations that are not copied when the engine goes are cut off. Copying small
/// generations first saves the most of them in the time available. A generation that ends by itself
/// within the notice period goes last.
std::vector<move_candidate> order_moves(std::vector<move_candidate> candidates);

/// The time in which the generations of a leaving engine have to be copied.
struct move_window {
    /// Time until the engine may be gone; zero if it may be gone any time.
    duration left{};
    link_speed speed;
};

/// The order in which generations leave an engine that may be gone after `window.left`: those first
/// that can still be copied within that time, of which there are as many as possible and the most
/// urgent ones if not all can, by rank and then by what they have put out. A copy within the
/// failure domain is assumed. The others follow in the order of `order_moves`, and those that end
/// by themselves go last.
std::vector<move_candidate> order_moves(std::vector<move_candidate> candidates,
                                        const move_window& window);

/// Whether the copies of all `candidates` would take longer than `window.left` if targets were
/// chosen in any failure domain, so that nearer targets save more of them.
bool is_time_short(std::span<const move_candidate> candidates, const move_window& window);

/// Limits on how full the memory of a move's target may become, as fractions of its memory.
///
/// Length estimates are right at the median only. When an engine's memory overflows, it preempts
/// its newest generations in the middle of their streams, processes their prompts again and lets
/// other requests wait. While the other engines have room, new requests go there and the target may
/// be filled. When all engines are nearly full, a moved generation delays others, so room is kept.
struct move_limits {
    /// Applies while the average fill of all engines is at most `low_average`.
    double max_fill = 0.95;
    double low_average = 0.5;
    /// Applies when the average fill of all engines is at least `high_average`.
    double max_fill_when_busy = 0.65;
    double high_average = 0.85;
    /// Applies instead of all above to a generation that is lost if it doesn't move, if greater
    /// than zero. An overfilled engine preempts its newest generation, which goes on later; a
    /// generation without a target is lost with all that was done for it.
    double max_fill_instead_of_loss = 0.0;
    /// Cost of one second until the copy is done, in units of an engine's full memory. Within a
    /// notice of about 2 s each tenth of a second is one generation more or less, while a fuller
    /// engine only slows its steps.
    double cost_per_second = 1.2;
};

/// The limits for a leaving engine of which the end is expected. `time_short` as of
/// `is_time_short`.
move_limits limits_before_end(bool time_short);

/// The limit for targets with the average fill `average`. It is interpolated linearly between
/// `low_average` and `high_average`.
double max_fill_after_move(const move_limits& limits, double average);

/// Chooses the target with the lowest cost in copy time and memory pressure, among those that fit.
/// `targets` contains all engines of the service that may receive a copy now. Returns nothing when
/// no target has room.
std::optional<std::size_t> choose_target(const movable_generation& generation,
                                         const failure_domain_id& source_domain, link_speed speed,
                                         std::span<const move_target> targets,
                                         const move_limits& limits = {});

/// Why `choose_target` finds no target. `busy` is the number of engines that would fit, but receive
/// a copy or have just refused one; they aren't among `targets`.
no_move_cause explain_no_target(std::span<const move_target> targets, std::size_t busy);

} // namespace bamboostream
