#include "bamboostream/src/Limits/pool_scheduler.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace bamboostream {

namespace {

/// Progress reports arrive every 100 ms; forecasts are rebuilt somewhat more often.
constexpr milliseconds refresh_period{50};
/// Between two reports, tokens are extrapolated from the engine's step time for at most this long.
constexpr milliseconds max_extrapolation{500};
/// Each preemption raises the safety margin, and the margin decays with time. The few preemptions
/// expected at the configured margin don't outweigh the decay; many of them, as after a change of
/// workload that the length estimates don't reflect yet, do.
constexpr double margin_step_up = 0.01;
constexpr double margin_step_down_per_second = 0.02;
/// Decoding steps between the end of a generation and the moment at which a request scheduled in
/// its place joins the batch: the end has to be reported, the request sent, and the step in
/// progress completed.
constexpr double steps_until_batched = 2.0;
/// An engine counts as slow when its step time exceeds the median of the pool by this factor.
constexpr double slow_factor = 2.5;
/// The predicted wait is divided by this before it is compared with the deadline, since a wrong
/// refusal costs the caller more than a late one.
constexpr double refusal_margin = 1.15;
/// Assumed until an engine has sent its first report.
constexpr double assumed_capacity_tokens = 16'000.0;
constexpr std::uint32_t assumed_batch = 16;
constexpr double max_expected_tokens = 1e9;
constexpr std::array<std::string_view, 4> refusal_names = {"none", "deadline_unreachable",
                                                           "workspace_queue_full", "no_engine"};

} // namespace

std::string_view to_string(refusal_reason reason) {
    return refusal_names[static_cast<std::size_t>(reason)];
}

pool_scheduler::pool_scheduler(std::string model, objective which, std::uint64_t seed)
    : model_(std::move(model)), rules_(&rules_of(which)), random_(seed),
      margin_sigmas_(rules_->margin_sigmas) {}

void pool_scheduler::set_objective(objective which) {
    rules_ = &rules_of(which);
}

void pool_scheduler::set_workspace(const std::string& workspace, workspace_limits limits) {
    limits_[workspace] = limits;
    queue_.set_weight(workspace, limits.weight);
}

const workspace_limits& pool_scheduler::limits_of(const std::string& workspace) const {
    static const workspace_limits unlimited;
    const auto found = limits_.find(workspace);
    return found == limits_.end() ? unlimited : found->second;
}

void pool_scheduler::add_engine(const backend_id& id, const failure_domain_id& domain) {
    const auto [found, is_new] = engines_.try_emplace(id.text(), id, domain);
    if (is_new) {
        engine_report assumed;
        assumed.capacity_tokens = assumed_capacity_tokens;
        assumed.max_running = assumed_batch;
        found->second.on_report(assumed, time_point{});
        // Generations that run on this engine may have been reported before the engine was added.
        refresh_engine(found->second, time_point{});
    }
}

void pool_scheduler::set_engine_usable(std::string_view id, bool usable) {
    const auto found = engines_.find(id);
    if (found != engines_.end()) {
        found->second.usable = usable;
    }
}

void pool_scheduler::remove_engine(std::string_view id) {
    const auto found = engines_.find(id);
    if (found != engines_.end()) {
        engines_.erase(found);
    }
}

void pool_scheduler::on_report(std::string_view engine, const engine_report& report,
                               time_point now) {
    const auto found = engines_.find(engine);
    if (found != engines_.end()) {
        found->second.on_report(report, now);
    }
}

memory_demand pool_scheduler::make_demand(length_key lengths, double prompt_tokens, double reached,
                                          std::uint32_t exact) const {
    if (exact > 0) {
        return memory_demand::exact(prompt_tokens + reached, std::max(exact - reached, 0.0));
    }
    std::array<double, forecast_horizon.size()> survival{};
    lengths_.conditional_survival(lengths, reached, forecast_horizon, survival);
    return {prompt_tokens + reached, survival};
}

/// Output tokens that a generation has now: those reported, plus an extrapolation from the engine's
/// step time since the last report.
double pool_scheduler::estimated_tokens(const running_work& work, const engine_view& engine,
                                        time_point now) {
    const double step = engine.report().step_ms;
    if (!work.first_token || step <= 0.0) {
        return work.facts.tokens;
    }
    const duration silent = std::min<duration>(now - work.last_update, max_extrapolation);
    return work.facts.tokens + to_milliseconds(silent) / step;
}

memory_demand pool_scheduler::demand_of(const running_work& work, const engine_view& engine,
                                        time_point now) const {
    return make_demand(work.lengths, work.facts.prompt_tokens, estimated_tokens(work, engine, now),
                       work.exact_output_tokens);
}

