#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Routing/load_table.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace bamboostream {

/// Why no engine can receive a generation whose engine leaves.
enum class no_move_cause : std::uint8_t {
    /// No engine of the software version that began it takes work.
    version,
    /// All engines of the version are too full.
    memory,
    /// Those with enough memory have no slot free.
    slots,
    /// Those that could take it receive a copy at present, or have just refused one.
    targets_busy,
    /// Its engine went away before its turn came.
    time,
    count_,
};
/// Name of a cause in metrics and log lines.
std::string_view to_string(no_move_cause cause);

/// When new generations are admitted although generations of leaving engines still need room.
struct reserve_rules {
    /// Fraction of its memory up to which an engine counts as room for generations that move.
    double max_fill = 1.1;
    /// Fraction of the needed room that a new generation of the most urgent rank must leave. Such
    /// generations are short: their memory is free again before the last moves of a notice.
    double urgent_fraction = 0.5;
    /// Increase of that fraction for each lower rank, up to 1, so that the least urgent generations
    /// are refused first.
    double fraction_step = 0.25;
};

/// The room that generations of leaving engines need at other engines.
struct needed_room {
    int generations = 0;
    /// Memory at their expected final lengths, in tokens.
    std::int64_t tokens = 0;

    /// Memory of an average one, in tokens.
    std::int64_t mean_tokens() const { return generations > 0 ? tokens / generations : 0; }
};

/// Capacity and work of an engine that may receive generations.
struct receiving_engine {
    std::int64_t memory_tokens = 0;
    int slots = 0;
    backend_work work;
};

/// How many average generations of `need` fit into the engine. Counted in whole generations:
/// remainders at many engines are no room for a generation that moves.
int moves_that_fit(const reserve_rules& rules, const needed_room& need,
                   const receiving_engine& engine);

/// Whether a new generation of rank `priority` that adds `work` to `engine` leaves enough room in
/// the pool for `need`. `fitting` is the sum of `moves_that_fit` over all engines that take work.
///
/// Example: `leaves_room(rules, need, fitting, engine, request.work, request.priority)`
bool leaves_room(const reserve_rules& rules, const needed_room& need, int fitting,
                 const receiving_engine& engine, const backend_work& work, int priority);

/// The engines that have announced that they leave, and the copies under way from them.
///
/// Every instance learns of announcements, and the instances that choose engines know the work at
/// them from load reports. The need therefore follows from what instances report of the leaving
/// engines and falls as their generations move, end or are lost; a standby knows it as well as the
/// owner, without a message of its own. Not thread-safe.
///
/// Example: `reserve.start(service, engine, now); reserve.needed(service, loads, now);`
class move_reserve {
public:
    /// Engines end 1.5 to 2.1 s after their announcement.
    static constexpr milliseconds min_notice{1'500};
    static constexpr milliseconds max_notice{2'100};

    /// Records that an engine has announced that it leaves. A repeated announcement changes
    /// nothing: an engine that stays in spite of it holds room for `max_notice` only.
    void start(const service_id& service, const backend_id& engine, time_point now);
    /// Records that an engine is gone or has started again.
    void end(const backend_id& engine);
    /// Forgets an engine, so that its next announcement counts.
    void forget(const backend_id& engine) { leaving_.erase(engine); }
    /// When the engine announced that it leaves; nothing if it hasn't.
    std::optional<time_point> announced_at(const backend_id& engine) const;
    /// How long room is held for engines of the service at most; zero if none leaves.
    duration time_left(const service_id& service, time_point now) const;

    /// Records that `target` receives a copy of a generation that holds `work` at `source`. A
    /// target receives one copy at a time.
    void start_copy(const backend_id& source, const backend_id& target, const backend_work& work);
    void end_copy(const backend_id& target) { copies_.erase(target); }
    /// The work of the copy that an engine is receiving. `load_table` counts it at the source.
    backend_work incoming(const backend_id& target) const;

    /// The room that generations of the service's leaving engines need, without those that are
    /// being copied.
    needed_room needed(const service_id& service, load_table& loads, time_point now);
    /// The latest results of `needed`, summed over all services, for metrics.
    needed_room latest_need(time_point now) const;

private:
    struct leaving_engine {
        service_id service;
        time_point announced_at;
        bool gone = false;
    };
    struct copy {
        backend_id source;
        backend_work work;
    };
    struct cached_need {
        needed_room need;
        time_point at{};
    };

    bool holds_room(const leaving_engine& engine, time_point now) const;

    std::unordered_map<backend_id, leaving_engine> leaving_;
    /// By target.
    std::unordered_map<backend_id, copy> copies_;
    std::unordered_map<service_id, cached_need> latest_;
};

} // namespace bamboostream
