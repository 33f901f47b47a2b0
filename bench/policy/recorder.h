#pragma once

#include "bench/policy/simulation.h"

#include <unordered_map>
#include <vector>

namespace bamboostream::bench {

/// Records the events of a run as callers observe them and computes its measures.
class recorder {
public:
    recorder(const workload& w, const std::vector<simulated_request>& requests);

    void arrived(const simulated_request& r, time_point now);
    void token(std::uint64_t id, time_point now);
    void finished(std::uint64_t id, time_point now);
    void refused(std::uint64_t id, time_point now);
    /// The request was submitted again after a refusal.
    void returned(std::uint64_t id);
    /// The request was submitted to an engine.
    void started(std::uint64_t id, time_point now);
    run_measures measures(time_point start, time_point end, std::uint64_t preemptions) const;

private:
    /// The history of one request.
    struct stream {
        const simulated_request* request = nullptr;
        time_point arrived{};
        time_point started{};
        time_point refused{};
        time_point first_token{};
        time_point last_token{};
        /// Longest gap between two tokens.
        duration longest{0};
        std::uint32_t tokens = 0;
        bool done = false;
        bool was_refused = false;
        bool has_started = false;
        std::uint32_t returns = 0;
    };
    void measure_fairness(time_point start, time_point end, double rate, run_measures& out) const;
    void measure_refusals(run_measures& out) const;

    const workload& workload_;
    std::unordered_map<std::uint64_t, stream> streams_;
    /// Gaps between successive tokens of all streams, in ms.
    std::vector<float> gaps_;
    /// Tokens generated for each workspace.
    std::vector<double> served_;
    double served_in_window_ = 0.0;
    std::uint64_t returns_ = 0;
    std::uint64_t refusals_after_return_ = 0;
    time_point window_start_{};
};

} // namespace bamboostream::bench
