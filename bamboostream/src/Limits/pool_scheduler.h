#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Lengths/length_estimator.h"
#include "bamboostream/src/Limits/fair_queue.h"
#include "bamboostream/src/Limits/retry_schedule.h"
#include "bamboostream/src/Limits/service_rate.h"
#include "bamboostream/src/Routing/engine_view.h"
#include "bamboostream/src/Routing/objective.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// A request to be scheduled on one of a pool's engines.
struct scheduling_request {
    std::uint64_t id = 0;
    std::string workspace;
    priority_level priority = priority_level::standard;
    /// The kind of output that the caller declares; empty if it declares none.
    std::string kind;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    /// Hash of the prompt's beginning, 0 when there is nothing to share.
    std::uint64_t prefix = 0;
    /// Deadline for the start.
    time_point start_by{};
    /// Engines that must not be chosen.
    std::vector<std::string> avoid;
    /// Exact length of the output if it is known ahead (oracle in benchmarks), otherwise 0.
    std::uint32_t exact_output_tokens = 0;
};

/// Why a request was refused.
enum class refusal_reason : std::uint8_t {
    none,
    /// The predicted wait exceeds the caller's deadline.
    deadline_unreachable,
    /// The workspace has reached its limit of waiting requests.
    workspace_queue_full,
    /// The pool has no usable engine.
    no_engine,
};
std::string_view to_string(refusal_reason reason);

/// The outcome of a scheduling request.
struct scheduling_decision {
    std::uint64_t id = 0;
    bool granted = false;
    /// The engine to run on, when granted.
    backend_id backend;
    /// Time after which to retry, when refused.
    milliseconds retry_after{0};
    refusal_reason reason = refusal_reason::none;
};

/// Limits of one workspace in one pool.
struct workspace_limits {
    double weight = 1.0;
    std::uint32_t max_running = 100'000;
    std::uint32_t max_waiting = 100'000;
};

/// Progress of a running generation, as reported by the instance that streams it.
struct generation_progress {
    std::uint64_t id = 0;
    std::string workspace;
    std::string backend;
    std::string kind;
    std::uint32_t prompt_tokens = 0;
    /// Output tokens so far.
    std::uint32_t tokens = 0;
};

/// Whether a generation ended by itself or was cut off. The length of one that was cut off is a
/// lower bound only.
enum class generation_end : std::uint8_t { finished, cut_off };

/// Schedules the requests of one pool: decides when and on which engine each of them runs.
///
/// All instances ask the instance that owns the pool by rendezvous hashing, so that there is one
/// current view instead of one stale view for each instance. The owner knows what it has scheduled
/// and learns from progress reports what has been served. It keeps requests in a fair queue while
/// the predicted memory peak leaves no room on any engine, instead of letting an engine preempt a
/// generation. The state is soft: a new owner learns of the running generations from the instances
/// that stream them. An instance that can't reach an owner uses a scheduler of its own with a
/// capacity share below one.
///
/// Performs no I/O and reads no clock: the current time is an argument. Not thread-safe; lives on
/// the control thread. See also `memory_forecast`, `fair_queue`, `retry_schedule`.
class pool_scheduler {
public:
    pool_scheduler(std::string model, objective which, std::uint64_t seed);

    void set_objective(objective which);
    void set_workspace(const std::string& workspace, workspace_limits limits);
    /// Sets the fraction of every engine's memory that this scheduler may use.
    void set_capacity_share(double share) { capacity_share_ = share; }

    void add_engine(const backend_id& id, const failure_domain_id& domain);
    void set_engine_usable(std::string_view id, bool usable);
    void remove_engine(std::string_view id);
    void on_report(std::string_view engine, const engine_report& report, time_point now);

