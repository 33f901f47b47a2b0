#include "bamboostream/src/Limits/move_reserve.h"

#include <algorithm>
#include <array>

namespace bamboostream {

namespace {

/// Announcements are remembered for this long. The end of an engine's entry in the store, which is
/// seen up to seconds after the engine has gone, must not count as a new announcement.
constexpr seconds announcement_lifetime{60};
/// The need is the sum over all leaving engines, a sixth of the pool. It is computed again after
/// this time, in which a pool of 60 engines gets one or two new generations.
constexpr milliseconds need_lifetime{20};

} // namespace

std::string_view to_string(no_move_cause cause) {
    static constexpr std::array<std::string_view, static_cast<std::size_t>(no_move_cause::count_)>
        names = {"version", "memory", "slots", "targets_busy", "time"};
    return names[static_cast<std::size_t>(cause)];
}

move_room::move_room(const reserve_rules& rules, const needed_room& need,
                     std::int64_t memory_tokens)
    : rules_(rules), needed_(need.generations),
      max_tokens_(static_cast<double>(memory_tokens) * rules.max_fill),
      per_token_(1.0 / static_cast<double>(std::max<std::int64_t>(need.mean_tokens(), 1))) {}

bool move_room::admits(int lost, int priority) const {
    const double fraction =
        std::min(1.0, rules_.urgent_fraction + rules_.fraction_step * std::max(priority, 0));
    return lost == 0 || static_cast<double>(fitting_ - lost) >= fraction * needed_;
}

void move_reserve::start(const registered_backend& engine, time_point now) {
    std::erase_if(leaving_, [now](const auto& item) {
        return now - item.second.announced_at > announcement_lifetime;
    });
    leaving_.try_emplace(engine.id, leaving_engine{engine.service, engine.version, now, false});
    latest_.erase(engine.service);
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
    if (copies_.empty()) {
        return {};
    }
    const auto found = copies_.find(target);
    return found == copies_.end() ? backend_work{} : found->second.work;
}

std::vector<versioned_need> move_reserve::sum_needs(const service_id& service, load_table& loads,
                                                    time_point now) const {
    std::vector<versioned_need> out;
    const auto add = [&out](const software_version& version, const backend_work& work, int sign) {
        auto found = std::find_if(out.begin(), out.end(), [&version](const versioned_need& it) {
            return it.version == version;
        });
        if (found == out.end()) {
            found = out.insert(out.end(), {version, {}});
        }
        found->need.generations += sign * work.requests;
        found->need.tokens += sign * work.memory_tokens;
    };
    for (const auto& [id, engine] : leaving_) {
        if (engine.service == service && holds_room(engine, now)) {
            add(engine.version, loads.total(id, now), 1);
        }
    }
    for (const auto& [target, copied] : copies_) {
        const auto source = leaving_.find(copied.source);
        if (source != leaving_.end() && source->second.service == service &&
            holds_room(source->second, now)) {
            add(source->second.version, copied.work, -1);
        }
    }
    std::erase_if(out, [](const versioned_need& it) {
        return it.need.generations <= 0 || it.need.tokens <= 0;
    });
    return out;
}

std::span<const versioned_need> move_reserve::needed(const service_id& service, load_table& loads,
                                                     time_point now) {
    if (leaving_.empty()) {
        return {};
    }
    const auto [cached, is_new] = latest_.try_emplace(service);
    if (is_new || now - cached->second.at >= need_lifetime) {
        cached->second = {sum_needs(service, loads, now), now};
    }
    return cached->second.needs;
}

needed_room move_reserve::latest_need(time_point now) const {
    needed_room out;
    for (const auto& [service, cached] : latest_) {
        const bool holds = time_left(service, now) > duration{};
        for (const versioned_need& it : cached.needs) {
            out.generations += holds ? it.need.generations : 0;
            out.tokens += holds ? it.need.tokens : 0;
        }
    }
    return out;
}

} // namespace bamboostream
