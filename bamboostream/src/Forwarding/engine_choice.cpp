#include "bamboostream/src/Forwarding/engine_choice.h"

#include "bamboostream/src/Forwarding/forwarding_state.h"

namespace bamboostream {

sender_role own_role(const forwarding_state& state, const service_id& service) {
    return state.scheduler != nullptr ? state.scheduler->role(service) : sender_role::owner;
}

std::vector<const registered_backend*> servers_with_room(forwarding_state& state,
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

void note_send(forwarding_state& state, const registered_backend& server, time_point now) {
    if (now < server.slow_until) {
        state.cold_starts.note(server.id, now);
    }
}

engine_choice choose_engine(forwarding_state& state, const engine_request& request,
                            sender_role role, time_point now) {
    placement_request wanted;
    wanted.avoid = request.avoid;
    wanted.near = request.near;
    wanted.server_memory_tokens = request.engine_memory_tokens;
    const auto servers = servers_with_room(state, request.service, role, now);
    const registered_backend* chosen = state.picker.pick(servers, state.loads, wanted, now);
    if (chosen == nullptr) {
        return {};
    }
    const backend_work work = state.loads.total(chosen->id, now);
    const admission_verdict verdict = judge_admission(
        state.admission, work, request.engine_memory_tokens, request.priority, request.objective);
    if (verdict == admission_verdict::admit) {
        note_send(state, *chosen, now);
    }
    return {*chosen, verdict, work};
}

} // namespace bamboostream
