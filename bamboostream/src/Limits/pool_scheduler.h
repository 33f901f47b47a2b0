#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Lengths/length_estimator.h"
#include "bamboostream/src/Limits/fair_queue.h"
#include "bamboostream/src/Limits/return_schedule.h"
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

/// A request for a place on one of a pool's engines.
struct scheduling_request {
    std::uint64_t id = 0;
    std::string workspace;
    priority_level priority = priority_level::standard;
    /// The kind of output the caller declares; empty when it doesn't.
    std::string kind;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    /// Hash of the prompt's beginning, 0 when there is nothing to share.
    std::uint64_t prefix = 0;
    time_point start_by{};
    std::vector<std::string> avoid;
    /// The length of the output where it is known ahead (benchmarks' oracle); 0 elsewhere.
    std::uint32_t exact_output_tokens = 0;
};

/// Why a request was refused.
enum class refusal_reason : std::uint8_t {
    none,
    /// The predicted wait passes the caller's deadline.
    deadline_unreachable,
    /// The workspace's limit of waiting requests is reached.
    workspace_queue_full,
    /// The pool has no usable engine.
    no_engine,
};
std::string_view to_string(refusal_reason reason);

/// What became of a request for a place.
struct scheduling_decision {
    std::uint64_t id = 0;
    bool granted = false;
    /// Where to run, when granted.
    backend_id backend;
    /// When to come back, when refused.
    milliseconds retry_after{0};
    refusal_reason reason = refusal_reason::none;
};

/// Limits of one workspace in one pool.
struct workspace_limits {
    double weight = 1.0;
    std::uint32_t max_running = 100'000;
    std::uint32_t max_waiting = 100'000;
};

/// A generation that runs in the pool, as told by the instance that streams it.
struct generation_progress {
    std::uint64_t id = 0;
    std::string workspace;
    std::string backend;
    std::string kind;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t tokens = 0;
};

/// How a generation ended, as far as learning its length is concerned.
enum class generation_end : std::uint8_t { finished, cut_off };

/// Decides for one pool who runs where and when.
///
/// All instances ask the one that owns the pool by rendezvous hashing, so eight stale views become
/// one: the owner knows what it has placed, learns what was served from progress reports, and
/// holds requests back in a fair queue while the predicted memory peak of every engine is taken,
/// instead of letting an engine push a generation out. The state is soft: a new owner learns the
/// running generations from the instances that stream them. When no owner can be reached, an
/// instance uses an object of its own with `capacity_share` below one.
///
/// Pure: the present time is an argument, no sockets. Not thread-safe; lives on the control thread.
/// See also `memory_forecast`, `fair_queue`, `return_schedule`.
class pool_scheduler {
public:
    pool_scheduler(std::string model, objective which, std::uint64_t seed);

    void set_objective(objective which);
    void set_workspace(const std::string& workspace, workspace_limits limits);
    /// The share of every engine that this scheduler may fill.
    void set_capacity_share(double share) { capacity_share_ = share; }

    void add_engine(const backend_id& id, const failure_domain_id& domain);
    void set_engine_usable(std::string_view id, bool usable);
    void remove_engine(std::string_view id);
    void on_report(std::string_view engine, const engine_report& report, time_point now);

    /// Queues a request; asked again with the same id, it only renews the interest. An immediate
    /// refusal is returned; grants come from `dispatch`.
    std::optional<scheduling_decision> submit(const scheduling_request& request, time_point now);
    /// The caller of a waiting request is gone.
    void withdraw(std::uint64_t id);
    /// A grant was repeated because its answer may have been lost.
    std::optional<scheduling_decision> granted_before(std::uint64_t id) const;
    /// Output tokens so far of a running generation; facts of an unknown one are taken over.
    void on_progress(const generation_progress& facts, time_point now);
    void on_finished(std::uint64_t id, std::uint32_t tokens, generation_end end, time_point now);
    /// Grants and refusals due now. Call after every submit and at least every 20 ms.
    std::vector<scheduling_decision> dispatch(time_point now);

    std::size_t waiting() const { return queue_.size(); }
    std::size_t running() const { return running_.size(); }
    /// Standard deviations kept above the predicted mean.
    double margin_sigmas() const { return caution_; }
    const length_estimator& lengths() const { return lengths_; }
    const std::map<std::string, engine_view, std::less<>>& engines() const { return engines_; }
    /// Predicted wait of a new request of this workspace, priority and expected length.
    duration predicted_wait(std::string_view workspace, priority_level priority,
                            double expected_tokens, time_point now) const;
    /// Tokens a second the pool serves while requests wait.
    double service_rate() const { return rate_.tokens_per_second(); }

private:
    struct running_work {
        generation_progress facts;
        length_key lengths{};
        double charged = 0.0;
        time_point granted_at{};
        time_point last_news{};
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
    static double tokens_by_now(const running_work& work, const engine_view& engine,
                                time_point now);
    memory_demand demand_of(const running_work& work, const engine_view& engine,
                            time_point now) const;
    double chance_to_go_on(const running_work& work) const;
    memory_demand demand_of(const queued_work& work) const;
    void refresh(time_point now);
    void refresh_engine(engine_view& engine, time_point now);
    void adapt_caution(time_point now);
    void find_slow_engines();
    choice choose_engine(const queued_work& work, time_point now);
    bool fits(const engine_view& engine, const memory_demand& demand) const;
    bool over_limit(const std::string& workspace) const;
    bool dispatch_one(time_point now, std::vector<scheduling_decision>& out);
    void grant(const queued_work& work, engine_view& engine, time_point now,
               std::vector<scheduling_decision>& out);
    void refuse_hopeless(time_point now, std::vector<scheduling_decision>& out);
    scheduling_decision refuse(std::uint64_t id, const std::string& workspace, double tokens,
                               refusal_reason reason, time_point now);
    void drop_silent(time_point now);
    void forget_running(std::uint64_t id);
    const workspace_limits& limits_of(const std::string& workspace) const;

    std::string model_;
    const objective_rules* rules_;
    std::mt19937_64 random_;
    double capacity_share_ = 1.0;
    double caution_;
    length_estimator lengths_;
    fair_queue queue_;
    return_schedule returns_;
    internal::service_rate rate_;
    std::map<std::string, engine_view, std::less<>> engines_;
    std::unordered_map<std::uint64_t, running_work> running_;
    std::unordered_map<std::string, std::vector<std::uint64_t>> running_on_;
    std::unordered_map<std::string, std::uint32_t> running_of_;
    std::unordered_map<std::uint64_t, time_point> interest_;
    std::unordered_map<std::string, workspace_limits> limits_;
    std::vector<std::string_view> order_;
    /// Something happened since the last request that fitted nowhere.
    bool changed_ = true;
    std::vector<memory_demand> demands_;
    time_point last_refresh_{};
    time_point last_check_{};
    time_point last_caution_{};
};

} // namespace bamboostream
