// Plays crowds of growing size at modelled engines against the decisions of admission and the time
// that refused callers are told, without a network.

#include "bamboostream/Forwarding"
#include "bamboostream/Limits"
#include "platform/request_translation.h"
#include "test/platform/decision_helpers.h"
#include "test/platform/modelled_engines.h"

#include <cmath>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace bamboostream {
namespace {

using standins::engine_model;
using standins::model_event;
using standins::model_job;

/// What callers of one kind ask, how often a second for each engine, and how long they wait.
struct caller_kind {
    double a_second;
    double prompt_tokens;
    double output_tokens;
    double output_spread;
    int priority;
    milliseconds objective;
    milliseconds patience;
};

constexpr caller_kind long_kind{
    0.467, 3'000.0, 750.0, 0.8, 1, milliseconds(1'800), milliseconds(39'000)};
constexpr caller_kind brief_kind{
    0.91, 2'400.0, 11.0, 0.8, 0, milliseconds(1'500), milliseconds(6'000)};
constexpr std::int64_t memory_tokens = test::modelled_memory_tokens;
constexpr int engine_count = 10;
constexpr seconds played{40};

/// What became of one kind's callers.
struct outcome {
    int asked = 0;
    int on_time = 0;
    int late = 0;
    int refused = 0;
    /// Refused once and served then.
    int served_on_return = 0;
};

/// Engines in a crowd of `load` times the usual number of callers, which lasts for `crowd`. One
/// instance chooses for all, and refused callers come back once, when they are told to.
class crowded_pool {
public:
    crowded_pool(double load, std::uint64_t seed, seconds crowd = played)
        : load_(load), crowd_(crowd), random_(seed),
          state_(codec_, failure_domain_id("norra"), {}, seed) {
        for (int i = 0; i < engine_count; ++i) {
            const registered_backend engine = backend(fmt::format("i-{}", i));
            state_.registry.update(engine, now_);
            models_.emplace(engine.id, std::make_unique<engine_model>(test::modelled_engine()));
        }
    }

    void play() {
        constexpr milliseconds tick{4};
        while (now_ < start + played) {
            now_ += tick;
            arrive(long_kind, tick);
            arrive(brief_kind, tick);
            while (!returns_.empty() && returns_.begin()->first <= now_) {
                const generation returned = returns_.begin()->second;
                returns_.erase(returns_.begin());
                place(returned);
            }
            for (auto& [id, model] : models_) {
                model->advance(now_, [this](const model_event& e) { take(e); });
            }
        }
    }

    const outcome& of(const caller_kind& kind) { return results_[&kind]; }

private:
    struct generation {
        const caller_kind* kind = nullptr;
        model_job job;
        std::int64_t expected = 0;
        std::int64_t produced = 0;
        backend_id at;
        backend_work entered;
        time_point asked;
        time_point sent;
        backend_work queued;
        bool is_back = false;
        bool begun = false;
    };

    void arrive(const caller_kind& kind, milliseconds tick) {
        const double load = now_ < start + crowd_ ? load_ : 0.8;
        const double share = kind.a_second * engine_count * load * to_milliseconds(tick) / 1000.0;
        if (std::uniform_real_distribution<double>(0.0, 1.0)(random_) >= share) {
            return;
        }
        generation g;
        g.kind = &kind;
        g.asked = now_;
        g.job.id = next_id_++;
        g.job.prompt_tokens = static_cast<std::uint32_t>(
            std::clamp(test::draw_size(kind.prompt_tokens, 0.35, random_), 500.0, 6'000.0));
        g.job.output_tokens = static_cast<std::uint32_t>(std::clamp(
            test::draw_size(kind.output_tokens, kind.output_spread, random_), 4.0, 1'768.0));
        const double estimate =
            g.job.output_tokens * std::exp(std::normal_distribution<>(0, 1.0)(random_));
        g.expected = std::clamp<std::int64_t>(static_cast<std::int64_t>(estimate), 1, 1'768);
        ++results_[&kind].asked;
        place(g);
    }

    void place(generation g) {
        engine_request request;
        request.service = service_id("s");
        request.work = {1, g.job.prompt_tokens + g.expected, g.job.prompt_tokens};
        request.engine_memory_tokens = memory_tokens;
        request.priority = g.kind->priority;
        request.objective = g.kind->objective;
        request.near = failure_domain_id("norra");
        const engine_choice choice = choose_engine(state_, request, sender_role::owner, now_);
        if (choice.verdict == admission_verdict::admit) {
            g.at = choice.engine->id;
            g.sent = now_;
            g.queued = choice.work;
            enter(g, request.work);
            models_.at(g.at)->submit(g.job, now_);
            running_.emplace(g.job.id, g);
        } else if (g.is_back) {
            ++results_[g.kind].refused;
        } else {
            come_back(g, choice.overload);
        }
    }

    void come_back(generation g, duration overload) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(g.kind->patience - (now_ - g.asked));
        const refused_request about{refusal_cause::crowded, g.kind->objective, left, overload};
        g.is_back = true;
        returns_.emplace(now_ + come_back_after(about, random_), g);
    }

    void note_reading(const generation& g, time_point first) {
        const std::int64_t claimed = g.queued.memory_tokens + g.job.prompt_tokens + g.expected;
        if (claimed <= memory_tokens) {
            state_.reading.note(service_id("s"), work_key(g.at),
                                {static_cast<double>(g.queued.unread_tokens + g.job.prompt_tokens),
                                 to_milliseconds(first - g.sent)});
        }
    }

    void enter(generation& g, const backend_work& work) {
        state_.loads.subtract(g.at, g.entered);
        g.entered = work;
        state_.loads.add(g.at, work);
    }

    void take(const model_event& e) {
        const auto found = running_.find(e.id);
        generation& g = found->second;
        if (e.what == model_event::kind::finished) {
            enter(g, {});
            running_.erase(found);
            return;
        }
        if (e.what != model_event::kind::token) {
            return;
        }
        if (!g.begun) {
            g.begun = true;
            note_reading(g, e.at);
            outcome& result = results_[g.kind];
            ++(e.at - g.asked <= g.kind->objective ? result.on_time : result.late);
            result.served_on_return += g.is_back ? 1 : 0;
        }
        g.produced = e.sequence + 1;
        const std::int64_t left = std::max(g.expected - g.produced, g.produced / 2);
        enter(g, {1, g.job.prompt_tokens + g.produced + left, 0});
    }

    double load_;
    seconds crowd_;
    std::mt19937_64 random_;
    time_point now_ = start;
    const platform::request_translation codec_;
    forwarding_state state_;
    std::map<backend_id, std::unique_ptr<engine_model>> models_;
    std::map<std::uint64_t, generation> running_;
    std::multimap<time_point, generation> returns_;
    std::map<const caller_kind*, outcome> results_;
    std::uint64_t next_id_ = 1;
};

/// What the answers in time of a play are worth to callers: a long one as much as seven briefs.
double goodput(double load) {
    constexpr double worth_of_long = 7.4;
    double sum = 0.0;
    for (const std::uint64_t seed : {1u, 2u, 3u, 4u, 5u}) {
        crowded_pool pool(load, seed);
        pool.play();
        sum += worth_of_long * pool.of(long_kind).on_time + pool.of(brief_kind).on_time;
    }
    return sum;
}

// Engines are first in, first out: past saturation each request that is admitted to a queue makes
// those behind it late too, and three times the load once earned a third of what 1.3 times did.
TEST(admission_load, goodput_does_not_fall_as_the_crowd_grows) {
    double greatest = 0.0;
    for (const double load : {1.0, 1.3, 1.7, 2.2, 3.0}) {
        const double now = goodput(load);
        fmt::print("goodput at load {}: {:.0f}\n", load, now);
        EXPECT_GE(now, 0.95 * greatest);
        greatest = std::max(greatest, now);
    }
}

// Nothing is turned away that can be served in time.
TEST(admission_load, nobody_is_refused_at_a_bearable_load) {
    crowded_pool pool(0.8, 7);
    pool.play();
    for (const caller_kind* kind : {&long_kind, &brief_kind}) {
        const outcome& result = pool.of(*kind);
        EXPECT_LE(result.refused + result.served_on_return, result.asked / 100);
        EXPECT_LE(result.late, result.asked / 50);
    }
}

// A crowd lasts for 20 s and callers wait 39 s. Told to come back within a second or two, nearly
// all are refused for good in the same crowd.
TEST(admission_load, callers_refused_in_a_lasting_crowd_are_served_on_their_return) {
    outcome sum;
    for (const std::uint64_t seed : {1u, 2u, 3u}) {
        crowded_pool pool(2.2, seed, seconds(20));
        pool.play();
        sum.refused += pool.of(long_kind).refused;
        sum.served_on_return += pool.of(long_kind).served_on_return;
    }
    fmt::print("refused for good: {}, served on return: {}\n", sum.refused, sum.served_on_return);
    EXPECT_GE(sum.served_on_return, sum.refused);
}

// Memory binds the long ones and reading the briefs; neither kind pays for the other.
TEST(admission_load, no_kind_starves_in_a_crowd) {
    crowded_pool pool(2.2, 7);
    pool.play();
    for (const caller_kind* kind : {&long_kind, &brief_kind}) {
        const outcome& result = pool.of(*kind);
        EXPECT_GE(result.on_time, result.asked / 3);
    }
}

} // namespace
} // namespace bamboostream
