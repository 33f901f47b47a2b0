#include "bamboostream/src/Limits/move_reserve.h"

#include <algorithm>
#include <array>

namespace bamboostream {

namespace {

/// Announcements are remembered for this long. The end of an engine's entry in the store, which is
/// seen up to seconds after the engine has gone, must not count as a new announcement.
constexpr seconds announcement_lifetime{60};
/// The need is the sum over all leaving engines, a sixth of the pool. It is computed again after
/// this time, in which a pool of 60 engines gets less than one new generation.
constexpr milliseconds need_lifetime{4};

std::int64_t free_tokens(const reserve_rules& rules, const receiving_engine& engine) {
    return static_cast<std::int64_t>(static_cast<double>(engine.memory_tokens) * rules.max_fill) -
           engine.work.memory_tokens;
}

} // namespace

std::string_view to_string(no_move_cause cause) {
    static constexpr std::array<std::string_view, static_cast<std::size_t>(no_move_cause::count_)>
        names = {"version", "memory", "slots", "targets_busy", "time"};
    return names[static_cast<std::size_t>(cause)];
}

int moves_that_fit(const reserve_rules& rules, const needed_room& need,
                   const receiving_engine& engine) {
    const std::int64_t mean = std::max<std::int64_t>(need.mean_tokens(), 1);
    const std::int64_t by_memory = std::max<std::int64_t>(free_tokens(rules, engine), 0) / mean;
    const std::int64_t by_slots = std::max(engine.slots - engine.work.requests, 0);
    return static_cast<int>(std::min(by_memory, by_slots));
}

bool leaves_room(const reserve_rules& rules, const needed_room& need, int fitting,
                 const receiving_engine& engine, const backend_work& work, int priority) {
    if (need.generations <= 0) {
        return true;
    }
    receiving_engine after = engine;
    after.work += work;
    const int lost = moves_that_fit(rules, need, engine) - moves_that_fit(rules, need, after);
    const double fraction =
        std::min(1.0, rules.urgent_fraction + rules.fraction_step * std::max(priority, 0));
    return lost == 0 || static_cast<double>(fitting - lost) >= fraction * need.generations;
}

void move_reserve::start(const service_id& service, const backend_id& engine, time_point now) {
    std::erase_if(leaving_, [now](const auto& item) {
        return now - item.second.announced_at > announcement_lifetime;
    });
    leaving_.try_emplace(engine, leaving_engine{service, now, false});
    latest_.erase(service);
}

void move_reserve::end(const backend_id& engine) {
    if (const auto found = leaving_.find(engine); found != leaving_.end()) {
        found->second.gone = true;
        latest_.erase(found->second.service);
    }
}

std::optional<time_point> move_reserve::announced_at(const backend_id& engine) const {
    const auto found = leaving_.find(engine);
    return found == leaving_.end() ? std::nullopt : std::optional(found->second.announced_at);
}

bool move_reserve::holds_room(const leaving_engine& engine, time_point now) const {
    return !engine.gone && now < engine.announced_at + max_notice;
}

duration move_reserve::time_left(const service_id& service, time_point now) const {
    duration out{};
    for (const auto& [id, engine] : leaving_) {
        if (engine.service == service && holds_room(engine, now)) {
            out = std::max(out, engine.announced_at + max_notice - now);
        }
    }
    return out;
}

void move_reserve::start_copy(const backend_id& source, const backend_id& target,
                              const backend_work& work) {
    copies_[target] = {source, work};
}

backend_work move_reserve::incoming(const backend_id& target) const {
    const auto found = copies_.find(target);
    return found == copies_.end() ? backend_work{} : found->second.work;
}

needed_room move_reserve::needed(const service_id& service, load_table& loads, time_point now) {
    if (leaving_.empty()) {
        return {};
    }
    const auto [cached, is_new] = latest_.try_emplace(service);
    if (!is_new && now - cached->second.at < need_lifetime) {
        return cached->second.need;
    }
    needed_room need;
    const auto add = [&need](const backend_work& work, int sign) {
        need.generations += sign * work.requests;
        need.tokens += sign * work.memory_tokens;
    };
    for (const auto& [id, engine] : leaving_) {
        if (engine.service == service && holds_room(engine, now)) {
            add(loads.total(id, now), 1);
        }
    }
    for (const auto& [target, copied] : copies_) {
        const auto source = leaving_.find(copied.source);
        if (source != leaving_.end() && source->second.service == service &&
            holds_room(source->second, now)) {
            add(copied.work, -1);
        }
    }
    if (need.generations <= 0 || need.tokens <= 0) {
        need = {};
    }
    cached->second = {need, now};
    return need;
}

needed_room move_reserve::latest_need(time_point now) const {
    needed_room out;
    for (const auto& [service, cached] : latest_) {
        if (time_left(service, now) > duration{}) {
            out.generations += cached.need.generations;
            out.tokens += cached.need.tokens;
        }
    }
    return out;
}

} // namespace bamboostream
