#pragma once

#include "bamboostream/Core"
#include "standins/engine_model.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream::bench {

/// One request of a workload, with the length that no policy but the oracle may look at.
struct simulated_request {
    std::uint64_t id = 0;
    std::size_t workspace = 0;
    std::size_t instance = 0;
    std::string kind;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::uint64_t prefix = 0;
    duration at{0};
};

/// What goes wrong during a run.
enum class fault_kind : std::uint8_t {
    none,
    length_drift,
    engine_reclaimed,
    engine_slow,
    reports_frozen,
    instance_cut,
};

/// A deployment and what comes to it.
struct workload {
    std::string name;
    bool tail_latency = false;
    std::size_t engines = 10;
    std::size_t workspaces = 10;
    std::size_t instances = 8;
    bool rush = false;
    fault_kind fault = fault_kind::none;
    seconds length{60};
    milliseconds deadline{30'000};
    standins::engine_parameters engine;
};

/// The workloads of the two deployments, by name.
std::vector<workload> all_workloads();

/// Tokens a second that the pool of this workload can serve, and the mean output length, measured
/// with the oracle on an endless queue.
struct pool_capacity {
    double tokens_per_second = 0.0;
    double mean_output = 0.0;
};
pool_capacity measure_capacity(const workload& w);

/// The seeded requests of one run at `load` times the capacity.
std::vector<simulated_request> make_requests(const workload& w, const pool_capacity& capacity,
                                             double load, std::uint64_t seed);

/// Weight of a workspace; all are equal.
inline constexpr double workspace_weight = 1.0;

} // namespace bamboostream::bench
