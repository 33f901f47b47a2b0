#include "bamboostream/src/Forwarding/engine_choice.h"

#include "bamboostream/src/Forwarding/forwarding_state.h"

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

/// Whether the request exceeds its workspace's share of the memory of `engines` engines. Nothing is
/// refused or recorded for instances that don't send workspaces, those of the previous version or
/// that haven't seen a server of the service report the load of its host yet.
share_decision check_share(forwarding_state& state, const engine_request& request,
                           std::size_t engines, time_point now) {
    const bool knows_workspace = request.workspace || request.pause_objective > duration{};
    if (!knows_workspace || !state.server_loads.reports_host_load(request.service)) {
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
    const auto check_engine = [&](const registered_backend& engine) {
        return check_admission(
            state.admission, admission_terms, state.loads.total(engine.id, now),
            state.prefill.tokens_per_ms(request.service, backend_hash(engine.id)));
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
    std::vector<const registered_backend*> admitting = engines;
    std::erase_if(admitting, [&](const registered_backend* engine) {
        return check_engine(*engine) != admission_result::admit;
    });
    const bool any_admits = !admitting.empty();
    while (const auto* chosen = state.picker.pick(admitting, state.loads, wanted, now)) {
        const bool limited = is_rate_limited(state, chosen->id);
        if (!limited || take_own_permit(state, *chosen, request.priority, now)) {
            record_send(state, *chosen, now);
            return {
                *chosen, admission_result::admit, state.loads.total(chosen->id, now), {}, limited};
        }
        std::erase(admitting, chosen);
    }
    // No engine takes the request: the least loaded one gives the reason and the load to report.
    const registered_backend* least_loaded = state.picker.pick(engines, state.loads, wanted, now);
    if (least_loaded == nullptr) {
        return {};
    }
    const admission_result result =
        any_admits ? admission_result::rate_limited : check_engine(*least_loaded);
    return {*least_loaded, result, state.loads.total(least_loaded->id, now),
            state.overloads[request.service].record_refusal(now)};
}

} // namespace bamboostream
