#pragma once

#include "bamboostream/src/Configuration/document.h"
#include "bamboostream/src/Contracts/engine.h"
#include "bamboostream/src/Core/clock.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bamboostream {

/// An engine's true state, for planning.
struct engine_state {
    backend_id id;
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    bool loading = false;
    bool usable = true;
    /// Generations running there; the emptiest engine is changed first.
    std::uint32_t running = 0;
};

/// One order to send to one engine.
struct planned_order {
    backend_id engine;
    placement_order order;
};

/// Paces orders that load from the weight store.
struct load_rate_limit {
    /// Least time between two loads that this holder begins.
    milliseconds between_loads{1'000};
    /// Engines of a pool that may load at the same time.
    std::uint32_t most_loading = 1;
};

/// The next order that brings a pool's engines from their true state to the wanted one; nothing
/// when all is as wanted, or when one more load would take the pool below the engines that must
/// stay in service or outrun the weight store. Orders state the wanted end, so sending one twice
/// does no harm. Called again and again, it converges whatever happened in between.
std::optional<planned_order> plan_next_order(const pool_settings& wanted,
                                             std::span<const engine_state> engines,
                                             const load_rate_limit& pace, time_point last_load,
                                             time_point now);

} // namespace bamboostream
