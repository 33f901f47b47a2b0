#pragma once

#include "bamboostream/src/Configuration/document.h"
#include "bamboostream/src/Contracts/engine.h"
#include "bamboostream/src/Core/clock.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bamboostream {

/// The state reported by an engine, as input for planning.
struct engine_state {
    backend_id id;
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    bool loading = false;
    bool usable = true;
    /// Generations in progress; the engine with the fewest is changed first.
    std::uint32_t running = 0;
};

/// The next order and the engine to send it to.
struct planned_order {
    backend_id engine;
    placement_order order;
};

/// Limits the rate of model loads, which read from the weight store.
struct load_rate_limit {
    /// Minimum time between the starts of two loads by the same lease holder.
    milliseconds min_load_interval{1'000};
    /// Maximum number of engines of a pool that load at the same time.
    std::uint32_t max_concurrent_loads = 1;
};

/// Returns the next order that moves a pool's engines from their reported state towards the desired
/// one. Returns nothing if the desired state is reached, or if another load would leave fewer
/// engines in service than required or exceed the rate limit of the weight store. Orders state the
/// desired state and are idempotent, so repeated calls converge regardless of what happened in
/// between.
std::optional<planned_order> plan_next_order(const pool_settings& desired,
                                             std::span<const engine_state> engines,
                                             const load_rate_limit& limit, time_point last_load,
                                             time_point now);

} // namespace bamboostream
