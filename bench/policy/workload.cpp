#include "bench/policy/workload.h"

#include "bench/policy/simulation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <mutex>
#include <random>

namespace bamboostream::bench {

namespace {

/// Prompt lengths (uniform) and output lengths (log-normal) of a kind of request, and the fraction
/// of requests that have this kind.
struct output_shape {
    std::string kind;
    double median;
    double sigma;
    std::uint32_t min_prompt_tokens;
    std::uint32_t max_prompt_tokens;
    double share;
};

/// The kinds of requests of the two deployments: drafts of statements at the registry, short labels
/// mixed with long summaries at the consortium.
const std::vector<output_shape>& output_shapes(bool tail_latency) {
    static const std::vector<output_shape> registry = {
        {"draft", 160.0, 0.9, 100, 600, 0.8},
        {"reconciliation", 400.0, 0.7, 300, 1200, 0.2},
    };
    static const std::vector<output_shape> consortium = {
        {"label", 12.0, 0.5, 60, 400, 0.6},
        {"summary", 420.0, 0.8, 200, 900, 0.4},
    };
    return tail_latency ? consortium : registry;
}

constexpr double max_output_tokens = 6000.0;
constexpr std::size_t large_workspaces = 3;
constexpr double large_workspace_share = 0.7;
constexpr std::uint64_t prefixes_per_workspace = 6;

std::size_t draw_workspace(const workload& w, std::mt19937_64& random) {
    std::uniform_real_distribution<> uniform(0.0, 1.0);
    if (uniform(random) < large_workspace_share) {
        return std::uniform_int_distribution<std::size_t>(0, large_workspaces - 1)(random);
    }
    return std::uniform_int_distribution<std::size_t>(large_workspaces, w.workspaces - 1)(random);
}

void draw_output(const workload& w, simulated_request& r, double stretch, std::mt19937_64& random) {
    const auto& shapes = output_shapes(w.tail_latency);
    double u = std::uniform_real_distribution<>(0.0, 1.0)(random);
    std::size_t i = 0;
    while (i + 1 < shapes.size() && u >= shapes[i].share) {
        u -= shapes[i++].share;
    }
    const output_shape& shape = shapes[i];
    r.kind = shape.kind;
    r.prompt_tokens = std::uniform_int_distribution<std::uint32_t>(shape.min_prompt_tokens,
                                                                   shape.max_prompt_tokens)(random);
    const double normal = std::normal_distribution<>(0.0, 1.0)(random);
    r.output_tokens = static_cast<std::uint32_t>(std::clamp(
        stretch * shape.median * std::exp(shape.sigma * normal), 1.0, max_output_tokens));
}

} // namespace

std::vector<workload> all_workloads() {
    std::vector<workload> out;
    const auto add = [&](std::string name, bool tail, bool rush, fault_kind fault) {
        workload w;
        w.name = std::move(name);
        w.tail_latency = tail;
        w.engines = tail ? 15 : 10;
        w.rush = rush;
        w.fault = fault;
        out.push_back(w);
    };
    add("registry_steady", false, false, fault_kind::none);
    add("consortium_steady", true, false, fault_kind::none);
    add("registry_rush", false, true, fault_kind::none);
    add("consortium_rush", true, true, fault_kind::none);
    add("registry_drift", false, false, fault_kind::length_drift);
    add("consortium_reclaimed", true, false, fault_kind::engine_reclaimed);
    add("registry_slow_engine", false, false, fault_kind::engine_slow);
    add("registry_reports_frozen", false, false, fault_kind::reports_frozen);
    add("consortium_instance_cut", true, false, fault_kind::instance_cut);
    return out;
}

std::vector<simulated_request> make_requests(const workload& w, const pool_capacity& capacity,
                                             double load, std::uint64_t seed) {
    std::mt19937_64 random(seed * 7919 + 17);
    const double per_second = load * capacity.tokens_per_second / capacity.mean_output;
    const double span = static_cast<double>(w.length.count());
    const auto count = static_cast<std::size_t>(per_second * span);
    std::uniform_real_distribution<> uniform(0.0, 1.0);
    std::vector<simulated_request> out(count);
    for (std::size_t i = 0; i < count; ++i) {
        simulated_request& r = out[i];
        r.id = seed * 10'000'000 + i + 1;
        const double u = uniform(random);
        // In a rush, two thirds of the requests are moved into the first fifth of the run.
        const double position = w.rush && uniform(random) < 0.67 ? u / 5.0 : u;
        r.at = from_milliseconds(position * span * 1000.0);
        r.workspace = draw_workspace(w, random);
        r.instance = std::uniform_int_distribution<std::size_t>(0, w.instances - 1)(random);
        const bool drifted = w.fault == fault_kind::length_drift && position > 0.4;
        draw_output(w, r, drifted ? 2.5 : 1.0, random);
        r.prefix =
            uniform(random) < 0.5 ? r.workspace * 100 + 1 + random() % prefixes_per_workspace : 0;
    }
    std::sort(out.begin(), out.end(),
              [](const simulated_request& a, const simulated_request& b) { return a.at < b.at; });
    return out;
}

pool_capacity measure_capacity(const workload& w) {
    static std::mutex mutex;
    static std::map<std::pair<bool, std::size_t>, pool_capacity> known;
    const std::lock_guard lock(mutex);
    const auto found = known.find({w.tail_latency, w.engines});
    if (found != known.end()) {
        return found->second;
    }
    workload plain = w;
    plain.fault = fault_kind::none;
    plain.rush = false;
    plain.deadline = milliseconds(600'000);
    std::mt19937_64 random(4242);
    double sum = 0.0;
    constexpr int samples = 20'000;
    for (int i = 0; i < samples; ++i) {
        simulated_request r;
        draw_output(plain, r, 1.0, random);
        sum += r.output_tokens;
    }
    pool_capacity guess;
    guess.mean_output = sum / samples;
    // Far more than the pool can serve, so that the measured throughput is its capacity.
    guess.tokens_per_second = 3000.0 * static_cast<double>(w.engines);
    const auto requests = make_requests(plain, guess, 1.5, 1);
    const run_measures measured = simulate(plain, requests, policy_kind::oracle, 1);
    pool_capacity out{measured.throughput_tokens_per_s, guess.mean_output};
    known[{w.tail_latency, w.engines}] = out;
    return out;
}

} // namespace bamboostream::bench
