// Compares routing and admission policies over seeded workloads. Prints a table and writes JSON and
// plots.

#include "bamboostream/Core"
#include "bench/policy/report.h"
#include "bench/policy/simulation.h"

#include <atomic>
#include <cmath>
#include <fmt/format.h>
#include <mutex>
#include <thread>

using namespace bamboostream;
using namespace bamboostream::bench;

namespace {

struct job {
    workload w;
    int load_percent = 0;
    policy_kind policy = policy_kind::round_robin;
    std::uint64_t seed = 0;
};

std::vector<job> make_jobs(std::int64_t seeds, const std::string& only) {
    std::vector<job> jobs;
    for (const workload& w : all_workloads()) {
        if (!only.empty() && w.name.find(only) == std::string::npos) {
            continue;
        }
        const bool steady = !w.rush && w.fault == fault_kind::none;
        const std::vector<int> loads =
            steady ? std::vector<int>{70, 90, 110, 200} : std::vector<int>{w.rush ? 90 : 110};
        for (const int load : loads) {
            for (std::int64_t seed = 1; seed <= seeds; ++seed) {
                for (std::size_t p = 0; p < policy_names.size(); ++p) {
                    jobs.push_back(
                        {w, load, static_cast<policy_kind>(p), static_cast<std::uint64_t>(seed)});
                }
            }
        }
    }
    return jobs;
}

result_row run(const job& j) {
    const pool_capacity capacity = measure_capacity(j.w);
    const auto requests = make_requests(j.w, capacity, j.load_percent / 100.0, j.seed);
    return {j.w.name, j.load_percent, std::string(policy_names[static_cast<std::size_t>(j.policy)]),
            j.seed, simulate(j.w, requests, j.policy, j.seed)};
}

} // namespace

int main(int argc, char** argv) {
    std::int64_t seeds = 20;
    std::int64_t threads = std::thread::hardware_concurrency();
    std::string json_file;
    std::string plot_folder;
    std::string only;
    settings s("policy-bench", "Compares routing and admission policies");
    s.number("seeds", &seeds, "Seeds of each workload", 1, 1000);
    s.number("bench-threads", &threads, "Runs at the same time", 1, 256);
    s.text("json", &json_file, "File to write all rows to");
    s.text("plots", &plot_folder, "Folder to write plots to");
    s.text("only", &only, "Run only workloads whose name contains this");
    if (s.parse(argc, argv) != settings_outcome::run) {
        return s.exit_code();
    }
    const std::vector<job> jobs = make_jobs(seeds, only);
    std::vector<result_row> rows(jobs.size());
    std::atomic<std::size_t> next{0};
    {
        std::vector<std::jthread> workers;
        for (std::int64_t i = 0; i < threads; ++i) {
            workers.emplace_back([&] {
                for (std::size_t at = next++; at < jobs.size(); at = next++) {
                    rows[at] = run(jobs[at]);
                }
            });
        }
    }
    fmt::print("{}", format_table(rows));
    if (!json_file.empty()) {
        write_json(rows, json_file);
    }
    if (!plot_folder.empty()) {
        write_plots(rows, plot_folder);
    }
    return exit_code_ok;
}
