#include "bench/policy/simulation.h"

#include "bamboostream/Limits"
#include "bench/policy/recorder.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>

namespace bamboostream::bench {

namespace {

using standins::engine_model;
using standins::model_event;
using standins::model_job;

/// Minimum delay of a message between instances, or between an instance and an engine; up to 0.5 ms
/// of jitter is added.
constexpr milliseconds one_way_delay{1};
constexpr milliseconds dispatch_period{5};
constexpr milliseconds poll_period{500};
/// Ends and first tokens are reported in batches of this period: on average half of it late.
constexpr milliseconds end_report_period{10};
constexpr milliseconds progress_period{250};
constexpr milliseconds fault_begin{20'000};
constexpr milliseconds fault_end{40'000};
/// How often a refused request is submitted again.
constexpr int max_returns = 4;
const time_point origin{seconds(1'000)};

/// Simulated events, ordered by time and, at equal times, by when they were scheduled.
class event_queue {
public:
    void at(time_point when, std::function<void()> what) {
        events_.push({when, next_++, std::move(what)});
    }
    bool run_next(time_point until, time_point& now) {
        if (events_.empty() || events_.top().when > until) {
            return false;
        }
        // Moved out and popped before it runs, because running it may add events.
        auto what = std::move(const_cast<event&>(events_.top()).what);
        now = events_.top().when;
        events_.pop();
        what();
        return true;
    }

private:
    struct event {
        time_point when;
        std::uint64_t number;
        std::function<void()> what;
        bool operator<(const event& other) const {
            return when != other.when ? when > other.when : number > other.number;
        }
    };
    std::priority_queue<event> events_;
    std::uint64_t next_ = 0;
};

/// The state of one simulated run.
class simulation {
public:
    simulation(const workload& w, const std::vector<simulated_request>& requests,
               policy_kind policy, std::uint64_t seed)
        : w_(w), requests_(requests), policy_(policy), random_(seed * 31 + 7),
          recorder_(w, requests) {
        for (std::size_t i = 0; i < w.engines; ++i) {
            engines_.push_back(std::make_unique<engine_model>(w.engine));
            alive_.push_back(true);
            step_scheduled_.push_back(false);
        }
        schedulers_.resize(w.instances + 1);
        reports_.resize(w.engines);
        outstanding_.assign(w.instances, std::vector<double>(w.engines, 0.0));
        next_round_robin_.assign(w.instances, 0);
        for (std::size_t i = 0; i < w.instances; ++i) {
            next_round_robin_[i] = random_() % w.engines;
        }
    }

    run_measures run() {
        now_ = origin;
        const time_point end = origin + w_.length;
        for (const simulated_request& r : requests_) {
            queue_.at(origin + r.at, [this, &r] { arrive(r); });
            by_id_[r.id] = &r;
        }
        poll();
        if (uses_pool_scheduler()) {
            scheduler(0);
            tick();
            report_progress();
        }
        schedule_fault();
        while (queue_.run_next(end, now_)) {
        }
        now_ = end;
        std::uint64_t preemptions = 0;
        for (const auto& engine : engines_) {
            preemptions += engine->preemptions();
        }
        return recorder_.measures(origin, end, preemptions);
    }

private:
    /// A generation that was submitted to an engine.
    struct placed {
        std::size_t engine = 0;
        std::size_t scheduler = 0;
        std::uint32_t tokens = 0;
        std::uint32_t reported_tokens = 0;
    };

    bool uses_pool_scheduler() const {
        return policy_ == policy_kind::bamboostream || policy_ == policy_kind::oracle;
    }
    bool is_oracle() const { return policy_ == policy_kind::oracle; }
    duration delay() {
        if (is_oracle()) {
            return duration::zero();
        }
        return one_way_delay + microseconds(std::uniform_int_distribution<int>(0, 500)(random_));
    }

    pool_scheduler& scheduler(std::size_t index) {
        auto& s = schedulers_[index];
        if (!s) {
            const auto goal = w_.tail_latency ? objective::tail_latency : objective::stall_time;
            s = std::make_unique<pool_scheduler>("standard", goal, index + 1);
            for (std::size_t i = 0; i < w_.workspaces; ++i) {
                s->set_workspace(fmt::format("w{}", i), {workspace_weight, 100'000, 100'000});
            }
            for (std::size_t i = 0; i < w_.engines; ++i) {
                s->add_engine(backend_id(fmt::format("{}", i)), failure_domain_id("d"));
                s->on_report(fmt::format("{}", i), reports_[i], now_);
            }
            if (index > 0) {
                s->set_capacity_share(1.0 / static_cast<double>(w_.instances));
            }
        }
        return *s;
    }

    // ---- Engines

    void schedule_step(std::size_t engine) {
        const auto next = engines_[engine]->next_step_end();
        if (!next || step_scheduled_[engine] || !alive_[engine]) {
            return;
        }
        step_scheduled_[engine] = true;
        queue_.at(*next, [this, engine] {
            step_scheduled_[engine] = false;
            advance(engine);
        });
    }

    void advance(std::size_t engine) {
        if (!alive_[engine]) {
            return;
        }
        engines_[engine]->advance(now_, [this](const model_event& e) { on_event(e); });
        schedule_step(engine);
    }

    void on_event(const model_event& e) {
        const auto found = placed_.find(e.id);
        if (found == placed_.end()) {
            return;
        }
        if (e.what == model_event::kind::token) {
            found->second.tokens = e.sequence + 1;
            recorder_.token(e.id, e.at);
            if (e.sequence == 0 && uses_pool_scheduler()) {
                // First tokens are reported without waiting for the next progress report, like
                // ends.
                generation_progress facts;
                facts.id = e.id;
                facts.tokens = 1;
                queue_.at(now_ + end_report_period / 2 + delay(),
                          [this, facts, index = found->second.scheduler] {
                              scheduler(index).on_progress(facts, now_);
                          });
            }
        } else if (e.what == model_event::kind::finished) {
            recorder_.finished(e.id, e.at);
            ended(e.id, generation_end::finished);
        }
    }

    void ended(std::uint64_t id, generation_end how) {
        const auto found = placed_.find(id);
        const placed p = found->second;
        placed_.erase(found);
        const simulated_request& r = *by_id_.at(id);
        outstanding_[r.instance][p.engine] -= 1.0;
        if (uses_pool_scheduler()) {
            queue_.at(now_ + (is_oracle() ? duration::zero() : end_report_period / 2 + delay()),
                      [this, id, p, how] {
                          scheduler(p.scheduler).on_finished(id, p.tokens, how, now_);
                          dispatch(p.scheduler);
                      });
        }
    }

    void submit(const simulated_request& r, std::size_t engine, std::size_t scheduler_index) {
        if (!alive_[engine]) {
            arrive(r);
            return;
        }
        placed_[r.id] = {engine, scheduler_index, 0, 0};
        recorder_.started(r.id, now_);
        model_job job;
        job.id = r.id;
        job.prompt_tokens = r.prompt_tokens;
        job.output_tokens = r.output_tokens;
        job.prefix = r.prefix;
        job.prefix_tokens = r.prompt_tokens / 2;
        advance(engine);
        engines_[engine]->submit(job, now_);
        schedule_step(engine);
    }

    // ---- Requests

    void arrive(const simulated_request& r) {
        recorder_.arrived(r, now_);
        request_placement(r);
    }

    void request_placement(const simulated_request& r) {
        if (!uses_pool_scheduler()) {
            const std::size_t engine = choose_baseline(r.instance);
            outstanding_[r.instance][engine] += 1.0;
            queue_.at(now_ + delay(), [this, &r, engine] { submit(r, engine, 0); });
            return;
        }
        const bool cut = cut_ && r.instance == 0 && !is_oracle();
        const std::size_t index = cut ? r.instance + 1 : 0;
        const time_point start_by = now_ + w_.deadline;
        queue_.at(now_ + (cut ? duration::zero() : delay()), [this, &r, index, start_by] {
            scheduling_request request;
            request.id = r.id;
            request.workspace = fmt::format("w{}", r.workspace);
            request.kind = r.kind;
            request.prompt_tokens = r.prompt_tokens;
            request.prefix = r.prefix;
            request.start_by = start_by;
            request.exact_output_tokens = is_oracle() ? r.output_tokens : 0;
            scheduler_of_[r.id] = index;
            pending_[r.id] = request;
            if (const auto decided = scheduler(index).submit(request, now_)) {
                apply_decision(index, *decided);
            }
            dispatch(index);
        });
    }

    void dispatch(std::size_t index) {
        for (const scheduling_decision& decision : scheduler(index).dispatch(now_)) {
            apply_decision(index, decision);
        }
    }

    void apply_decision(std::size_t index, const scheduling_decision& decision) {
        const simulated_request& r = *by_id_.at(decision.id);
        scheduler_of_.erase(decision.id);
        pending_.erase(decision.id);
        if (decision.granted) {
            const std::size_t engine = std::stoul(decision.backend.text());
            outstanding_[r.instance][engine] += 1.0;
            queue_.at(now_ + delay() + delay(),
                      [this, &r, engine, index] { submit(r, engine, index); });
            return;
        }
        queue_.at(now_ + delay(), [this, &r, wait = decision.retry_after] {
            recorder_.refused(r.id, now_);
            if (++returns_[r.id] > max_returns) {
                return;
            }
            queue_.at(now_ + wait, [this, &r] {
                recorder_.returned(r.id);
                request_placement(r);
            });
        });
    }

    void tick() {
        for (std::size_t i = 0; i < schedulers_.size(); ++i) {
            if (schedulers_[i]) {
                dispatch(i);
            }
        }
        // As in the real system, instances submit their waiting requests again periodically (every
        // 140 ticks, 700 ms).
        if (++ticks_ % 140 == 0) {
            for (const auto& [id, index] : scheduler_of_) {
                scheduler(index).submit(pending_.at(id), now_);
            }
        }
        queue_.at(now_ + dispatch_period, [this] { tick(); });
    }

    void report_progress() {
        for (auto& [id, p] : placed_) {
            generation_progress facts;
            facts.id = id;
            facts.tokens = p.tokens;
            queue_.at(now_ + delay(), [this, facts, index = p.scheduler] {
                scheduler(index).on_progress(facts, now_);
            });
        }
        queue_.at(now_ + (is_oracle() ? milliseconds(20) : progress_period),
                  [this] { report_progress(); });
    }

    // ---- Engine reports and baseline policies

    void poll() {
        for (std::size_t i = 0; i < w_.engines; ++i) {
            if (!alive_[i]) {
                continue;
            }
            reports_[i] = is_oracle() ? engines_[i]->report_now() : engines_[i]->report(now_);
            for (auto& own : schedulers_) {
                if (own) {
                    own->on_report(fmt::format("{}", i), reports_[i], now_);
                }
            }
        }
        queue_.at(now_ + (is_oracle() ? milliseconds(20) : poll_period), [this] { poll(); });
    }

    std::size_t random_engine() {
        while (true) {
            const std::size_t e =
                std::uniform_int_distribution<std::size_t>(0, w_.engines - 1)(random_);
            if (alive_[e]) {
                return e;
            }
        }
    }

    std::size_t choose_baseline(std::size_t instance) {
        const auto least = [&](auto cost) {
            std::size_t best = random_engine();
            for (std::size_t i = 0; i < w_.engines; ++i) {
                if (alive_[i] && cost(i) < cost(best)) {
                    best = i;
                }
            }
            return best;
        };
        switch (policy_) {
        case policy_kind::least_outstanding:
            return least([&](std::size_t i) { return outstanding_[instance][i]; });
        case policy_kind::least_reported_memory:
            return least([&](std::size_t i) { return reports_[i].used_tokens; });
        case policy_kind::two_choices: {
            const std::size_t a = random_engine();
            const std::size_t b = random_engine();
            const auto load = [&](std::size_t i) {
                return reports_[i].running + reports_[i].waiting;
            };
            return load(a) <= load(b) ? a : b;
        }
        default:
            break;
        }
        std::size_t next = next_round_robin_[instance];
        do {
            next = (next + 1) % w_.engines;
        } while (!alive_[next]);
        next_round_robin_[instance] = next;
        return next;
    }

    // ---- Faults

    void schedule_fault() {
        const time_point from = origin + fault_begin;
        const time_point to = origin + fault_end;
        switch (w_.fault) {
        case fault_kind::engine_reclaimed:
            queue_.at(from, [this] { reclaim(0); });
            break;
        case fault_kind::engine_slow:
            queue_.at(from, [this] { engines_[0]->set_slowness(3.0); });
            queue_.at(to, [this] { engines_[0]->set_slowness(1.0); });
            break;
        case fault_kind::reports_frozen:
            queue_.at(from, [this] {
                for (const auto& e : engines_) {
                    e->set_report_frozen(true, now_);
                }
            });
            queue_.at(to, [this] {
                for (const auto& e : engines_) {
                    e->set_report_frozen(false, now_);
                }
            });
            break;
        case fault_kind::instance_cut:
            queue_.at(from, [this] { cut_ = true; });
            queue_.at(to, [this] { cut_ = false; });
            break;
        case fault_kind::none:
        case fault_kind::length_drift:
            break;
        }
    }

    /// Removes an engine without notice. Its generations end there under every policy.
    void reclaim(std::size_t engine) {
        alive_[engine] = false;
        std::vector<std::uint64_t> gone;
        for (const auto& [id, p] : placed_) {
            if (p.engine == engine) {
                gone.push_back(id);
            }
        }
        for (const std::uint64_t id : gone) {
            recorder_.finished(id, now_);
            ended(id, generation_end::cut_off);
        }
        for (auto& own : schedulers_) {
            if (own) {
                own->set_engine_usable(fmt::format("{}", engine), false);
            }
        }
    }

    const workload& w_;
    const std::vector<simulated_request>& requests_;
    policy_kind policy_;
    std::mt19937_64 random_;
    recorder recorder_;
    event_queue queue_;
    time_point now_{};
    std::vector<std::unique_ptr<engine_model>> engines_;
    std::vector<bool> alive_;
    std::vector<bool> step_scheduled_;
    std::vector<engine_report> reports_;
    /// Index 0 is the scheduler of the pool's owner; index i + 1 is the one that instance i uses
    /// while it is cut off from the owner.
    std::vector<std::unique_ptr<pool_scheduler>> schedulers_;
    std::unordered_map<std::uint64_t, const simulated_request*> by_id_;
    std::unordered_map<std::uint64_t, placed> placed_;
    std::unordered_map<std::uint64_t, std::size_t> scheduler_of_;
    std::unordered_map<std::uint64_t, scheduling_request> pending_;
    std::unordered_map<std::uint64_t, int> returns_;
    std::vector<std::vector<double>> outstanding_;
    std::vector<std::size_t> next_round_robin_;
    std::uint64_t ticks_ = 0;
    bool cut_ = false;
};

} // namespace

run_measures simulate(const workload& w, const std::vector<simulated_request>& requests,
                      policy_kind policy, std::uint64_t seed) {
    simulation run(w, requests, policy, seed);
    return run.run();
}

} // namespace bamboostream::bench
