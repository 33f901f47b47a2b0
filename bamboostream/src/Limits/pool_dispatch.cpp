#include "bamboostream/src/Limits/pool_scheduler.h"

#include <algorithm>
#include <cmath>

// The choice of engines for waiting requests. See pool_scheduler.cpp for what is known of engines
// and requests.

namespace bamboostream {

namespace {

constexpr milliseconds check_period{200};
/// A waiting request whose instance has not asked again for this long has lost its caller.
constexpr seconds interest_lifetime{4};
/// A running generation no instance has spoken of for this long is taken as ended.
constexpr seconds silence_lifetime{5};
/// How much a full batch weighs against full memory in the choice of an engine: both slow the
/// streams that are there.
constexpr double batch_worth = 1.0;
/// The same for prompts on their way: they delay the first token and widen the steps meanwhile.
constexpr double prefill_worth = 0.3;
/// Cost of one prompt token against one output token in fair shares: prefill is done in parallel.
constexpr double prompt_token_cost = 0.1;
/// A request that fits nowhere may be overtaken for this long; then the engine with most room is
/// kept for it.
constexpr seconds overtaking_limit{2};
constexpr double unusable_score = 1e18;
/// When the requests of this many workspaces fit nowhere, the others are not tried until something
/// changes: they are of like size, and trying all 640 costs more than it finds.
constexpr std::size_t most_heads_tried = 16;

} // namespace

bool pool_scheduler::fits(const engine_view& engine, const memory_demand& demand) const {
    if (engine.known_running() == 0) {
        // An empty engine takes anything; otherwise an output larger than the margin would never
        // start at all.
        return true;
    }
    return engine.peak_with(demand, caution_) <= engine.capacity() * capacity_share_;
}

pool_scheduler::choice pool_scheduler::choose_engine(const queued_work& work, time_point now) {
    const memory_demand demand = demand_of(work);
    choice best{nullptr, unusable_score};
    for (auto& [id, engine] : engines_) {
        const bool avoided =
            std::find(work.avoid.begin(), work.avoid.end(), id) != work.avoid.end();
        const bool prefill_full =
            engine.prefill_in_flight() > 0 &&
            engine.prefill_in_flight() + work.prompt_tokens > rules_->prefill_in_flight;
        if (!engine.usable || avoided || prefill_full || engine.room_in_batch() < 1.0 ||
            !fits(engine, demand)) {
            continue;
        }
        double score = engine.peak_with(demand, caution_) / std::max(engine.capacity(), 1.0) +
                       batch_worth * (1.0 - engine.room_in_batch() /
                                                std::max(1U, engine.report().max_running));
        score += prefill_worth * engine.prefill_in_flight() / rules_->prefill_in_flight;
        if (engine.may_have_prefix(work.prefix, now)) {
            score -= rules_->prefix_worth * work.prompt_tokens / std::max(engine.capacity(), 1.0);
        }
        score += engine.slow ? 10.0 : 0.0;
        if (score < best.score) {
            best = {&engine, score};
        }
    }
    return best;
}

bool pool_scheduler::over_limit(const std::string& workspace) const {
    const auto found = running_of_.find(workspace);
    return found != running_of_.end() && found->second >= limits_of(workspace).max_running;
}

void pool_scheduler::grant(const queued_work& work, engine_view& engine, time_point now,
                           std::vector<scheduling_decision>& out) {
    running_work started;
    started.facts = {work.id, work.workspace, engine.id().text(), {}, work.prompt_tokens, 0};
    started.lengths = work.lengths;
    started.granted_at = now;
    started.last_news = now;
    started.exact_output_tokens = work.exact_output_tokens;
    started.charged = work.expected_tokens;
    queue_.charge(work.workspace, work.expected_tokens + prompt_token_cost * work.prompt_tokens);
    engine.prefill_started(work.prompt_tokens);
    engine.remember_prefix(work.prefix, now);
    running_on_[engine.id().text()].push_back(work.id);
    ++running_of_[work.workspace];
    running_.emplace(work.id, std::move(started));
    interest_.erase(work.id);
    engine.add(demand_of(work));
    out.push_back({work.id, true, engine.id(), milliseconds(0), refusal_reason::none});
}

bool pool_scheduler::dispatch_one(time_point now, std::vector<scheduling_decision>& out) {
    queue_.order(order_, most_heads_tried);
    for (const std::string_view workspace : order_) {
        if (over_limit(std::string(workspace))) {
            continue;
        }
        const queued_work* head = queue_.head(workspace, rules_->shortest_first, now);
        const choice found = choose_engine(*head, now);
        if (found.engine != nullptr) {
            queued_work work;
            queue_.take(head->id, work);
            grant(work, *found.engine, now, out);
            return true;
        }
        if (now - head->arrived > overtaking_limit) {
            return false;
        }
    }
    return false;
}

void pool_scheduler::refuse_hopeless(time_point now, std::vector<scheduling_decision>& out) {
    std::vector<std::uint64_t> hopeless;
    const bool no_engine = std::none_of(engines_.begin(), engines_.end(),
                                        [](const auto& item) { return item.second.usable; });
    queue_.for_each([&](const queued_work& work) {
        const bool late = now > work.start_by;
        const bool stranded = no_engine && now - work.arrived > seconds(1);
        if (late || stranded) {
            hopeless.push_back(work.id);
        }
    });
    for (const std::uint64_t id : hopeless) {
        queued_work work;
        queue_.take(id, work);
        interest_.erase(id);
        const refusal_reason reason =
            no_engine ? refusal_reason::no_engine : refusal_reason::deadline_unreachable;
        out.push_back(refuse(id, work.workspace, work.expected_tokens, reason, now));
    }
}

void pool_scheduler::drop_silent(time_point now) {
    std::vector<std::uint64_t> gone;
    for (const auto& [id, asked] : interest_) {
        if (now - asked > interest_lifetime) {
            gone.push_back(id);
        }
    }
    for (const std::uint64_t id : gone) {
        withdraw(id);
    }
    gone.clear();
    for (const auto& [id, work] : running_) {
        if (now - work.last_news > silence_lifetime) {
            gone.push_back(id);
        }
    }
    for (const std::uint64_t id : gone) {
        forget_running(id);
    }
}

std::vector<scheduling_decision> pool_scheduler::dispatch(time_point now) {
    std::vector<scheduling_decision> out;
    refresh(now);
    if (now - last_check_ >= check_period) {
        last_check_ = now;
        drop_silent(now);
        returns_.expire(now);
        refuse_hopeless(now, out);
    }
    while (changed_ && queue_.size() > 0) {
        changed_ = dispatch_one(now, out);
    }
    rate_.update(queue_.size() > 0, now);
    return out;
}

} // namespace bamboostream
