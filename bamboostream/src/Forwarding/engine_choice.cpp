#include "bamboostream/src/Forwarding/engine_choice.h"

#include "bamboostream/src/Forwarding/forwarding_state.h"
#include "bamboostream/src/Routing/pace_cost.h"

#include <algorithm>
#include <span>

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

/// An engine that may be chosen, with its work and the generations that are moving there.
struct examined_engine {
    const registered_backend* engine = nullptr;
    backend_work work;
    admission_result result = admission_result::admit;
};

/// Removes the engines at which the request would take room that generations of leaving engines
/// need. Engines in `engines` don't leave.
void keep_room_for_moves(forwarding_state& state, const engine_request& request,
                         const needed_room& need, std::span<const examined_engine> engines,
                         std::vector<const registered_backend*>& admitting) {
    const auto receiver = [&request](const examined_engine& it) {
        return receiving_engine{request.engine_memory_tokens, it.engine->slots, it.work};
    };
    int fitting = 0;
    for (const examined_engine& it : engines) {
        fitting += moves_that_fit(state.reserve_limits, need, receiver(it));
    }
    admitting.clear();
    for (const examined_engine& it : engines) {
        if (it.result == admission_result::admit &&
            leaves_room(state.reserve_limits, need, fitting, receiver(it), request.work,
                        request.priority)) {
            admitting.push_back(it.engine);
        }
    }
}

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
        {make_workspace_key(request.service, request.workspace), request.work.memory_tokens,
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
    const needed_room need =
        reserves ? state.reserve.needed(request.service, state.loads, now) : needed_room{};
    std::optional<pace_cost> by_pace = make_pace_cost(state, request);
    const auto examine = [&](const registered_backend& engine) {
        const std::uint64_t hash = backend_hash(engine.id);
        examined_engine out{&engine, state.loads.total(hash, now)};
        if (reserves) {
            out.work += state.reserve.incoming(engine.id);
        }
        const double tokens_per_ms = state.prefill.tokens_per_ms(request.service, hash);
        out.result = check_admission(state.admission, admission_terms, out.work, tokens_per_ms);
        if (by_pace && out.result == admission_result::admit) {
            by_pace->add(engine, hash, out.work, tokens_per_ms);
        }
        return out;
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
    std::vector<examined_engine> examined;
    std::vector<const registered_backend*> admitting;
    for (const registered_backend* engine : engines) {
        examined.push_back(examine(*engine));
        if (examined.back().result == admission_result::admit) {
            admitting.push_back(engine);
        }
    }
    const bool any_admits = !admitting.empty();
    wanted.additional_cost = by_pace ? &*by_pace : nullptr;
    if (any_admits && need.generations > 0) {
        keep_room_for_moves(state, request, need, examined, admitting);
    }
    const bool any_has_room = !admitting.empty();
    while (const auto* chosen = state.picker.pick(admitting, state.loads, wanted, now)) {
        const bool limited = is_rate_limited(state, chosen->id);
        if (!limited || take_own_permit(state, *chosen, request.priority, now)) {
            record_send(state, *chosen, now);
            return {
                *chosen, admission_result::admit, state.loads.total(chosen->id, now), {}, limited};
        }
        std::erase(admitting, chosen);
    }
    wanted.additional_cost = nullptr;
    // No engine takes the request: the least loaded one gives the reason and the load to report.
    const registered_backend* least_loaded = state.picker.pick(engines, state.loads, wanted, now);
    if (least_loaded == nullptr) {
        return {};
    }
    const auto reason =
        std::find_if(examined.begin(), examined.end(),
                     [&](const examined_engine& it) { return it.engine == least_loaded; });
    if (any_admits && !any_has_room) {
        // Ends with the notice, so it tells nothing of how long an overload lasts.
        return {*least_loaded, admission_result::memory_reserved, reason->work, {}};
    }
    const admission_result result = any_admits ? admission_result::rate_limited : reason->result;
    return {*least_loaded, result, reason->work,
            state.overloads[request.service].record_refusal(now)};
}

} // namespace bamboostream
