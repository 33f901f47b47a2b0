#pragma once

#include "bench/policy/simulation.h"

#include <string>
#include <vector>

namespace bamboostream::bench {

/// The measures of one run.
struct result_row {
    std::string workload;
    int load_percent = 0;
    std::string policy;
    std::uint64_t seed = 0;
    run_measures measures;
};

/// Formats the medians over the seeds, with one line for each workload, load and policy.
std::string format_table(const std::vector<result_row>& rows);
/// Writes all rows and the units of the measures.
void write_json(const std::vector<result_row>& rows, const std::string& file);
/// Writes one SVG file for each measure: a bar chart of the medians by workload and policy.
void write_plots(const std::vector<result_row>& rows, const std::string& folder);

} // namespace bamboostream::bench
