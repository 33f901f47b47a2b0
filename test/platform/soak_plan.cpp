#include "test/platform/soak_plan.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <random>

namespace bamboostream::test {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(soak_fault::count_)> fault_names = {
    "kill",           "terminate",       "pause",
    "store_refuses",  "store_is_silent", "store_forgets",
    "configuration",  "server_leaves",   "server_joins",
    "link_stalls",    "link_cut",        "link_loses_answers",
    "link_refuses",   "server_removed",  "store_is_silent_to_half",
    "harmful_request"};
/// Mean time between steps. Short compared to most durations, so that several faults are active at
/// any time.
constexpr double mean_gap_ms = 350.0;
constexpr int min_duration_ms = 200;
constexpr int max_duration_ms = 2'500;

} // namespace

std::vector<soak_step> make_soak_plan(std::uint64_t seed, milliseconds length) {
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(1.0 / mean_gap_ms);
    std::uniform_int_distribution<int> duration(min_duration_ms, max_duration_ms);
    std::uniform_int_distribution<int> fault(0, static_cast<int>(soak_fault::count_) - 1);
    std::uniform_int_distribution<unsigned> target(0, 1'000);
    std::vector<soak_step> out;
    double at_ms = gap(random);
    while (at_ms < static_cast<double>(length.count())) {
        soak_step step;
        step.at = milliseconds(static_cast<int>(at_ms));
        step.fault = static_cast<soak_fault>(fault(random));
        step.target = target(random);
        step.duration = std::min(milliseconds(duration(random)), length - step.at);
        out.push_back(step);
        at_ms += gap(random);
    }
    return out;
}

std::string print(const std::vector<soak_step>& plan) {
    std::string out;
    for (const soak_step& step : plan) {
        out += fmt::format("at_ms={} fault={} target={} lasts_ms={}\n", step.at.count(),
                           fault_names.at(static_cast<std::size_t>(step.fault)), step.target,
                           step.duration.count());
    }
    return out;
}

} // namespace bamboostream::test
