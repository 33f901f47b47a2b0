#pragma once

#include "programs/ctl/operator_client.h"

#include <string>
#include <vector>

namespace bamboostream::ctl {

/// Burn rate of one objective of one workspace and pool over one time window.
struct burn_figure {
    std::string window;
    std::uint64_t requests = 0;
    /// Requests that missed the objective.
    std::uint64_t bad = 0;
    /// Rate at which the error budget is spent, relative to the allowed rate; 1 spends it exactly.
    double burn = 0.0;
};

/// Burn rates of one objective of one workspace and pool over all windows.
struct burn_line {
    std::string workspace;
    std::string pool;
    std::string objective;
    /// Fraction of requests that must meet the objective.
    double target = 0.0;
    std::vector<burn_figure> windows;
    /// Remaining fraction of the error budget of the longest window; negative when overspent.
    double budget_left = 1.0;
    /// Number of bad requests in each of the last 60 minutes, oldest first.
    std::vector<double> minutes;
};

/// Service-level report over all instances that responded.
struct slo_report {
    /// Sorted by the remaining budget, smallest first.
    std::vector<burn_line> lines;
    std::vector<std::string> answered;
    /// Known instances that did not respond. Their requests are missing from the report.
    std::vector<std::string> silent;
};

/// Collects the report from all instances. Empty with the reason in `why` when none responds.
slo_report gather_slo_report(const operator_client& client, std::string& why);
std::string as_text(const slo_report& report);
std::string as_json(const slo_report& report);
/// Returns a self-contained HTML page with plots.
std::string as_html(const slo_report& report);

} // namespace bamboostream::ctl
