#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Membership/backend_registry.h"
#include "bamboostream/src/Routing/load_table.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

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

/// The need of generations that only engines of one software version can receive.
struct versioned_need {
    software_version version;
    needed_room need;
};

/// Tells whether new generations leave the room that generations of leaving engines need.
///
/// Room is counted in whole generations of the average size of those that need it: remainders at
/// many engines are no room for a generation that moves. Built anew for each choice of an engine,
/// which examines all engines.
///
/// Example: `room.add(work, slots)` for each engine that takes work, then
/// `room.admits(room.lost_by(work, slots, request.work), request.priority)`.
class move_room {
public:
    /// All engines have `memory_tokens`.
    move_room(const reserve_rules& rules, const needed_room& need, std::int64_t memory_tokens);

    /// Adds the room of an engine that holds `work`.
    void add(const backend_work& work, int slots) { fitting_ += fitting(work, slots); }
    /// How many fewer generations fit into an engine that holds `work` once it gets `added`.
    int lost_by(const backend_work& work, int slots, const backend_work& added) const {
        return fitting(work, slots) -
               fitting({work.requests + added.requests, work.memory_tokens + added.memory_tokens,
                        work.unread_tokens},
                       slots);
    }
    /// Whether a new generation of rank `priority` may take the room of `lost` generations.
    bool admits(int lost, int priority) const;

private:
    /// Keeps an engine whose free memory is an exact multiple of the average from losing one
    /// generation by rounding.
    static constexpr double rounding_margin = 1e-6;

    int fitting(const backend_work& work, int slots) const {
        const double free = max_tokens_ - static_cast<double>(work.memory_tokens);
        const int by_memory =
            free > 0.0 ? static_cast<int>(free * per_token_ + rounding_margin) : 0;
        return std::min(by_memory, std::max(slots - work.requests, 0));
    }

    const reserve_rules& rules_;
    int needed_;
    double max_tokens_;
    /// The share of an average generation that one token is. Multiplication is much faster than
    /// division, and a pool may have 11,000 engines.
    double per_token_;
    int fitting_ = 0;
};

/// The engines that have announced that they leave, and the copies under way from them.
///
/// Every instance learns of announcements, and the instances that choose engines know the work at
/// them from load reports. The need therefore follows from what instances report of the leaving
/// engines and falls as their generations move, end or are lost; a standby knows it as well as the
/// owner, without a message of its own. Not thread-safe.
///
/// Example: `reserve.start(engine, now); reserve.needed(engine.service, loads, now);`
class move_reserve {
public:
    /// Engines end 1.5 to 2.1 s after their announcement.
    static constexpr milliseconds min_notice{1'500};
    static constexpr milliseconds max_notice{2'100};

    /// Records that an engine has announced that it leaves. A repeated announcement changes
    /// nothing: an engine that stays in spite of it holds room for `max_notice` only.
    void start(const registered_backend& engine, time_point now);
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
    /// being copied. One entry for each software version of which any need room; valid until the
    /// next call.
    std::span<const versioned_need> needed(const service_id& service, load_table& loads,
                                           time_point now);
    /// The latest results of `needed`, summed over all services, for metrics.
    needed_room latest_need(time_point now) const;

private:
    struct leaving_engine {
        service_id service;
        software_version version;
        time_point announced_at;
        bool gone = false;
    };
    struct copy {
        backend_id source;
        backend_work work;
    };
    struct cached_need {
        std::vector<versioned_need> needs;
        time_point at{};
    };

    std::vector<versioned_need> sum_needs(const service_id& service, load_table& loads,
                                          time_point now) const;
    bool holds_room(const leaving_engine& engine, time_point now) const;

    std::unordered_map<backend_id, leaving_engine> leaving_;
    /// By target.
    std::unordered_map<backend_id, copy> copies_;
    std::unordered_map<service_id, cached_need> latest_;
};

} // namespace bamboostream