    /// Queues a request. Repeated with the same id, it only records that the caller still waits, or
    /// returns the grant if there is one. An immediate refusal is returned; other decisions come
    /// from `dispatch`.
    std::optional<scheduling_decision> submit(const scheduling_request& request, time_point now);
    /// Removes a waiting request whose caller is gone.
    void withdraw(std::uint64_t id);
    /// The grant of a running request, to repeat it when the first response may have been lost;
    /// empty if there is none.
    std::optional<scheduling_decision> find_grant(std::uint64_t id) const;
    /// Updates the output tokens of a running generation; adds the generation if it is unknown.
    void on_progress(const generation_progress& facts, time_point now);
    void on_finished(std::uint64_t id, std::uint32_t tokens, generation_end end, time_point now);
    /// Returns the grants and refusals that are due. Call after every `submit` and at least every
    /// 20 ms.
    std::vector<scheduling_decision> dispatch(time_point now);

    std::size_t waiting() const { return queue_.size(); }
    std::size_t running() const { return running_.size(); }
    /// Safety margin above the predicted mean of memory use, in standard deviations.
    double margin_sigmas() const { return margin_sigmas_; }
    const length_estimator& lengths() const { return lengths_; }
    const std::map<std::string, engine_view, std::less<>>& engines() const { return engines_; }
    /// Predicted queueing time of a new request of this workspace, priority and expected length.
    duration predicted_wait(std::string_view workspace, priority_level priority,
                            double expected_tokens, time_point now) const;
    /// Tokens a second that the pool serves while requests wait.
    double service_rate() const { return rate_.tokens_per_second(); }

private:
    struct running_work {
        generation_progress facts;
        length_key lengths{};
        double charged_tokens = 0.0;
        time_point granted_at{};
        time_point last_update{};
        bool first_token = false;
        std::uint32_t exact_output_tokens = 0;
        std::uint64_t prefix = 0;
    };
    struct choice {
        engine_view* engine = nullptr;
        double score = 0.0;
    };

    memory_demand make_demand(length_key lengths, double prompt_tokens, double reached,
                              std::uint32_t exact) const;
    static double estimated_tokens(const running_work& work, const engine_view& engine,
                                   time_point now);
    memory_demand demand_of(const running_work& work, const engine_view& engine,
                            time_point now) const;
    double probability_still_running(const running_work& work) const;
    memory_demand demand_of(const queued_request& work) const;
    void refresh(time_point now);
    void refresh_engine(engine_view& engine, time_point now);
    void adapt_margin(time_point now);
    void find_slow_engines();
    choice choose_engine(const queued_request& work, time_point now);
    bool fits(const engine_view& engine, const memory_demand& demand) const;
    bool over_limit(const std::string& workspace) const;
    bool dispatch_one(time_point now, std::vector<scheduling_decision>& out);
    void grant(const queued_request& work, engine_view& engine, time_point now,
               std::vector<scheduling_decision>& out);
    void refuse_unservable(time_point now, std::vector<scheduling_decision>& out);
    scheduling_decision refuse(std::uint64_t id, const std::string& workspace, double tokens,
                               refusal_reason reason, time_point now);
    void drop_inactive(time_point now);
    void remove_running(std::uint64_t id);
    const workspace_limits& limits_of(const std::string& workspace) const;

    std::string model_;
    const objective_rules* rules_;
    std::mt19937_64 random_;
    double capacity_share_ = 1.0;
    double margin_sigmas_;
    length_estimator lengths_;
    fair_queue queue_;
    retry_schedule retries_;
    internal::service_rate rate_;
    std::map<std::string, engine_view, std::less<>> engines_;
    std::unordered_map<std::uint64_t, running_work> running_;
    std::unordered_map<std::string, std::vector<std::uint64_t>> running_per_engine_;
    std::unordered_map<std::string, std::uint32_t> running_per_workspace_;
    std::unordered_map<std::uint64_t, time_point> last_polls_;
    std::unordered_map<std::string, workspace_limits> limits_;
    std::vector<std::string_view> next_workspaces_;
    /// Whether the state has changed since no waiting request could be scheduled.
    bool dispatch_needed_ = true;
    std::vector<memory_demand> demands_;
    time_point last_refresh_{};
    time_point last_check_{};
    time_point last_margin_update_{};
};

} // namespace bamboostream
