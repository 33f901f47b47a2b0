#include "test/platform/soak_plan.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <random>

namespace bamboostream::test {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(soak_fault::count_)> fault_names = {
    "kill",
    "terminate",
    "pause",
    "store_refuses",
    "store_is_silent",
    "store_forgets",
    "configuration",
    "server_leaves",
    "server_joins",
    "link_stalls",
    "link_cut",
    "link_loses_answers",
    "link_refuses",
    "server_removed",
    "store_is_silent_to_half",
    "harmful_request",
    "instances_cut_off",
    "domain_cut_off",
    "server_names_limit",
    "server_repeats_responses"};
/// Mean time between steps. Short compared to most durations, so that several faults are active at
/// any time.
constexpr double mean_gap_ms = 350.0;
constexpr int min_duration_ms = 200;
constexpr int max_duration_ms = 2'500;
/// Kinds of faults whose steps are drawn together. Those that follow are drawn separately, so that
/// the plan of a seed keeps its other steps.
constexpr int drawn_together = static_cast<int>(soak_fault::instances_cut_off);
constexpr std::uint64_t cut_seed_offset = 1'000'003;
constexpr double mean_cut_gap_ms = 1'500.0;
constexpr std::array<std::string_view, 3> cut_manners = {"silent", "no_new_connections", "reset"};
constexpr std::uint64_t domain_cut_seed_offset = 2'000'003;
constexpr double mean_domain_cut_gap_ms = 2'000.0;
/// Long enough that callers' first tries are counted during the partition.
constexpr milliseconds min_domain_cut{4'000};
constexpr std::uint64_t limit_seed_offset = 3'000'003;
constexpr double mean_limit_gap_ms = 2'500.0;
/// Longer than the time after which the limit must be kept.
constexpr milliseconds min_limit_time{4'000};
constexpr std::uint64_t repeat_seed_offset = 4'000'003;
constexpr double mean_repeat_gap_ms = 1'500.0;
constexpr std::array<double, 4> limits = {0.5, 2.0, 5.0, 20.0};

/// Appends steps with exponential gaps; `draw_fault` draws the kind of each.
template <typename draw>
void append_steps(std::vector<soak_step>& out, std::mt19937_64& random, double mean_gap,
                  milliseconds length, draw draw_fault) {
    std::exponential_distribution<double> gap(1.0 / mean_gap);
    std::uniform_int_distribution<int> duration(min_duration_ms, max_duration_ms);
    std::uniform_int_distribution<unsigned> target(0, 1'000);
    double at_ms = gap(random);
    while (at_ms < static_cast<double>(length.count())) {
        soak_step step;
        step.at = milliseconds(static_cast<int>(at_ms));
        step.fault = draw_fault();
        step.target = target(random);
        step.duration = std::min(milliseconds(duration(random)), length - step.at);
        out.push_back(step);
        at_ms += gap(random);
    }
}

} // namespace

std::vector<soak_step> make_soak_plan(std::uint64_t seed, milliseconds length) {
    std::mt19937_64 random(seed);
    std::mt19937_64 cut_random(seed + cut_seed_offset);
    std::uniform_int_distribution<int> fault(0, drawn_together - 1);
    std::vector<soak_step> out;
    append_steps(out, random, mean_gap_ms, length,
                 [&] { return static_cast<soak_fault>(fault(random)); });
    append_steps(out, cut_random, mean_cut_gap_ms, length,
                 [] { return soak_fault::instances_cut_off; });
    std::vector<soak_step> domain_cuts;
    std::mt19937_64 domain_cut_random(seed + domain_cut_seed_offset);
    append_steps(domain_cuts, domain_cut_random, mean_domain_cut_gap_ms, length,
                 [] { return soak_fault::domain_cut_off; });
    for (soak_step& step : domain_cuts) {
        step.duration = std::min(min_domain_cut + step.duration, length - step.at);
    }
    out.insert(out.end(), domain_cuts.begin(), domain_cuts.end());
    std::vector<soak_step> named_limits;
    std::mt19937_64 limit_random(seed + limit_seed_offset);
    append_steps(named_limits, limit_random, mean_limit_gap_ms, length,
                 [] { return soak_fault::server_names_limit; });
    for (soak_step& step : named_limits) {
        step.duration = std::min(min_limit_time + step.duration, length - step.at);
    }
    out.insert(out.end(), named_limits.begin(), named_limits.end());
    std::mt19937_64 repeat_random(seed + repeat_seed_offset);
    append_steps(out, repeat_random, mean_repeat_gap_ms, length,
                 [] { return soak_fault::server_repeats_responses; });
    std::stable_sort(out.begin(), out.end(),
                     [](const soak_step& a, const soak_step& b) { return a.at < b.at; });
    return out;
}

soak_cut cut_of(const soak_step& step, std::size_t instances) {
    soak_cut out;
    std::size_t rest = step.target;
    out.manner = cut_manners[rest % cut_manners.size()];
    rest /= cut_manners.size();
    out.count = 1 + rest % instances;
    rest /= instances;
    out.first = rest % instances;
    return out;
}

double limit_of(const soak_step& step) {
    return limits.at(step.target % limits.size());
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
