// Simulates a surge of demand on engines of which a sixth leaves every 3.3 s, to measure what
// holding room for moves is worth. No network.

#include "bamboostream/Evacuation"
#include "bamboostream/Forwarding"
#include "bamboostream/Limits"
#include "platform/platform_request_codec.h"
#include "test/platform/decision_helpers.h"
#include "test/platform/modelled_engines.h"

#include <cmath>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace bamboostream {
namespace {

using standins::engine_model;
using standins::model_event;
using standins::model_job;

struct caller_kind {
    double per_second;
    double prompt_tokens;
    double output_tokens;
    int priority;
    milliseconds objective;
    milliseconds caller_timeout;
    bool movable;
};

constexpr caller_kind long_kind{24.7, 3'079.0, 752.0, 2, milliseconds(4'000), milliseconds(39'000),
                                true};
constexpr caller_kind brief_kind{48.3, 2'550.0, 8.0, 0, milliseconds(1'500), milliseconds(6'000),
                                 false};
constexpr std::int64_t memory_tokens = 26'919;
constexpr link_speed link{18'432.0, 2'700.0};
const service_id service{"s"};

/// What is decided how in a simulation.
struct variant {
    bool holds_room = true;
    bool moves_by_time = true;
    double surge = 2.6;
    double max_claimed_fraction = 1.1;
};

struct outcome {
    int arrived = 0;
    int on_time = 0;
    int late = 0;
    int refused = 0;
    /// Cut off when their engine left.
    int lost = 0;
};

class surge_simulation {
public:
    surge_simulation(const variant& decisions, std::uint64_t seed)
        : decisions_(decisions), random_(seed), state_(codec_, failure_domain_id("d0"), {}, seed) {
        if (decisions.holds_room) {
            state_.server_loads.set_reports_host_load(service);
        }
        state_.admission.max_claimed_fraction = decisions.max_claimed_fraction;
        add_engines(engine_count);
    }

    void run() {
        while (now_ < start + simulated_time) {
            now_ += tick;
            if (now_ < start + arrivals_end) {
                arrive(long_kind);
                arrive(brief_kind);
            }
            while (!retries_.empty() && retries_.begin()->first <= now_) {
                generation retry = retries_.begin()->second;
                retries_.erase(retries_.begin());
                place(std::move(retry));
            }
            reclaim();
            for (auto& [id, e] : engines_) {
                evacuate(e);
            }
            for (auto& [id, e] : engines_) {
                e.model->advance(now_, [this](const model_event& it) { handle_event(it); });
            }
        }
    }

