// Simulates increasing load on modelled engines to test admission and the retry delays of refused
// callers, without a network.

#include "bamboostream/Forwarding"
#include "bamboostream/Limits"
#include "platform/platform_request_codec.h"
#include "test/platform/decision_helpers.h"
#include "test/platform/modelled_engines.h"

#include <array>
#include <cmath>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <vector>

namespace bamboostream {
namespace {

using standins::engine_model;
using standins::model_event;
using standins::model_job;

/// Requests of one kind: their rate per second and engine, their sizes, objective and timeout.
struct caller_kind {
    double a_second;
    double prompt_tokens;
    double output_tokens;
    double output_spread;
    int priority;
    milliseconds objective;
    milliseconds caller_timeout;
};

constexpr caller_kind long_kind{
    0.467, 3'000.0, 750.0, 0.8, 1, milliseconds(1'800), milliseconds(39'000)};
constexpr caller_kind short_kind{
    0.91, 2'400.0, 11.0, 0.8, 0, milliseconds(1'500), milliseconds(6'000)};
constexpr std::int64_t memory_tokens = test::modelled_memory_tokens;
constexpr int engine_count = 10;
constexpr seconds simulated_time{40};

/// Results for the callers of one kind.
struct outcome {
    int arrived = 0;
    int on_time = 0;
    int late = 0;
    int refused = 0;
    /// Refused once and served on their retry.
    int served_on_retry = 0;
};

/// Engines, and the demand of each workspace relative to the others; no workspaces if it is empty.
struct simulated_pool {
    int engines = engine_count;
    std::vector<double> demands;
    bool divides_memory = false;
};

/// Simulates engines under `load` times the usual rate of requests for `overload_time`. One
/// instance chooses engines for all, and refused callers retry once, after their retry delay.
class overload_simulation {
public:
    overload_simulation(double load, std::uint64_t seed, seconds overload_time = simulated_time,
                        const simulated_pool& pool = {})
        : load_(load), overload_time_(overload_time), engines_(pool.engines), random_(seed),
          state_(codec_, failure_domain_id("norra"), {}, seed),
          workspace_of_(pool.demands.begin(), pool.demands.end()),
          by_workspace_(pool.demands.size()) {
        if (pool.divides_memory) {
            state_.contended_services.insert(service_id("s"));
            state_.shares.set_chooses(service_id("s"), true, true, start - seconds(1));
        }
        for (int i = 0; i < engines_; ++i) {
            const registered_backend engine = backend(fmt::format("i-{}", i));
            state_.registry.update(engine, now_);
            models_.emplace(engine.id, std::make_unique<engine_model>(test::modelled_engine()));
        }
    }

    void run() {
        constexpr milliseconds tick{4};
        while (now_ < start + simulated_time) {
            now_ += tick;
            arrive(long_kind, tick);
            arrive(short_kind, tick);
            while (!retries_.empty() && retries_.begin()->first <= now_) {
                const generation retry = retries_.begin()->second;
                retries_.erase(retries_.begin());
                place(retry);
            }
            for (auto& [id, model] : models_) {
                model->advance(now_, [this](const model_event& e) { handle_event(e); });
            }
        }
    }

    const outcome& of(const caller_kind& kind) { return results_[&kind]; }
    const outcome& of_workspace(std::size_t workspace) const { return by_workspace_[workspace]; }

private:
    struct generation {
        const caller_kind* kind = nullptr;
        std::optional<std::size_t> workspace;
        model_job job;
        std::int64_t expected = 0;
        std::int64_t produced = 0;
        backend_id at;
        backend_work recorded_work;
        time_point arrived;
        time_point sent;
        backend_work queued;
        bool is_retry = false;
        bool first_event_seen = false;
    };

    void arrive(const caller_kind& kind, milliseconds tick) {
        const double load = now_ < start + overload_time_ ? load_ : 0.8;
        const double share = kind.a_second * engines_ * load * to_milliseconds(tick) / 1000.0;
        if (std::uniform_real_distribution<double>(0.0, 1.0)(random_) >= share) {
            return;
        }
        generation g;
        g.kind = &kind;
        g.arrived = now_;
        g.job.id = next_id_++;
        g.job.prompt_tokens = static_cast<std::uint32_t>(
            std::clamp(test::sample_log_normal(kind.prompt_tokens, 0.35, random_), 500.0, 6'000.0));
        g.job.output_tokens = static_cast<std::uint32_t>(
            std::clamp(test::sample_log_normal(kind.output_tokens, kind.output_spread, random_),
                       4.0, 1'768.0));
        const double estimate =
            g.job.output_tokens * std::exp(std::normal_distribution<>(0, 1.0)(random_));
        g.expected = std::clamp<std::int64_t>(static_cast<std::int64_t>(estimate), 1, 1'768);
        if (!by_workspace_.empty()) {
            g.workspace = workspace_of_(random_);
        }
        count(g, &outcome::arrived);
        place(g);
    }

    void count(const generation& g, int outcome::*what) {
        ++(results_[g.kind].*what);
        if (g.workspace) {
            ++(by_workspace_[*g.workspace].*what);
        }
    }

    static std::optional<workspace_id> workspace_of(const generation& g) {
        return g.workspace ? std::optional(workspace_id(fmt::format("w-{}", *g.workspace)))
                           : std::nullopt;
    }

    void place(generation g) {
        engine_request request;
        request.service = service_id("s");
        request.work = {1, g.job.prompt_tokens + g.expected, g.job.prompt_tokens};
        request.engine_memory_tokens = memory_tokens;
        request.priority = g.kind->priority;
        request.objective = g.kind->objective;
        request.preferred_domain = failure_domain_id("norra");
        request.workspace = workspace_of(g);
        const engine_choice choice = choose_engine(state_, request, sender_role::owner, now_);
        if (choice.result == admission_result::admit) {
            g.at = choice.engine->id;
            g.sent = now_;
            g.queued = choice.work;
            record_work(g, request.work);
            models_.at(g.at)->submit(g.job, now_);
            running_.emplace(g.job.id, g);
        } else if (g.is_retry) {
            count(g, &outcome::refused);
        } else {
            schedule_retry(g, choice.overload);
        }
    }

    void schedule_retry(generation g, duration overload) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(g.kind->caller_timeout - (now_ - g.arrived));
        const refused_request about{refusal_cause::overloaded, g.kind->objective, left, overload};
        g.is_retry = true;
        retries_.emplace(now_ + choose_retry_delay(about, random_), g);
    }

    void record_prefill(const generation& g, time_point first) {
        const std::int64_t claimed = g.queued.memory_tokens + g.job.prompt_tokens + g.expected;
        if (claimed <= memory_tokens) {
            state_.prefill.note(service_id("s"), backend_hash(g.at),
                                {static_cast<double>(g.queued.unread_tokens + g.job.prompt_tokens),
                                 to_milliseconds(first - g.sent)});
        }
    }

    void record_work(generation& g, const backend_work& work) {
        state_.loads.subtract(g.at, g.recorded_work);
        state_.shares.add(make_share_key(service_id("s"), workspace_of(g)),
                          work.memory_tokens - g.recorded_work.memory_tokens);
        g.recorded_work = work;
        state_.loads.add(g.at, work);
    }

    void handle_event(const model_event& e) {
        const auto found = running_.find(e.id);
        generation& g = found->second;
        if (e.what == model_event::kind::finished) {
            record_work(g, {});
            running_.erase(found);
            return;
        }
        if (e.what != model_event::kind::token) {
            return;
        }
        if (!g.first_event_seen) {
            g.first_event_seen = true;
            record_prefill(g, e.at);
            count(g, e.at - g.arrived <= g.kind->objective ? &outcome::on_time : &outcome::late);
            results_[g.kind].served_on_retry += g.is_retry ? 1 : 0;
        }
        g.produced = e.sequence + 1;
        const std::int64_t left = std::max(g.expected - g.produced, g.produced / 2);
        record_work(g, {1, g.job.prompt_tokens + g.produced + left, 0});
    }

    double load_;
    seconds overload_time_;
    int engines_;
    std::mt19937_64 random_;
    time_point now_ = start;
    const platform::platform_request_codec codec_;
    forwarding_state state_;
    std::map<backend_id, std::unique_ptr<engine_model>> models_;
    std::map<std::uint64_t, generation> running_;
    std::multimap<time_point, generation> retries_;
    std::map<const caller_kind*, outcome> results_;
    /// The workspace of a request, by their demands.
    std::discrete_distribution<std::size_t> workspace_of_;
    std::vector<outcome> by_workspace_;
    std::uint64_t next_id_ = 1;
};

/// Value of the responses in time over five simulations: a long one counts as much as 7.4 short
/// ones.
double goodput(double load) {
    constexpr double value_of_long = 7.4;
    double sum = 0.0;
    for (const std::uint64_t seed : {1u, 2u, 3u, 4u, 5u}) {
        overload_simulation simulation(load, seed);
        simulation.run();
        sum += value_of_long * simulation.of(long_kind).on_time + simulation.of(short_kind).on_time;
    }
    return sum;
}

// Engines are first in, first out: past saturation each request that is admitted to a queue makes
// those behind it late too. Without admission control, goodput at three times the load was a third
// of that at 1.3 times.
TEST(admission_load, goodput_does_not_fall_as_load_grows) {
    double greatest = 0.0;
    for (const double load : {1.0, 1.3, 1.7, 2.2, 3.0}) {
        const double now = goodput(load);
        fmt::print("goodput at load {}: {:.0f}\n", load, now);
        EXPECT_GE(now, 0.95 * greatest);
        greatest = std::max(greatest, now);
    }
}

// Requests that can be served in time are not refused.
TEST(admission_load, nothing_is_refused_below_saturation) {
    overload_simulation simulation(0.8, 7);
    simulation.run();
    for (const caller_kind* kind : {&long_kind, &short_kind}) {
        const outcome& result = simulation.of(*kind);
        EXPECT_LE(result.refused + result.served_on_retry, result.arrived / 100);
        EXPECT_LE(result.late, result.arrived / 50);
    }
}

// An overload lasts for 20 s and callers wait 39 s. With retry delays of a second or two, nearly
// all would be refused again during the same overload.
TEST(admission_load, callers_refused_in_a_long_overload_are_served_on_retry) {
    outcome sum;
    for (const std::uint64_t seed : {1u, 2u, 3u}) {
        overload_simulation simulation(2.2, seed, seconds(20));
        simulation.run();
        sum.refused += simulation.of(long_kind).refused;
        sum.served_on_retry += simulation.of(long_kind).served_on_retry;
    }
    fmt::print("refused for good: {}, served on retry: {}\n", sum.refused, sum.served_on_retry);
    EXPECT_GE(sum.served_on_retry, sum.refused);
}

// Long requests are limited by memory and short ones by prefill; neither kind may starve the other.
TEST(admission_load, no_kind_starves_under_overload) {
    overload_simulation simulation(2.2, 7);
    simulation.run();
    for (const caller_kind* kind : {&long_kind, &short_kind}) {
        const outcome& result = simulation.of(*kind);
        EXPECT_GE(result.on_time, result.arrived / 3);
    }
}

// --- shares of workspaces

constexpr std::array<std::uint64_t, 5> share_seeds{1, 2, 3, 4, 5};

/// 24 workspaces, the first three of them with these demands; the others have a demand of 1.
simulated_pool shared_pool(double first, double large, bool divides_memory) {
    simulated_pool out{30, std::vector<double>(24, 1.0), divides_memory};
    out.demands[0] = first;
    out.demands[1] = out.demands[2] = large;
    return out;
}

/// Fraction of the requests that are served in time, of all workspaces but the first. The first one
/// of three large workspaces asks for `factor` times its usual demand.
double served_of_others(double factor, bool divides_memory) {
    const simulated_pool pool = shared_pool(4.0 * factor, 4.0, divides_memory);
    constexpr double usual_demand = 33.0;
    const double load =
        std::accumulate(pool.demands.begin(), pool.demands.end(), 0.0) / usual_demand;
    outcome sum;
    for (const std::uint64_t seed : share_seeds) {
        overload_simulation simulation(load, seed, simulated_time, pool);
        simulation.run();
        for (std::size_t i = 1; i < pool.demands.size(); ++i) {
            sum.arrived += simulation.of_workspace(i).arrived;
            sum.on_time += simulation.of_workspace(i).on_time;
        }
    }
    return static_cast<double>(sum.on_time) / sum.arrived;
}

// Guards against a flood of one workspace that costs the others their responses.
TEST(workspace_load, a_flood_of_one_costs_the_others_nothing) {
    const double calm = served_of_others(1.0, true);
    const double flooded = served_of_others(10.0, true);
    const double undivided = served_of_others(10.0, false);
    fmt::print("served of others: calm {:.3f}, flooded {:.3f}, without shares {:.3f}\n", calm,
               flooded, undivided);
    EXPECT_GE(flooded, 0.95 * calm);
    EXPECT_LT(undivided, 0.9 * calm);
}

/// Workspaces that all ask for `load` times their usual demand, the usual demand of the large ones,
/// and the least value relative to the same without shares.
struct common_surge {
    double load;
    double large;
    double least;
};

class workspace_surge : public testing::TestWithParam<common_surge> {};

INSTANTIATE_TEST_SUITE_P(table, workspace_surge,
                         testing::Values(common_surge{1.0, 1.0, 1.0}, common_surge{1.0, 4.0, 1.0},
                                         common_surge{1.5, 1.0, 0.98}, common_surge{2.2, 1.0, 0.98},
                                         common_surge{1.5, 4.0, 0.98},
                                         common_surge{2.2, 4.0, 0.98}),
                         [](const auto& info) {
                             return fmt::format("{}_at_{:.0f}",
                                                info.param.large > 1.0 ? "three_large" : "equal",
                                                10.0 * info.param.load);
                         });

// Guards against shares that leave memory idle when all workspaces ask for more.
TEST_P(workspace_surge, shares_leave_no_memory_idle) {
    const auto& [load, large, least] = GetParam();
    std::array<double, 2> value{};
    for (const std::uint64_t seed : share_seeds) {
        for (const bool divides : {false, true}) {
            overload_simulation simulation(load, seed, simulated_time,
                                           shared_pool(large, large, divides));
            simulation.run();
            value[divides ? 1 : 0] +=
                7.4 * simulation.of(long_kind).on_time + simulation.of(short_kind).on_time;
        }
    }
    fmt::print("load {}, large {}: value {:.0f} without shares, {:.0f} with\n", load, large,
               value[0], value[1]);
    EXPECT_GE(value[1], least * value[0]);
}

} // namespace
} // namespace bamboostream
