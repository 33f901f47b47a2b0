#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Routing/memory_forecast.h"

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// Load of an engine as reported by itself. A report describes a time before its arrival.
struct engine_report {
    /// Capacity of the KV cache in tokens.
    double capacity_tokens = 0.0;
    double used_tokens = 0.0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Maximum batch size of the engine.
    std::uint32_t max_running = 0;
    /// Preemptions since the engine started.
    std::uint64_t preemptions = 0;
    /// Recent time of one decoding step in milliseconds.
    double step_ms = 0.0;
    /// Age of the data when the report was sent, as stated by the engine.
    milliseconds age{0};
};

/// State of one engine as known to a scheduler: its last report, what the scheduler has assigned to
/// it since, and the forecast of its memory. Not thread-safe.
class engine_view {
public:
    engine_view(backend_id id, failure_domain_id domain);

    void on_report(const engine_report& report, time_point now);
    /// Rebuilds the forecast from the generations that run now. `expected_running` is how many of
    /// them are expected to be still running when a new request could join the batch.
    void rebuild(std::span<const memory_demand> demands, double expected_running, time_point now);
    void add(const memory_demand& demand);
    void prefill_started(std::uint32_t prompt_tokens) { prefill_in_flight_ += prompt_tokens; }
    void prefill_ended(std::uint32_t prompt_tokens);
    /// Records that the prefix has been sent to this engine, so that later requests may find it
    /// cached.
    void remember_prefix(std::uint64_t prefix, time_point now);
    bool may_have_prefix(std::uint64_t prefix, time_point now) const;

    /// Predicted peak of memory use with `candidate`, in tokens, including memory held by
    /// generations that this scheduler doesn't know.
    double peak_with(const memory_demand& candidate, double margin_sigmas) const {
        return forecast_.peak_with(candidate, margin_sigmas) + unattributed_tokens_;
    }
    /// Capacity of the cache in tokens, assumed until the first report.
    double capacity() const { return report_.capacity_tokens; }
    std::size_t known_running() const { return forecast_.size(); }
    /// Expected number of free slots in the batch at the time when a new request could join it.
    double room_in_batch() const;
    std::uint32_t prefill_in_flight() const { return prefill_in_flight_; }
    const engine_report& report() const { return report_; }
    bool reported() const { return reported_; }
    /// Preemptions since the last call.
    std::uint64_t take_new_preemptions();

    const backend_id& id() const { return id_; }
    const failure_domain_id& failure_domain() const { return domain_; }
    bool usable = true;
    /// Set while the engine is much slower than the others of its pool; it then gets work only when
    /// no other engine fits.
    bool slow = false;

private:
    struct sample {
        time_point at{};
        double held = 0.0;
    };
    double known_tokens_at(time_point moment) const;

    backend_id id_;
    failure_domain_id domain_;
    memory_forecast forecast_;
    engine_report report_;
    bool reported_ = false;
    double unattributed_tokens_ = 0.0;
    /// Number of the known generations that are expected to be still running when a new request
    /// could join the batch.
    double expected_running_ = 0.0;
    std::uint32_t prefill_in_flight_ = 0;
    std::uint64_t preemptions_seen_ = 0;
    std::uint64_t new_preemptions_ = 0;
    std::deque<sample> known_tokens_history_;
    std::unordered_map<std::uint64_t, time_point> prefixes_;
};

} // namespace bamboostream
