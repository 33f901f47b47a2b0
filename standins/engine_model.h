#pragma once

#include "bamboostream/Core"
#include "bamboostream/Routing"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboostream::standins {

/// What an engine does with a generation it pushes out when its memory is full.
enum class preemption_mode : std::uint8_t { recompute, wait };

/// Size and speed of a modelled engine.
struct engine_parameters {
    std::uint32_t blocks = 1024;
    std::uint32_t block_tokens = 16;
    std::uint32_t max_running = 64;
    double step_base_ms = 12.0;
    double step_per_sequence_ms = 0.25;
    double prefill_ms_per_token = 0.04;
    /// Prompt tokens processed in one step at most.
    std::uint32_t prefill_chunk = 512;
    milliseconds report_lag{250};
    preemption_mode mode = preemption_mode::recompute;
    std::uint32_t cached_prefixes = 64;
    /// All times are multiplied by this; above one the engine is slow.
    double slowness = 1.0;
};

/// A generation as the engine runs it.
struct model_job {
    std::uint64_t id = 0;
    std::uint32_t prompt_tokens = 0;
    /// The length that the caller never sees.
    std::uint32_t output_tokens = 1;
    priority_level priority = priority_level::standard;
    std::uint64_t prefix = 0;
    std::uint32_t prefix_tokens = 0;
    /// Tokens whose cache memory was copied here from another engine; not computed again unless the
    /// job is pushed out. Such a job is admitted before those that wait.
    std::uint32_t carried_tokens = 0;
};

/// What happens to a job.
struct model_event {
    enum class kind : std::uint8_t { token, finished, preempted };
    std::uint64_t id = 0;
    kind what = kind::token;
    /// Number of the token, from 0.
    std::uint32_t sequence = 0;
    time_point at{};
};

/// A change of the prefix cache, published late and with gaps by the program around the model.
struct cache_event {
    std::uint64_t number = 0;
    std::uint64_t prefix = 0;
    bool stored = true;
};

/// A model of a continuously batching engine in pure time: steps whose length grows with the batch
/// and with prefill, cache memory in blocks that fills as outputs grow, and preemption by priority
/// when it is full. One class for the stand-in program and for the benchmarks.
///
/// Example: `model.submit(job, now); model.advance(later, [](const model_event& e) { … });`
class engine_model {
public:
    using sink = std::function<void(const model_event&)>;

    explicit engine_model(engine_parameters parameters);

    void submit(const model_job& job, time_point now);
    bool cancel(std::uint64_t id);
    /// Runs all steps that end at or before `now`.
    void advance(time_point now, const sink& events);
    /// When the step in progress ends; nothing while idle.
    std::optional<time_point> next_step_end() const;
    /// The state as it was `report_lag` ago.
    engine_report report(time_point now) const;
    /// The state at this moment.
    engine_report report_now() const;
    std::uint64_t preemptions() const { return preemptions_; }
    std::uint64_t tokens_served() const { return tokens_served_; }
    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }
    const std::deque<cache_event>& cache_events() const { return cache_events_; }
    void set_slowness(double factor) { parameters_.slowness = factor; }
    void set_report_frozen(bool frozen, time_point now);

private:
    struct sequence {
        model_job job;
        std::uint32_t produced = 0;
        /// Tokens whose cache must still be computed before the next output token.
        std::uint32_t to_prefill = 0;
        std::uint32_t blocks = 0;
        std::uint64_t order = 0;
    };
    struct snapshot {
        time_point at{};
        engine_report report;
    };

    std::uint32_t blocks_for(std::uint32_t tokens) const;
    void admit_waiting();
    void begin_step(time_point now);
    void end_step(const sink& events);
    bool grow(std::size_t index, const sink& events);
    void preempt(std::size_t index, const sink& events);
    void release(sequence& s);
    void record(time_point at);
    bool touch_prefix(const model_job& job);

    engine_parameters parameters_;
    std::deque<sequence> waiting_;
    std::vector<sequence> running_;
    std::uint32_t free_blocks_;
    std::uint64_t next_order_ = 0;
    std::uint64_t preemptions_ = 0;
    std::uint64_t tokens_served_ = 0;
    bool stepping_ = false;
    time_point step_end_{};
    double last_step_ms_ = 0.0;
    std::deque<snapshot> history_;
    bool frozen_ = false;
    snapshot frozen_report_;
    std::deque<std::uint64_t> prefixes_;
    std::deque<cache_event> cache_events_;
    std::uint64_t next_cache_event_ = 0;
};

} // namespace bamboostream::standins