memory_demand pool_scheduler::demand_of(const queued_request& work) const {
    return make_demand(work.lengths, work.prompt_tokens, 0, work.exact_output_tokens);
}

std::optional<scheduling_decision> pool_scheduler::submit(const scheduling_request& request,
                                                          time_point now) {
    last_polls_[request.id] = now;
    if (queue_.contains(request.id)) {
        return std::nullopt;
    }
    if (auto known = find_grant(request.id)) {
        return known;
    }
    queued_request work;
    work.id = request.id;
    work.workspace = request.workspace;
    work.priority = request.priority;
    work.lengths = lengths_.key({request.workspace, model_, request.kind});
    work.prompt_tokens = request.prompt_tokens;
    work.max_tokens = request.max_tokens;
    work.prefix = request.prefix;
    work.arrived = now;
    work.start_by = request.start_by;
    work.avoid = request.avoid;
    work.exact_output_tokens = request.exact_output_tokens;
    work.expected_tokens = request.exact_output_tokens > 0 ? request.exact_output_tokens
                                                           : lengths_.expected_length(work.lengths);
    if (request.max_tokens > 0) {
        work.expected_tokens = std::min<double>(work.expected_tokens, request.max_tokens);
    }
    if (queue_.waiting(request.workspace) >= limits_of(request.workspace).max_waiting) {
        last_polls_.erase(request.id);
        return refuse(request.id, request.workspace, work.expected_tokens,
                      refusal_reason::workspace_queue_full, now);
    }
    work.is_scheduled_retry = retries_.redeem(request.id, now);
    const duration wait =
        predicted_wait(request.workspace, request.priority, work.expected_tokens, now);
    if (!work.is_scheduled_retry && now + wait > request.start_by) {
        last_polls_.erase(request.id);
        return refuse(request.id, request.workspace, work.expected_tokens,
                      refusal_reason::deadline_unreachable, now);
    }
    queue_.push(std::move(work));
    dispatch_needed_ = true;
    return std::nullopt;
}

duration pool_scheduler::predicted_wait(std::string_view workspace, priority_level priority,
                                        double expected_tokens, time_point now) const {
    if (queue_.size() == 0 || !rate_.known()) {
        return duration::zero();
    }
    const double rate = std::max(rate_.tokens_per_second(), 1.0);
    const double longest = rules_->shortest_first ? expected_tokens : max_expected_tokens;
    const double own = queue_.tokens_ahead(workspace, priority, longest) / queue_.share(workspace);
    const double all = queue_.waiting_tokens();
    const double seconds_ahead = std::min(own, all) / rate;
    const auto horizon = now + from_milliseconds(seconds_ahead * 1000.0);
    const double promised = retries_.tokens_due(horizon);
    return from_milliseconds(1000.0 * (seconds_ahead + promised / rate) / refusal_margin);
}

scheduling_decision pool_scheduler::refuse(std::uint64_t id, const std::string& workspace,
                                           double tokens, refusal_reason reason, time_point now) {
    const double rate = std::max(rate_.tokens_per_second(), 1.0) * queue_.share(workspace);
    const duration service = from_milliseconds(1000.0 * tokens / rate);
    // Half the predicted wait: on its return the caller can still wait for the other half in the
    // queue.
    const duration drain =
        predicted_wait(workspace, priority_level::standard, max_expected_tokens, now) / 2;
    scheduling_decision decision;
    decision.id = id;
    decision.reason = reason;
    decision.retry_after = retries_.reserve(id, workspace, drain, service, tokens, now);
    return decision;
}

void pool_scheduler::withdraw(std::uint64_t id) {
    queued_request gone;
    queue_.take(id, gone);
    last_polls_.erase(id);
}

std::optional<scheduling_decision> pool_scheduler::find_grant(std::uint64_t id) const {
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return std::nullopt;
    }
    scheduling_decision decision;
    decision.id = id;
    decision.granted = true;
    decision.backend = backend_id(found->second.facts.backend);
    return decision;
}

void pool_scheduler::on_progress(const generation_progress& facts, time_point now) {
    auto [found, is_new] = running_.try_emplace(facts.id);
    running_work& work = found->second;
    if (is_new) {
        if (facts.backend.empty()) {
            running_.erase(found);
            return;
        }
        work.facts = facts;
        work.lengths = lengths_.key({facts.workspace, model_, facts.kind});
        work.granted_at = now;
        running_per_engine_[facts.backend].push_back(facts.id);
        ++running_per_workspace_[facts.workspace];
    }
    work.last_update = now;
    if (facts.tokens > work.facts.tokens || is_new) {
        const std::uint32_t before = is_new ? 0 : work.facts.tokens;
        rate_.add(facts.tokens - before);
        lengths_.record_progress(work.lengths, before, facts.tokens);
        work.facts.tokens = facts.tokens;
    }
    if (facts.tokens > 0 && !work.first_token) {
        work.first_token = true;
        const auto engine = engines_.find(work.facts.backend);
        if (engine != engines_.end()) {
            engine->second.prefill_ended(work.facts.prompt_tokens);
        }
    }
    if (facts.tokens > work.charged_tokens) {
        queue_.charge(work.facts.workspace, facts.tokens - work.charged_tokens);
        work.charged_tokens = facts.tokens;
    }
}

