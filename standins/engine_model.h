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

/// What an engine does with the KV cache of a generation that it preempts when its memory is full:
/// `recompute` discards it, so that it is computed again; `wait` sets it aside and keeps it.
enum class preemption_mode : std::uint8_t { recompute, wait };

/// Capacity and speed of a modelled engine.
struct engine_parameters {
    std::uint32_t blocks = 1024;
    std::uint32_t block_tokens = 16;
    std::uint32_t max_running = 64;
    double step_base_ms = 12.0;
    double step_per_sequence_ms = 0.25;
    double prefill_ms_per_token = 0.04;
    /// Upper limit of the prompt tokens that one step processes.
    std::uint32_t prefill_chunk = 512;
    /// How old the state is that `engine_model::report` returns.
    milliseconds report_lag{250};
    preemption_mode mode = preemption_mode::recompute;
    /// Size of the prefix cache, which evicts the least recently used prefix.
    std::uint32_t cached_prefixes = 64;
    /// Multiplies the duration of every step; above 1 the engine is slower than normal.
    double slowness = 1.0;
};

/// A generation as submitted to the engine.
struct model_job {
    std::uint64_t id = 0;
    std::uint32_t prompt_tokens = 0;
    /// Number of tokens after which the generation finishes; not known to the caller in advance.
    std::uint32_t output_tokens = 1;
    priority_level priority = priority_level::standard;
    /// Identifies a shared prompt prefix; 0 for none.
    std::uint64_t prefix = 0;
    /// Prompt tokens that need no prefill when the prefix is cached.
    std::uint32_t prefix_tokens = 0;
    /// Tokens whose KV cache was copied from another engine; they need no prefill unless the job is
    /// preempted. `submit` puts such a job at the front of the queue, which is then sorted by
    /// priority and arrival.
    std::uint32_t carried_tokens = 0;
};

/// A token, the end or a preemption of a job.
struct model_event {
    enum class kind : std::uint8_t { token, finished, preempted };
    std::uint64_t id = 0;
    kind what = kind::token;
    /// Index of the token, from 0; of the next token for a preemption, 0 for the end.
    std::uint32_t sequence = 0;
    time_point at{};
};

/// A prefix that was stored in or evicted from the prefix cache. The stand-in engine publishes
/// these events with a delay and with gaps.
struct cache_event {
    std::uint64_t number = 0;
    std::uint64_t prefix = 0;
    bool stored = true;
};

/// A model of an engine with continuous batching that runs on timestamps given by its user. The
/// duration of a step grows with the batch size and with the prompt tokens prefilled in it; KV
/// cache is allocated in blocks as outputs grow; when no block is free, a sequence is preempted by
/// priority. Used by the stand-in engine, the tests and the benchmarks. Not thread-safe.
///
/// Example: `model.submit(job, now); model.advance(later, [](const model_event& e) { … });`
class engine_model {
public:
    using sink = std::function<void(const model_event&)>;

    explicit engine_model(engine_parameters parameters);

    void submit(const model_job& job, time_point now);
    /// Removes a waiting or running job; false if there is none with this id.
    bool cancel(std::uint64_t id);
    /// Runs all steps that end at or before `now` and passes their events to `events`.
    void advance(time_point now, const sink& events);
    /// End of the step in progress; `nullopt` while the engine is idle.
    std::optional<time_point> next_step_end() const;
    /// The state as it was `report_lag` ago, or when the report was frozen.
    engine_report report(time_point now) const;
    /// The state without the lag.
    engine_report report_now() const;
    std::uint64_t preemptions() const { return preemptions_; }
    std::uint64_t tokens_served() const { return tokens_served_; }
    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }
    const std::deque<cache_event>& cache_events() const { return cache_events_; }
    void set_slowness(double factor) { parameters_.slowness = factor; }
    /// While frozen, `report` returns the state that it returned when it was frozen.
    void set_report_frozen(bool frozen, time_point now);

private:
    struct sequence {
        model_job job;
        std::uint32_t produced = 0;
        /// Tokens to prefill before the next output token.
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
    /// Marks the prefix of `job` as most recently used, storing it if necessary; true if it was
    /// cached.
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
    /// Cached prefixes, least recently used first.
    std::deque<std::uint64_t> prefixes_;
    std::deque<cache_event> cache_events_;
    std::uint64_t next_cache_event_ = 0;
};

} // namespace bamboostream::standins
