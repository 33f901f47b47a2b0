#include "bamboostream/src/Forwarding/engine_choice.h"

#include "bamboostream/src/Forwarding/forwarding_state.h"

namespace bamboostream {

engine_choice choose_engine(forwarding_state& state, const engine_request& request,
                            time_point now) {
    placement_request wanted;
    wanted.avoid = request.avoid;
    wanted.near = request.near;
    wanted.server_memory_tokens = request.engine_memory_tokens;
    const auto servers = state.registry.usable(request.service);
    const registered_backend* chosen = state.picker.pick(servers, state.loads, wanted, now);
    if (chosen == nullptr) {
        return {};
    }
    const backend_work work = state.loads.total(chosen->id, now);
    return {*chosen,
            judge_admission(state.admission, work, request.engine_memory_tokens, request.priority,
                            request.objective),
            work};
}

} // namespace bamboostream
