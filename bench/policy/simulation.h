#pragma once

#include "bench/policy/workload.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace bamboostream::bench {

/// The routing and admission policies that are compared. `bamboostream` and `oracle` use the real
/// scheduler; the oracle also knows the output lengths and the current state of the engines, and
/// its messages have no delay. The others only choose an engine.
enum class policy_kind : std::uint8_t {
    round_robin,
    least_outstanding,
    least_reported_memory,
    two_choices,
    bamboostream,
    oracle,
};
inline constexpr std::array<std::string_view, 6> policy_names = {
    "round_robin", "least_outstanding", "least_reported_memory",
    "two_choices", "bamboostream",      "oracle"};

/// The measures of one run, as observed by callers.
struct run_measures {
    double preemptions_per_1000 = 0.0;
    double longest_silence_p99_ms = 0.0;
    double total_silence_s = 0.0;
    double inter_token_p99_ms = 0.0;
    double inter_token_p999_ms = 0.0;
    double inter_token_p9999_ms = 0.0;
    double first_token_p95_ms = 0.0;
    /// Only of requests with the kind of output that is shorter in its deployment.
    double short_first_token_p999_ms = 0.0;
    double throughput_tokens_per_s = 0.0;
    /// Jain's fairness index over the backlogged workspaces.
    double jain = 1.0;
    double largest_gap_tokens = 0.0;
    double refused_share = 0.0;
    double wrong_refusals_share = 0.0;
    double admitted_on_return_share = 1.0;
    double completed = 0.0;
};

/// Name and unit of a measure in tables, JSON and plots.
struct measure_column {
    std::string_view name;
    std::string_view unit;
    double run_measures::*member;
};
inline constexpr std::array measure_columns = {
    measure_column{"preemptions_per_1000", "1", &run_measures::preemptions_per_1000},
    measure_column{"longest_silence_p99_ms", "ms", &run_measures::longest_silence_p99_ms},
    measure_column{"total_silence_s", "s", &run_measures::total_silence_s},
    measure_column{"inter_token_p99_ms", "ms", &run_measures::inter_token_p99_ms},
    measure_column{"inter_token_p999_ms", "ms", &run_measures::inter_token_p999_ms},
    measure_column{"inter_token_p9999_ms", "ms", &run_measures::inter_token_p9999_ms},
    measure_column{"first_token_p95_ms", "ms", &run_measures::first_token_p95_ms},
    measure_column{"short_first_token_p999_ms", "ms", &run_measures::short_first_token_p999_ms},
    measure_column{"throughput_tokens_per_s", "1/s", &run_measures::throughput_tokens_per_s},
    measure_column{"jain", "1", &run_measures::jain},
    measure_column{"largest_gap_tokens", "tokens", &run_measures::largest_gap_tokens},
    measure_column{"refused_share", "1", &run_measures::refused_share},
    measure_column{"wrong_refusals_share", "1", &run_measures::wrong_refusals_share},
    measure_column{"admitted_on_return_share", "1", &run_measures::admitted_on_return_share},
    measure_column{"completed", "1", &run_measures::completed},
};

/// Runs one pool of engine models under one policy in simulated time, which is passed to the real
/// decision objects. The instances (8 by default) observe the engines through lagging reports and
/// each other through delayed messages.
run_measures simulate(const workload& w, const std::vector<simulated_request>& requests,
                      policy_kind policy, std::uint64_t seed);

} // namespace bamboostream::bench
