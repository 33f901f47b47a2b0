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

/// What an engine says of its own load. Reports lag: they describe a moment before they arrive.
struct engine_report {
    /// Size of the cache in tokens.
    double capacity_tokens = 0.0;
    double used_tokens = 0.0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Largest batch the engine decodes at once.
    std::uint32_t max_running = 0;
    /// Preemptions since the engine started.
    std::uint64_t preemptions = 0;
    /// Recent time of one decoding step, milliseconds.
    double step_ms = 0.0;
    /// How old the report was when it was taken, as the engine tells.
    milliseconds age{0};
};

/// One engine as a scheduler sees it: its last report, corrected by what the scheduler has placed
/// there since, and the forecast of its memory.
class engine_view {
public:
    engine_view(backend_id id, failure_domain_id domain);

    void on_report(const engine_report& report, time_point now);
    /// Starts the forecast again from the generations now running.
    void rebuild(std::span<const memory_demand> demands, double expected_soon, time_point now);
    void add(const memory_demand& demand);
    void prefill_started(std::uint32_t prompt_tokens) { prefill_in_flight_ += prompt_tokens; }
    void prefill_ended(std::uint32_t prompt_tokens);
    /// Remembers that the prefix has been sent here, so that later requests may find it cached.
    void remember_prefix(std::uint64_t prefix, time_point now);
    bool may_have_prefix(std::uint64_t prefix, time_point now) const;

    /// Predicted peak with `candidate`, memory held by generations unknown to this scheduler
    /// included, in tokens.
    double peak_with(const memory_demand& candidate, double margin_sigmas) const {
        return forecast_.peak_with(candidate, margin_sigmas) + unknown_tokens_;
    }
    /// Tokens of cache, as reported or assumed until the first report.
    double capacity() const { return report_.capacity_tokens; }
    std::size_t known_running() const { return forecast_.size(); }
    /// Places in the batch that are free now or will be by the time a new request could join it.
    double room_in_batch() const;
    std::uint32_t prefill_in_flight() const { return prefill_in_flight_; }
    const engine_report& report() const { return report_; }
    bool reported() const { return reported_; }
    /// Preemptions since the last call.
    std::uint64_t take_new_preemptions();

    const backend_id& id() const { return id_; }
    const failure_domain_id& failure_domain() const { return domain_; }
    bool usable = true;
    /// Set while the engine is much slower than its peers; it gets work only when no other fits.
    bool slow = false;

private:
    struct sample {
        time_point at{};
        double held = 0.0;
    };
    double held_at(time_point moment) const;

    backend_id id_;
    failure_domain_id domain_;
    memory_forecast forecast_;
    engine_report report_;
    bool reported_ = false;
    double unknown_tokens_ = 0.0;
    /// How many of the known generations are expected to run on a moment from now.
    double expected_soon_ = 0.0;
    std::uint32_t prefill_in_flight_ = 0;
    std::uint64_t preemptions_seen_ = 0;
    std::uint64_t new_preemptions_ = 0;
    std::deque<sample> held_history_;
    std::unordered_map<std::uint64_t, time_point> prefixes_;
};

} // namespace bamboostream
