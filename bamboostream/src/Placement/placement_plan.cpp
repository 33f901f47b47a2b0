#include "bamboostream/src/Placement/placement_plan.h"

#include <algorithm>

namespace bamboostream {

namespace {

bool serves_wanted(const engine_state& engine, const pool_settings& wanted) {
    return engine.model == wanted.model &&
           (wanted.version.empty() || engine.version == wanted.version);
}

std::optional<std::string> missing_adapter(const engine_state& engine,
                                           const pool_settings& wanted) {
    for (const std::string& adapter : wanted.adapters) {
        if (std::find(engine.adapters.begin(), engine.adapters.end(), adapter) ==
            engine.adapters.end()) {
            return adapter;
        }
    }
    return std::nullopt;
}

/// The emptiest engine that serves something else, or null.
const engine_state* emptiest_outdated(const pool_settings& wanted,
                                      std::span<const engine_state> engines) {
    const engine_state* best = nullptr;
    for (const engine_state& engine : engines) {
        const bool outdated = engine.usable && !engine.loading && !serves_wanted(engine, wanted);
        if (outdated && (best == nullptr || engine.running < best->running)) {
            best = &engine;
        }
    }
    return best;
}

} // namespace

std::optional<planned_order> plan_next_order(const pool_settings& wanted,
                                             std::span<const engine_state> engines,
                                             const load_rate_limit& pace, time_point last_load,
                                             time_point now) {
    for (const engine_state& engine : engines) {
        const auto adapter = missing_adapter(engine, wanted);
        if (engine.usable && !engine.loading && serves_wanted(engine, wanted) && adapter) {
            placement_order order;
            order.kind = "load_adapter";
            order.adapter = *adapter;
            return planned_order{engine.id, order};
        }
    }
    const auto loading = static_cast<std::uint32_t>(
        std::count_if(engines.begin(), engines.end(), [](const auto& e) { return e.loading; }));
    const auto serving = static_cast<std::uint32_t>(
        std::count_if(engines.begin(), engines.end(), [&](const auto& e) {
            return e.usable && !e.loading && e.model == wanted.model;
        }));
    const engine_state* next = emptiest_outdated(wanted, engines);
    if (next == nullptr || loading >= pace.most_loading ||
        (last_load != time_point{} && now - last_load < pace.between_loads)) {
        return std::nullopt;
    }
    // An engine that serves another version of the model still serves: taking it away must leave
    // enough. One that serves another model adds nothing to lose.
    const bool serves = next->model == wanted.model;
    if (serves && serving <= wanted.least_serving) {
        return std::nullopt;
    }
    placement_order order;
    order.kind = "load_model";
    order.model = wanted.model;
    order.version = wanted.version;
    return planned_order{next->id, order};
}

} // namespace bamboostream
