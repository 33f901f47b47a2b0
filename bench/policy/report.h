#pragma once

#include "bench/policy/simulation.h"

#include <string>
#include <vector>

namespace bamboostream::bench {

/// One run.
struct result_row {
    std::string workload;
    int load_percent = 0;
    std::string policy;
    std::uint64_t seed = 0;
    run_measures measures;
};

/// Medians over the seeds, a line a workload, load and policy.
std::string format_table(const std::vector<result_row>& rows);
void write_json(const std::vector<result_row>& rows, const std::string& file);
/// One SVG a measure: bars of the medians by workload and policy.
void write_plots(const std::vector<result_row>& rows, const std::string& folder);

} // namespace bamboostream::bench