    outcome& of(const caller_kind& kind) { return results_[&kind]; }

private:
    static constexpr int engine_count = 60;
    static constexpr milliseconds tick{4};
    static constexpr milliseconds simulated_time{26'000};
    static constexpr milliseconds arrivals_end{14'000};
    static constexpr milliseconds surge_begin{5'000};
    static constexpr milliseconds surge_end{11'600};
    static constexpr milliseconds reclaim_interval{3'300};
    /// Requests for the last part of a copy and the way of two requests.
    static constexpr milliseconds move_overhead{20};
    static constexpr milliseconds overlapped_overhead{5};

    struct generation {
        const caller_kind* kind = nullptr;
        model_job job;
        std::int64_t expected = 0;
        std::int64_t produced_before = 0;
        std::int64_t produced = 0;
        backend_id at;
        backend_work recorded;
        time_point arrived;
        time_point latest_token;
        duration longest_pause{};
        bool begun = false;
        bool in_time = false;
        bool is_retry = false;

        std::int64_t left() const {
            const std::int64_t out = produced_before + produced;
            return std::max(expected - out, out / 2);
        }
        std::int64_t context() const { return job.prompt_tokens + produced; }
    };
    struct engine {
        registered_backend backend;
        std::unique_ptr<engine_model> model;
        std::optional<time_point> announced;
        time_point ends;
        std::uint64_t copied = 0;
        backend_id target;
        time_point next_step;
    };

    void add_engines(int count) {
        for (int i = 0; i < count; ++i) {
            engine e;
            e.backend =
                backend(fmt::format("i-{}", next_engine_), fmt::format("d{}", next_engine_ % 3));
            e.backend.slots = 24;
            standins::engine_parameters p = test::modelled_engine();
            p.blocks = static_cast<std::uint32_t>(memory_tokens / p.block_tokens);
            p.slowness = next_engine_ / 3 % 3 == 0 ? 1.3 : 1.0;
            e.model = std::make_unique<engine_model>(p);
            state_.registry.update(e.backend, now_);
            const backend_id id = e.backend.id;
            engines_.emplace(id, std::move(e));
            ++next_engine_;
        }
    }

    void arrive(const caller_kind& kind) {
        const bool surges = now_ >= start + surge_begin && now_ < start + surge_end;
        const double mean =
            kind.per_second * (surges ? decisions_.surge : 1.0) * to_milliseconds(tick) / 1000.0;
        for (int n = std::poisson_distribution<int>(mean)(random_); n > 0; --n) {
            generation g;
            g.kind = &kind;
            g.arrived = now_;
            g.job.id = next_id_++;
            g.job.prompt_tokens = static_cast<std::uint32_t>(std::clamp(
                test::sample_log_normal(kind.prompt_tokens, 0.35, random_), 500.0, 6'000.0));
            g.job.output_tokens = static_cast<std::uint32_t>(std::clamp(
                test::sample_log_normal(kind.output_tokens, 0.5, random_), 4.0, 1'768.0));
            const double estimate =
                g.job.output_tokens * std::exp(std::normal_distribution<>(0, 0.5)(random_));
            g.expected = std::clamp<std::int64_t>(std::llround(estimate), 1, 1'768);
            ++of(kind).arrived;
            place(std::move(g));
        }
    }

    void place(generation g) {
        engine_request request;
        request.service = service;
        request.work = {1, g.job.prompt_tokens + g.expected, g.job.prompt_tokens};
        request.engine_memory_tokens = memory_tokens;
        request.priority = g.kind->priority;
        request.objective = g.kind->objective;
        const engine_choice choice = choose_engine(state_, request, sender_role::owner, now_);
        if (choice.result == admission_result::admit) {
            submit(std::move(g), choice.engine->id, request.work);
        } else if (g.is_retry) {
            ++of(*g.kind).refused;
        } else {
            refused_request why;
            why.cause = choice.result == admission_result::memory_reserved
                            ? refusal_cause::memory_reserved
                            : refusal_cause::overloaded;
            why.objective = g.kind->objective;
            why.caller_timeout = g.kind->caller_timeout;
            why.overload = choice.overload;
            why.hold = state_.reserve.time_left(service, now_);
            g.is_retry = true;
            retries_.emplace(now_ + choose_retry_delay(why, random_), std::move(g));
        }
    }

    void submit(generation g, const backend_id& at, const backend_work& work) {
        record(g, at, work);
        engines_.at(at).model->submit(g.job, now_);
        running_[g.job.id] = std::move(g);
    }

    void record(generation& g, const backend_id& at, const backend_work& work) {
        if (!g.at.empty()) {
            state_.loads.subtract(g.at, g.recorded);
        }
        g.at = at;
        g.recorded = work;
        state_.loads.add(at, work);
    }

    void handle_event(const model_event& e) {
        const auto found = running_.find(e.id);
        generation& g = found->second;
        if (e.what == model_event::kind::finished) {
            const bool good = g.in_time && g.longest_pause <= milliseconds(180);
            ++(good ? of(*g.kind).on_time : of(*g.kind).late);
            record(g, g.at, {});
            running_.erase(found);
        } else if (e.what == model_event::kind::token) {
            if (!g.begun) {
                g.begun = true;
                g.in_time = e.at - g.arrived <= g.kind->objective;
            } else {
                g.longest_pause = std::max(g.longest_pause, e.at - g.latest_token);
            }
            g.latest_token = e.at;
            g.produced = e.sequence + 1;
            record(g, g.at, {1, g.context() + g.left(), 0});
        }
    }

    void reclaim() {
        if (now_ >= next_reclaim_) {
            next_reclaim_ += reclaim_interval;
            std::vector<engine*> staying;
            for (auto& [id, e] : engines_) {
                if (!e.announced) {
                    staying.push_back(&e);
                }
            }
            std::shuffle(staying.begin(), staying.end(), random_);
            for (std::size_t i = 0; i < engine_count / 6; ++i) {
                announce(*staying[i]);
            }
            replacements_.push_back(now_ + milliseconds(4'000));
        }
        if (!replacements_.empty() && now_ >= replacements_.front()) {
            replacements_.erase(replacements_.begin());
            add_engines(engine_count / 6);
        }
        std::erase_if(engines_, [this](const auto& item) {
            const bool gone = item.second.announced && now_ >= item.second.ends;
            if (gone) {
                lose(item.second);
            }
            return gone;
        });
    }

    void announce(engine& e) {
        e.announced = now_;
        e.ends = now_ + milliseconds(std::uniform_int_distribution<int>(1'500, 2'100)(random_));
        state_.registry.mark_leaving(e.backend.id);
        state_.reserve.start(e.backend, now_);
    }

    void lose(const engine& e) {
        state_.reserve.end(e.backend.id);
        end_copy(e.target);
        state_.registry.forget(e.backend.id);
        std::erase_if(running_, [&](const auto& item) {
            const generation& g = item.second;
            if (g.at == e.backend.id) {
                state_.loads.subtract(g.at, g.recorded);
                ++of(*g.kind).lost;
                return true;
            }
            return false;
        });
    }

    void end_copy(const backend_id& target) {
        receiving_.erase(target);
        state_.reserve.end_copy(target);
    }

    void evacuate(engine& source) {
        if (!source.announced || now_ < source.next_step) {
            return;
        }
        if (source.copied != 0) {
            finish_copy(source);
        }
        start_copy(source);
    }

    void finish_copy(engine& source) {
        const auto found = running_.find(source.copied);
        const auto target = engines_.find(source.target);
        end_copy(source.target);
        source.copied = 0;
        if (found == running_.end() || target == engines_.end() || target->second.announced ||
            !source.model->cancel(found->first)) {
            return;
        }
        generation g = found->second;
        g.job.output_tokens -= static_cast<std::uint32_t>(g.produced);
        g.job.prompt_tokens += static_cast<std::uint32_t>(g.produced);
        g.job.carried_tokens = g.job.prompt_tokens;
        g.produced_before += g.produced;
        g.produced = 0;
        submit(g, source.target, {1, g.context() + g.left(), 0});
    }

    void start_copy(engine& source) {
        std::vector<move_candidate> candidates;
        for (const auto& [id, g] : running_) {
            if (g.at == source.backend.id && g.begun && g.kind->movable) {
                candidates.push_back({{std::to_string(id),
                                       g.context(),
                                       g.left(),
                                       {},
                                       2,
                                       g.produced_before + g.produced},
                                      {}});
            }
        }
        std::vector<move_target> targets;
        for (const auto& [id, e] : engines_) {
            if (!e.announced && !receiving_.contains(id)) {
                targets.push_back({e.backend, state_.loads.total(id, now_), memory_tokens, 24});
            }
        }
        const move_window window{
            std::max(duration{}, *source.announced + move_reserve::min_notice - now_), link};
        const bool by_time = decisions_.moves_by_time;
        const move_limits limits =
            by_time ? limits_before_end(is_time_short(candidates, window)) : move_limits{};
        for (const move_candidate& c :
             by_time ? order_moves(candidates, window) : order_moves(candidates)) {
            const auto index =
                choose_target(c.generation, source.backend.failure_domain, link, targets, limits);
            if (index) {
                const registered_backend& target = targets[*index].backend;
                const bool far = target.failure_domain != source.backend.failure_domain;
                source.copied = std::stoull(c.generation.id);
                source.target = target.id;
                source.next_step = now_ + copy_time(c.generation.memory_tokens, link, far) +
                                   (by_time ? overlapped_overhead : move_overhead);
                receiving_.insert(target.id);
                state_.reserve.start_copy(
                    source.backend.id, target.id,
                    {1, c.generation.memory_tokens + c.generation.tokens_left, 0});
                return;
            }
        }
        source.next_step = now_ + (by_time ? milliseconds(20) : milliseconds(100));
    }

    variant decisions_;
    std::mt19937_64 random_;
    time_point now_ = start;
    time_point next_reclaim_ = start + seconds(2);
    const platform::platform_request_codec codec_;
    forwarding_state state_;
    std::vector<time_point> replacements_;
    std::map<backend_id, engine> engines_;
    std::map<std::uint64_t, generation> running_;
    std::multimap<time_point, generation> retries_;
    std::set<backend_id> receiving_;
    std::map<const caller_kind*, outcome> results_;
    std::uint64_t next_id_ = 1;
    int next_engine_ = 0;
};

/// Sums over several seeds, for long and for brief streams.
struct outcomes {
    outcome of_long;
    outcome of_brief;
    /// Value of the streams that have ended. A long one counts as much as 7.4 brief ones, a late
    /// one a seventh.
    double earned() const {
        const auto value = [](const outcome& it) { return it.on_time + it.late / 7.0; };
        const auto ended = [](const outcome& it) {
            return it.on_time + it.late + it.refused + it.lost;
        };
        return (7.4 * value(of_long) + value(of_brief)) / (7.4 * ended(of_long) + ended(of_brief));
    }
};

outcomes simulate(const std::string& name, const variant& decisions, int seeds = 6) {
    outcomes out;
    const auto add = [](outcome& sum, const outcome& it) {
        sum.arrived += it.arrived;
        sum.on_time += it.on_time;
        sum.late += it.late;
        sum.refused += it.refused;
        sum.lost += it.lost;
    };
    for (int seed = 1; seed <= seeds; ++seed) {
        surge_simulation simulation(decisions, static_cast<std::uint64_t>(seed));
        simulation.run();
        add(out.of_long, simulation.of(long_kind));
        add(out.of_brief, simulation.of(brief_kind));
    }
    const auto text = [](const outcome& it) {
        return fmt::format("{} arrived, {} on time, {} late, {} refused, {} lost", it.arrived,
                           it.on_time, it.late, it.refused, it.lost);
    };
    fmt::print("{}: {:.3f}; long {}; brief {}\n", name, out.earned(), text(out.of_long),
               text(out.of_brief));
    return out;
}

/// The factor by which demand rises, the largest share of the streams lost without a hold and with
/// moves in order of size that may still be lost, and the least gain in value. Over ten sets of
/// six seeds the gain was 0.051 to 0.065 with a surge of 1.7 and 0.031 to 0.056 with one of 2.6.
struct surge_row {
    std::string name;
    double surge;
    double max_lost;
    double min_gain;
};

void PrintTo(const surge_row& row, std::ostream* out) {
    *out << row.name;
}

class move_reserve_load : public testing::TestWithParam<surge_row> {};

INSTANTIATE_TEST_SUITE_P(table, move_reserve_load,
                         testing::Values(surge_row{"no_surge", 1.0, 1.0, -0.001},
                                         surge_row{"surge_of_1_7", 1.7, 0.2, 0.03},
                                         surge_row{"surge_of_2_6", 2.6, 0.2, 0.02}),
                         [](const auto& info) { return info.param.name; });

// Guards against running streams that are lost when their engines leave because new ones have
// taken the room: the moves find no target, although the pool ends a sixth of its streams a second.
TEST_P(move_reserve_load, running_streams_go_before_new_ones) {
    const double surge = GetParam().surge;
    const outcomes before = simulate("before", {false, false, surge});
    const outcomes after = simulate("after", {true, true, surge});
    EXPECT_LE(after.of_long.lost, GetParam().max_lost * before.of_long.lost);
    EXPECT_GE(after.earned(), before.earned() + GetParam().min_gain);
    if (surge <= 1.0) {
        EXPECT_EQ(after.of_long.refused + after.of_brief.refused, 0);
    }
    EXPECT_GE(after.of_brief.on_time, 0.97 * before.of_brief.on_time);
}

} // namespace
} // namespace bamboostream
