#include "bamboostream/src/Forwarding/engine_choice.h"

#include "bamboostream/src/Forwarding/forwarding_state.h"
#include "bamboostream/src/Routing/pace_cost.h"

#include <algorithm>

namespace bamboostream {

sender_role own_role(const forwarding_state& state, const service_id& service) {
    return state.scheduler != nullptr ? state.scheduler->role(service) : sender_role::owner;
}

std::vector<const registered_backend*> servers_with_capacity(forwarding_state& state,
                                                             const service_id& service,
                                                             sender_role role, time_point now) {
    auto servers = state.registry.usable(service);
    const service_rule* rule = state.routes ? state.routes->find_service(service) : nullptr;
    if (rule != nullptr) {
        std::erase_if(servers, [&](const registered_backend* server) {
            return now < server->slow_until &&
                   !state.cold_starts.may_send(server->id, rule->cold_per_second, role, now);
        });
    }
    return servers;
}

void record_send(forwarding_state& state, const registered_backend& server, time_point now) {
    if (now < server.slow_until) {
        state.cold_starts.record_send(server.id, now);
    }
}

bool is_rate_limited(const forwarding_state& state, const backend_id& server) {
    return state.rate_limits.find(server).has_value();
}

duration expected_permit_wait(forwarding_state& state, const registered_backend& server,
                              int priority, time_point now) {
    const auto limit = state.rate_limits.find(server.id);
    if (!limit) {
        return {};
    }
    return state.permits != nullptr
               ? state.permits->expected_wait(server, priority, now)
               : state.issuer.check({server.id, *limit, issuer_role::owner, priority}, now).wait;
}

bool take_own_permit(forwarding_state& state, const registered_backend& server, int priority,
                     time_point now) {
    const auto limit = state.rate_limits.find(server.id);
    if (!limit) {
        return true;
    }
    return state.permits != nullptr
               ? state.permits->take_own(server, priority, now)
               : state.issuer.issue({server.id, *limit, issuer_role::owner, priority}, now).granted;
}

boost::asio::awaitable<bool> acquire_permit(forwarding_state& state, registered_backend server,
                                            int priority) {
    if (state.permits == nullptr || !is_rate_limited(state, server.id)) {
        co_return take_own_permit(state, server, priority, monotonic_now());
    }
    co_return co_await state.permits->acquire(std::move(server), priority);
}

namespace {

/// The additional cost of engines by their pace; nothing for services whose servers don't report
/// the load of their host.
std::optional<pace_cost> make_pace_cost(forwarding_state& state, const engine_request& request) {
    if (!state.server_loads.reports_host_load(request.service)) {
        return std::nullopt;
    }
    const service_rule* rule = state.routes ? state.routes->find_service(request.service) : nullptr;
    const int tokens_per_event =
        rule != nullptr && rule->engine ? rule->engine->tokens_per_event : 1;
    paced_request paced;
    paced.events =
        std::max(1.0, static_cast<double>(request.work.memory_tokens - request.work.unread_tokens) /
                          std::max(1, tokens_per_event));
    paced.pause_objective = request.pause_objective;
    paced.first_event_objective = request.objective;
    paced.prompt_tokens = request.work.unread_tokens;
    state.stream_sizes.observe(request.service, paced.events, paced.pause_objective);
    return std::optional<pace_cost>(std::in_place, state.pace, request.service, paced,
                                    state.stream_sizes.typical(request.service));
}

/// The room for moves at the engines of a service, by software version: a generation can move only
/// to engines of the version that began it.
class rooms_for_moves {
public:
    /// Empty if no engine of the service leaves, or if its memory isn't contended.
    rooms_for_moves(forwarding_state& state, const engine_request& request, time_point now) {
        if (!state.is_contended(request.service)) {
            return;
        }
        for (const versioned_need& it : state.reserve.needed(request.service, state.loads, now)) {
            rooms_.push_back({it.version, move_room(state.reserve_limits, it.need,
                                                    request.engine_memory_tokens)});
        }
    }

    bool any() const { return !rooms_.empty(); }
    /// Adds the room at an engine. Returns how much of it `added` would take there.
    int add(const registered_backend& engine, const backend_work& work, const backend_work& added) {
        move_room* room = find(engine);
        if (room == nullptr) {
            return 0;
        }
        room->add(work, engine.slots);
        return room->lost_by(work, engine.slots, added);
    }
    bool admits(const registered_backend& engine, int lost, int priority) {
        const move_room* room = find(engine);
        return room == nullptr || room->admits(lost, priority);
    }

private:
    struct versioned_room {
        software_version version;
        move_room room;
    };

    move_room* find(const registered_backend& engine) {
        for (versioned_room& it : rooms_) {
            if (it.version == engine.version) {
                return &it.room;
            }
        }
        return nullptr;
    }