void pool_scheduler::remove_running(std::uint64_t id) {
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    const running_work& work = found->second;
    const auto engine = engines_.find(work.facts.backend);
    if (!work.first_token && engine != engines_.end()) {
        engine->second.prefill_ended(work.facts.prompt_tokens);
    }
    std::erase(running_per_engine_[work.facts.backend], id);
    const auto count = running_per_workspace_.find(work.facts.workspace);
    if (count != running_per_workspace_.end() && count->second > 0) {
        --count->second;
    }
    running_.erase(found);
}

void pool_scheduler::on_finished(std::uint64_t id, std::uint32_t tokens, generation_end end,
                                 time_point now) {
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    running_work& work = found->second;
    if (tokens > work.facts.tokens) {
        rate_.add(tokens - work.facts.tokens);
    }
    // Replaces the charge by expected tokens with the actual number.
    queue_.charge(work.facts.workspace, static_cast<double>(tokens) - work.charged_tokens);
    lengths_.record_progress(work.lengths, work.facts.tokens, tokens);
    if (end == generation_end::finished) {
        lengths_.record_end(work.lengths, std::max(tokens, 1U));
    }
    const std::string backend = work.facts.backend;
    remove_running(id);
    dispatch_needed_ = true;
    const auto engine = engines_.find(backend);
    if (engine != engines_.end()) {
        refresh_engine(engine->second, now);
    }
}

void pool_scheduler::refresh_engine(engine_view& engine, time_point now) {
    demands_.clear();
    double soon = 0.0;
    const auto on = running_per_engine_.find(engine.id().text());
    if (on != running_per_engine_.end()) {
        for (const std::uint64_t id : on->second) {
            const running_work& work = running_.at(id);
            demands_.push_back(demand_of(work, engine, now));
            soon += probability_still_running(work);
        }
    }
    engine.rebuild(demands_, soon, now);
}

/// The probability that a generation still runs when a request scheduled now could join the batch.
double pool_scheduler::probability_still_running(const running_work& work) const {
    static constexpr std::array<double, 1> ahead = {steps_until_batched};
    std::array<double, 1> survival{};
    if (work.exact_output_tokens > 0) {
        return work.facts.tokens + steps_until_batched < work.exact_output_tokens ? 1.0 : 0.0;
    }
    lengths_.conditional_survival(work.lengths, work.facts.tokens, ahead, survival);
    return survival[0];
}

void pool_scheduler::refresh(time_point now) {
    if (now - last_refresh_ < refresh_period) {
        return;
    }
    last_refresh_ = now;
    dispatch_needed_ = true;
    for (auto& [id, engine] : engines_) {
        refresh_engine(engine, now);
    }
    adapt_margin(now);
    find_slow_engines();
}

void pool_scheduler::adapt_margin(time_point now) {
    std::uint64_t preemptions = 0;
    for (auto& [id, engine] : engines_) {
        preemptions += engine.take_new_preemptions();
    }
    const double elapsed = last_margin_update_ == time_point{}
                               ? 0.0
                               : std::chrono::duration<double>(now - last_margin_update_).count();
    last_margin_update_ = now;
    margin_sigmas_ += margin_step_up * std::min<double>(static_cast<double>(preemptions), 4.0);
    margin_sigmas_ -= margin_step_down_per_second * elapsed;
    margin_sigmas_ = std::clamp(margin_sigmas_, rules_->margin_sigmas, rules_->max_margin_sigmas);
}

void pool_scheduler::find_slow_engines() {
    std::vector<double> steps;
    for (const auto& [id, engine] : engines_) {
        if (engine.usable && engine.report().step_ms > 0.0) {
            steps.push_back(engine.report().step_ms);
        }
    }
    if (steps.size() < 3) {
        return;
    }
    std::nth_element(steps.begin(), steps.begin() + static_cast<std::ptrdiff_t>(steps.size() / 2),
                     steps.end());
    const double limit = steps[steps.size() / 2] * slow_factor;
    for (auto& [id, engine] : engines_) {
        engine.slow = engine.report().step_ms > limit;
    }
}

} // namespace bamboostream
