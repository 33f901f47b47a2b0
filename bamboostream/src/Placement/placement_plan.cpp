#include "bamboostream/src/Placement/placement_plan.h"

#include <algorithm>

namespace bamboostream {

namespace {

bool serves_desired(const engine_state& engine, const pool_settings& desired) {
    return engine.model == desired.model &&
           (desired.version.empty() || engine.version == desired.version);
}

std::optional<std::string> missing_adapter(const engine_state& engine,
                                           const pool_settings& desired) {
    for (const std::string& adapter : desired.adapters) {
        if (std::find(engine.adapters.begin(), engine.adapters.end(), adapter) ==
            engine.adapters.end()) {
            return adapter;
        }
    }
    return std::nullopt;
}

/// The usable engine with the fewest generations that does not serve the desired model and version;
/// null if there is none.
const engine_state* least_loaded_outdated(const pool_settings& desired,
                                          std::span<const engine_state> engines) {
    const engine_state* least_loaded = nullptr;
    for (const engine_state& engine : engines) {
        const bool outdated = engine.usable && !engine.loading && !serves_desired(engine, desired);
        if (outdated && (least_loaded == nullptr || engine.running < least_loaded->running)) {
            least_loaded = &engine;
        }
    }
    return least_loaded;
}

} // namespace

std::optional<planned_order> plan_next_order(const pool_settings& desired,
                                             std::span<const engine_state> engines,
                                             const load_rate_limit& limit, time_point last_load,
                                             time_point now) {
    for (const engine_state& engine : engines) {
        const auto adapter = missing_adapter(engine, desired);
        if (engine.usable && !engine.loading && serves_desired(engine, desired) && adapter) {
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
            return e.usable && !e.loading && e.model == desired.model;
        }));
    const engine_state* next = least_loaded_outdated(desired, engines);
    if (next == nullptr || loading >= limit.max_concurrent_loads ||
        (last_load != time_point{} && now - last_load < limit.min_load_interval)) {
        return std::nullopt;
    }
    // An engine with another version of the model still serves requests, so reloading it must leave
    // enough engines in service. One with another model does not count towards them.
    const bool serves = next->model == desired.model;
    if (serves && serving <= desired.least_serving) {
        return std::nullopt;
    }
    placement_order order;
    order.kind = "load_model";
    order.model = desired.model;
    order.version = desired.version;
    return planned_order{next->id, order};
}

} // namespace bamboostream
