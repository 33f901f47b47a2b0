#include "bamboostream/src/Limits/pool_scheduler.h"

#include <algorithm>
#include <cmath>

// Assignment of waiting requests to engines. See pool_scheduler.cpp for the state of engines and
// requests that it is based on.

namespace bamboostream {

namespace {

constexpr milliseconds check_period{200};
/// A waiting request is dropped when its instance has not polled for it for this long: its caller
/// is gone.
constexpr seconds poll_timeout{4};
/// A running generation is considered ended when no instance has reported progress for this long.
constexpr seconds progress_timeout{5};
/// Weight of a full batch relative to full memory in the score of an engine: both slow down the
/// streams that run there.
constexpr double batch_weight = 1.0;
/// Weight of the prefill in flight: it delays the first token and lengthens the decoding steps.
constexpr double prefill_weight = 0.3;
/// Charge for a prompt token relative to an output token in fair queueing. It is lower because the
/// tokens of a prompt are processed in parallel.
constexpr double prompt_token_cost = 0.1;
/// A request that fits on no engine may be bypassed by others for this long. After that no request
/// behind it is scheduled, so that memory becomes free until it fits.
constexpr seconds max_bypass_time{2};
constexpr double unusable_score = 1e18;
/// When the first requests of this many workspaces fit on no engine, the other workspaces are not
/// tried until the state changes: their requests are of similar size, and trying all 640 workspaces
/// costs more than the few requests that it would schedule are worth.
constexpr std::size_t max_heads_tried = 16;

} // namespace

bool pool_scheduler::fits(const engine_view& engine, const memory_demand& demand) const {
    if (engine.known_running() == 0) {
        // An idle engine accepts any request; otherwise one whose predicted peak exceeds the
        // capacity would never start.
        return true;
    }
    return engine.peak_with(demand, margin_sigmas_) <= engine.capacity() * capacity_share_;
}

pool_scheduler::choice pool_scheduler::choose_engine(const queued_request& work, time_point now) {
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
        double score = engine.peak_with(demand, margin_sigmas_) / std::max(engine.capacity(), 1.0) +
                       batch_weight * (1.0 - engine.room_in_batch() /
                                                 std::max(1U, engine.report().max_running));
        score += prefill_weight * engine.prefill_in_flight() / rules_->prefill_in_flight;
        if (engine.may_have_prefix(work.prefix, now)) {
            score -= rules_->prefix_weight * work.prompt_tokens / std::max(engine.capacity(), 1.0);
        }
        score += engine.slow ? 10.0 : 0.0;
        if (score < best.score) {
            best = {&engine, score};
        }
    }
    return best;
}

bool pool_scheduler::over_limit(const std::string& workspace) const {
    const auto found = running_per_workspace_.find(workspace);
    return found != running_per_workspace_.end() &&
           found->second >= limits_of(workspace).max_running;
}

void pool_scheduler::grant(const queued_request& work, engine_view& engine, time_point now,
                           std::vector<scheduling_decision>& out) {
    running_work started;
    started.facts = {work.id, work.workspace, engine.id().text(), {}, work.prompt_tokens, 0};
    started.lengths = work.lengths;
    started.granted_at = now;
    started.last_update = now;
    started.exact_output_tokens = work.exact_output_tokens;
    started.charged_tokens = work.expected_tokens;
    queue_.charge(work.workspace, work.expected_tokens + prompt_token_cost * work.prompt_tokens);
    engine.prefill_started(work.prompt_tokens);
    engine.remember_prefix(work.prefix, now);
    running_per_engine_[engine.id().text()].push_back(work.id);
    ++running_per_workspace_[work.workspace];
    running_.emplace(work.id, std::move(started));
    last_polls_.erase(work.id);
    engine.add(demand_of(work));
    out.push_back({work.id, true, engine.id(), milliseconds(0), refusal_reason::none});
}

bool pool_scheduler::dispatch_one(time_point now, std::vector<scheduling_decision>& out) {
    queue_.next_workspaces(next_workspaces_, max_heads_tried);
    for (const std::string_view workspace : next_workspaces_) {
        if (over_limit(std::string(workspace))) {
            continue;
        }
        const queued_request* head = queue_.head(workspace, rules_->shortest_first, now);
        const choice found = choose_engine(*head, now);
        if (found.engine != nullptr) {
            queued_request work;
            queue_.take(head->id, work);
            grant(work, *found.engine, now, out);
            return true;
        }
        if (now - head->arrived > max_bypass_time) {
            return false;
        }
    }
    return false;
}

void pool_scheduler::refuse_unservable(time_point now, std::vector<scheduling_decision>& out) {
    std::vector<std::uint64_t> unservable;
    const bool no_engine = std::none_of(engines_.begin(), engines_.end(),
                                        [](const auto& item) { return item.second.usable; });
    queue_.for_each([&](const queued_request& work) {
        const bool late = now > work.start_by;
        const bool stranded = no_engine && now - work.arrived > seconds(1);
        if (late || stranded) {
            unservable.push_back(work.id);
        }
    });
    for (const std::uint64_t id : unservable) {
        queued_request work;
        queue_.take(id, work);
        last_polls_.erase(id);
        const refusal_reason reason =
            no_engine ? refusal_reason::no_engine : refusal_reason::deadline_unreachable;
        out.push_back(refuse(id, work.workspace, work.expected_tokens, reason, now));
    }
}

void pool_scheduler::drop_inactive(time_point now) {
    std::vector<std::uint64_t> gone;
    for (const auto& [id, asked] : last_polls_) {
        if (now - asked > poll_timeout) {
            gone.push_back(id);
        }
    }
    for (const std::uint64_t id : gone) {
        withdraw(id);
    }
    gone.clear();
    for (const auto& [id, work] : running_) {
        if (now - work.last_update > progress_timeout) {
            gone.push_back(id);
        }
    }
    for (const std::uint64_t id : gone) {
        remove_running(id);
    }
}

std::vector<scheduling_decision> pool_scheduler::dispatch(time_point now) {
    std::vector<scheduling_decision> out;
    refresh(now);
    if (now - last_check_ >= check_period) {
        last_check_ = now;
        drop_inactive(now);
        retries_.expire(now);
        refuse_unservable(now, out);
    }
    while (dispatch_needed_ && queue_.size() > 0) {
        dispatch_needed_ = dispatch_one(now, out);
    }
    rate_.update(queue_.size() > 0, now);
    return out;
}

} // namespace bamboostream
