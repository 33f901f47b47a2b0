#pragma once

#include "bamboostream/Core"
#include "standins/engine_model.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream::bench {

/// One request of a workload. Only the oracle may read `output_tokens`.
struct simulated_request {
    std::uint64_t id = 0;
    std::size_t workspace = 0;
    std::size_t instance = 0;
    std::string kind;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    /// Identifies a shared prompt prefix; 0 for none.
    std::uint64_t prefix = 0;
    /// Arrival, relative to the start of the run.
    duration at{0};
};

/// The fault that is injected during a run.
enum class fault_kind : std::uint8_t {
    none,
    length_drift,
    engine_reclaimed,
    engine_slow,
    reports_frozen,
    instance_cut,
};

/// A deployment and the load on it.
struct workload {
    std::string name;
    /// Selects the consortium's deployment and the tail latency objective instead of the registry's
    /// and stall time.
    bool tail_latency = false;
    std::size_t engines = 10;
    std::size_t workspaces = 10;
    std::size_t instances = 8;
    /// Most requests arrive in the first fifth of the run.
    bool rush = false;
    fault_kind fault = fault_kind::none;
    seconds length{60};
    milliseconds deadline{30'000};
    standins::engine_parameters engine;
};

/// The workloads of the two deployments, by name.
std::vector<workload> all_workloads();

/// The throughput of a workload's pool and the mean output length. The throughput is measured with
/// the oracle under an overload, so that requests are always waiting.
struct pool_capacity {
    double tokens_per_second = 0.0;
    double mean_output = 0.0;
};
/// Measures the capacity without faults and rush. Thread-safe; results are cached by deployment and
/// number of engines.
pool_capacity measure_capacity(const workload& w);

/// Generates the requests of one run at `load` times the capacity, in order of arrival. The same
/// seed yields the same requests.
std::vector<simulated_request> make_requests(const workload& w, const pool_capacity& capacity,
                                             double load, std::uint64_t seed);

/// The weight of every workspace.
inline constexpr double workspace_weight = 1.0;

} // namespace bamboostream::bench
