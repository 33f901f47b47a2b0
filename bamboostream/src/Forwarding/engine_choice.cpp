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

/// The room for moves at the engines of a service, by software version: a generation can move only
/// to engines of the version that began it.
class rooms_for_moves {
public:
    /// Empty if no engine of the service leaves, or if its servers don't report the load of their
    /// host.
    rooms_for_moves(forwarding_state& state, const engine_request& request, time_point now) {
        if (!state.server_loads.reports_host_load(request.service)) {
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

} // namespace

engine_choice choose_engine(forwarding_state& state, const engine_request& request,
                            sender_role role, time_point now) {
    placement_request wanted;
    wanted.avoid = request.avoid;
    wanted.preferred_domain = request.preferred_domain;
    wanted.server_memory_tokens = request.engine_memory_tokens;
    const admission_request admission_terms{request.work, request.engine_memory_tokens,
                                            request.priority, request.objective};
    const bool reserves = state.server_loads.reports_host_load(request.service);
    rooms_for_moves rooms(state, request, now);
    const auto work_at = [&](const registered_backend& engine) {
        backend_work out = state.loads.total(engine.id, now);
        if (reserves) {
            out += state.reserve.incoming(engine.id);
        }
        return out;
    };
    const auto check_engine = [&](const registered_backend& engine, const backend_work& work) {
        return check_admission(
            state.admission, admission_terms, work,
            state.prefill.tokens_per_ms(request.service, backend_hash(engine.id)));
    };
    auto engines = servers_with_capacity(state, request.service, role, now);
    std::erase_if(engines, [&request](const registered_backend* engine) {
        return !request.version.empty() && engine->version != request.version;
    });
    std::vector<const registered_backend*> admitting = engines;
    // For each engine in `admitting`, the room for moves that the request would take there.
    std::vector<int> lost;
    lost.reserve(rooms.any() ? engines.size() : 0);
    std::erase_if(admitting, [&](const registered_backend* engine) {
        const backend_work work = work_at(*engine);
        const bool admits = check_engine(*engine, work) == admission_result::admit;
        if (rooms.any()) {
            const int lost_there = rooms.add(*engine, work, request.work);
            if (admits) {
                lost.push_back(lost_there);
            }
        }
        return !admits;
    });
    const bool any_admits = !admitting.empty();
    std::size_t index = 0;
    std::erase_if(admitting, [&](const registered_backend* engine) {
        return rooms.any() && !rooms.admits(*engine, lost[index++], request.priority);
    });
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
    // No engine takes the request: the least loaded one gives the reason and the load to report.
    const registered_backend* least_loaded = state.picker.pick(engines, state.loads, wanted, now);
    if (least_loaded == nullptr) {
        return {};
    }
    const backend_work work = work_at(*least_loaded);
    if (any_admits && !any_has_room) {
        // Ends with the notice, so it tells nothing of how long an overload lasts.
        return {*least_loaded, admission_result::memory_reserved, work, {}};
    }
    const admission_result result =
        any_admits ? admission_result::rate_limited : check_engine(*least_loaded, work);
    return {*least_loaded, result, work, state.overloads[request.service].record_refusal(now)};
}

} // namespace bamboostream