    std::vector<versioned_room> rooms_;
};

/// Whether the request exceeds its workspace's share of the memory of `engines` engines. Nothing is
/// refused or recorded for instances that don't send workspaces, those of the previous version or
/// that don't know yet that the memory of the service's engines is contended.
share_decision check_share(forwarding_state& state, const engine_request& request,
                           std::size_t engines, time_point now) {
    const bool knows_workspace = request.workspace || request.pause_objective > duration{};
    if (!knows_workspace || !state.is_contended(request.service)) {
        return {};
    }
    return state.shares.check(
        {make_share_key(request.service, request.workspace), request.work.memory_tokens,
         request.work.memory_tokens - request.work.unread_tokens, request.priority,
         static_cast<std::int64_t>(engines) * request.engine_memory_tokens},
        state.admission, now);
}

} // namespace

engine_choice choose_engine(forwarding_state& state, const engine_request& request,
                            sender_role role, time_point now) {
    placement_request wanted;
    wanted.avoid = request.avoid;
    wanted.preferred_domain = request.preferred_domain;
    wanted.server_memory_tokens = request.engine_memory_tokens;
    const admission_request admission_terms{request.work, request.engine_memory_tokens,
                                            request.priority, request.objective};
    const bool reserves = state.is_contended(request.service);
    rooms_for_moves rooms(state, request, now);
    std::optional<pace_cost> by_pace = make_pace_cost(state, request);
    const double mean_tokens_per_ms = state.prefill.mean_tokens_per_ms(request.service);
    const auto work_at = [&](const registered_backend& engine, std::uint64_t hash) {
        backend_work out = state.loads.total(hash, now);
        if (reserves) {
            out += state.reserve.incoming(engine.id);
        }
        return out;
    };
    const auto prefill_rate = [&](std::uint64_t hash) {
        return state.prefill.tokens_per_ms(mean_tokens_per_ms, hash);
    };
    auto engines = servers_with_capacity(state, request.service, role, now);
    const share_decision share = check_share(state, request, engines.size(), now);
    if (share.over_share) {
        const auto* least_loaded = state.picker.pick(engines, state.loads, wanted, now);
        if (least_loaded != nullptr) {
            return {*least_loaded, admission_result::workspace_over_share,
                    state.loads.total(least_loaded->id, now), share.overload};
        }
    }
    std::erase_if(engines, [&request](const registered_backend* engine) {
        return !request.version.empty() && engine->version != request.version;
    });
    std::vector<const registered_backend*> admitting;
    std::vector<backend_work> work_at_admitting;
    // For each engine in `admitting`, the room for moves that the request would take there.
    std::vector<int> lost;
    admitting.reserve(engines.size());
    work_at_admitting.reserve(engines.size());
    if (by_pace) {
        by_pace->reserve(engines.size());
    }
    for (const registered_backend* engine : engines) {
        const std::uint64_t hash = backend_hash(engine->id);
        const backend_work work = work_at(*engine, hash);
        const double tokens_per_ms = prefill_rate(hash);
        const bool admits = check_admission(state.admission, admission_terms, work,
                                            tokens_per_ms) == admission_result::admit;
        const int lost_there = rooms.any() ? rooms.add(*engine, work, request.work) : 0;
        if (!admits) {
            continue;
        }
        admitting.push_back(engine);
        work_at_admitting.push_back(work);
        if (rooms.any()) {
            lost.push_back(lost_there);
        }
        if (by_pace) {
            by_pace->add(*engine, hash, work, tokens_per_ms);
        }
    }
    const bool any_admits = !admitting.empty();
    if (rooms.any()) {
        std::size_t kept = 0;
        for (std::size_t i = 0; i < admitting.size(); ++i) {
            if (rooms.admits(*admitting[i], lost[i], request.priority)) {
                admitting[kept] = admitting[i];
                work_at_admitting[kept++] = work_at_admitting[i];
            }
        }
        admitting.resize(kept);
        work_at_admitting.resize(kept);
    }
    const bool any_has_room = !admitting.empty();
    wanted.additional_cost = by_pace ? &*by_pace : nullptr;
    while (true) {
        wanted.work = work_at_admitting;
        const auto* chosen = state.picker.pick(admitting, state.loads, wanted, now);
        if (chosen == nullptr) {
            break;
        }
        const auto at = std::find(admitting.begin(), admitting.end(), chosen);
        const auto work = work_at_admitting.begin() + (at - admitting.begin());
        const bool limited = is_rate_limited(state, chosen->id);
        if (!limited || take_own_permit(state, *chosen, request.priority, now)) {
            record_send(state, *chosen, now);
            return {*chosen, admission_result::admit, *work, {}, limited};
        }
        admitting.erase(at);
        work_at_admitting.erase(work);
    }
    wanted.additional_cost = nullptr;
    wanted.work = {};
    // No engine takes the request: the least loaded one gives the reason and the load to report.
    const registered_backend* least_loaded = state.picker.pick(engines, state.loads, wanted, now);
    if (least_loaded == nullptr) {
        return {};
    }
    const std::uint64_t hash = backend_hash(least_loaded->id);
    const backend_work work = work_at(*least_loaded, hash);
    if (any_admits && !any_has_room) {
        // Ends with the notice, so it tells nothing of how long an overload lasts.
        return {*least_loaded, admission_result::memory_reserved, work, {}};
    }
    const admission_result result =
        any_admits ? admission_result::rate_limited
                   : check_admission(state.admission, admission_terms, work, prefill_rate(hash));
    return {*least_loaded, result, work, state.overloads[request.service].record_refusal(now)};
}

} // namespace bamboostream
