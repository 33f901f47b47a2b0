#include "bamboostream/src/Forwarding/forwarded_call.h"

#include "bamboostream/src/Core/event_log.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Times to come back lie between these, spread so that a crowd doesn't return at once. Callers
/// wait at most a third of the time they have left, so the time follows the route's objective.
constexpr double least_return_s = 0.1;
constexpr double most_return_s = 1.0;
/// A refused request comes back after this part of its objective, doubled at most by the spread.
constexpr double return_part = 0.5;
/// Engines read some prompt and put out some tokens for requests that say nothing of their size.
constexpr std::int64_t assumed_memory_tokens = 1'000;

/// What an instance takes while it shuts down, and what may last beyond its end, is cut there after
/// a backend server has worked on it: a stream that was taken 5.7 s after the signal on a kept
/// connection was closed without an answer. It is sent elsewhere at once; callers use another
/// address after a refusal.
constexpr double elsewhere_at_once_s = 0.05;

double come_back_after(const route_rule* route, std::mt19937_64& random) {
    const double objective_s = route ? to_milliseconds(route->objective) / 1000.0 : most_return_s;
    const double base = std::clamp(return_part * objective_s, least_return_s, most_return_s);
    return base * std::uniform_real_distribution<double>(1.0, 2.0)(random);
}

std::string error_body(std::string_view code) {
    return boost::json::serialize(boost::json::object{{"error", {{"code", code}}}});
}

http_field come_back_field(double after_s) {
    return {"Retry-After", fmt::format("{:.2f}", after_s)};
}

} // namespace

forwarded_call::forwarded_call(forwarding_state& state, http_exchange& exchange, time_point arrival)
    : state_(state), exchange_(exchange), arrival_(arrival), deadline_(arrival),
      routes_(state.routes) {
    ++state_.counters.open;
}

forwarded_call::~forwarded_call() {
    leave_work();
    if (stream_) {
        state_.streams.remove(stream_->id);
    }
    if (channel_) {
        channel_->close();
    }
    --state_.counters.open;
}

std::optional<forwarded_call::rejection> forwarded_call::prepare() {
    std::string why;
    auto request = state_.codec.read_request(exchange_.request(), why);
    if (!request) {
        log_event(events::bad_request, "reason={}", why);
        return rejection{400, "malformed_request", false, {}};
    }
    request_ = std::move(*request);
    if (!routes_) {
        return rejection{503, "not_ready", true, {}};
    }
    route_ = routes_->find_route(request_.host, exchange_.request().path);
    if (route_ == nullptr) {
        return rejection{404, "no_route", false, {}};
    }
    if (auto refused = find_workspace()) {
        return refused;
    }
    const service_id* service = draw_service(*route_, state_.random);
    service_ = service ? routes_->find_service(*service) : nullptr;
    if (service_ == nullptr) {
        return rejection{503, "no_service", true, {}};
    }
    const milliseconds patience = request_.patience.value_or(route_->timeout);
    deadline_ = arrival_ + std::min(patience, route_->timeout);
    if (state_.leaving && deadline_ > state_.ends_at) {
        return rejection{503, "leaving", true, elsewhere_at_once_s};
    }
    if (route_->repeats == repeat_rule::resumable) {
        splitter_ = event_splitter(request_.resume_after);
    }
    return std::nullopt;
}

std::optional<forwarded_call::rejection> forwarded_call::find_workspace() {
    priority_ = route_->priority;
    if (!routes_->needs_keys() || route_->anonymous) {
        return std::nullopt;
    }
    const workspace_rule* workspace = routes_->find_workspace(request_.key);
    if (workspace == nullptr) {
        return rejection{401, "unknown_key", false, {}};
    }
    workspace_ = workspace->id;
    return std::nullopt;
}

asio::awaitable<void> forwarded_call::reject(rejection why) {
    std::vector<http_field> fields;
    if (why.not_run) {
        fields.push_back(
            come_back_field(why.come_back_s.value_or(come_back_after(route_, state_.random))));
    }
    state_.counters.count(forward_result::rejected);
    log_event(events::request_refused, "request={} reason={} status={} configuration_version={}",
              request_.id, why.code, why.status, routes_ ? routes_->configuration().version : 0);
    co_await exchange_.respond_json(why.status, error_body(why.code), fields);
}

backend_work forwarded_call::expected_work() const {
    if (!service_->engine) {
        return {1, 0, 0};
    }
    const std::int64_t tokens = request_.prompt_tokens + request_.expected_output_tokens;
    return {1, tokens > 0 ? tokens : assumed_memory_tokens, request_.prompt_tokens};
}

void forwarded_call::enter_work(const backend_id& id) {
    leave_work();
    entered_at_ = id;
    update_work(expected_work());
}

void forwarded_call::update_work(const backend_work& work) {
    const bool matters = work.unread_tokens != entered_.unread_tokens;
    state_.loads.subtract(entered_at_, entered_);
    entered_ = work;
    state_.loads.add(entered_at_, entered_);
    if (matters && state_.on_generation_change) {
        state_.on_generation_change();
    }
}

void forwarded_call::leave_work() {
    if (entered_at_.empty()) {
        return;
    }
    const bool matters = entered_.memory_tokens > 0;
    state_.loads.subtract(entered_at_, entered_);
    entered_ = {};
    entered_at_ = {};
    if (matters && state_.on_generation_change) {
        state_.on_generation_change();
    }
}

std::optional<forwarded_call::destination> forwarded_call::choose() {
    const auto servers = state_.registry.usable(service_->id);
    placement_request wanted;
    wanted.avoid = avoid_;
    wanted.near = state_.here;
    wanted.server_memory_tokens = service_->engine ? service_->engine->memory_tokens : 0;
    const registered_backend* chosen =
        state_.picker.pick(servers, state_.loads, wanted, monotonic_now());
    if (chosen == nullptr || !admitted(*chosen)) {
        return std::nullopt;
    }
    return destination{*chosen, std::nullopt};
}

bool forwarded_call::admitted(const registered_backend& backend) const {
    if (!service_->engine || begun_) {
        return true;
    }
    const backend_work work = state_.loads.total(backend.id, monotonic_now());
    const admission_verdict verdict = judge_admission(
        state_.admission, work, service_->engine->memory_tokens, priority_, route_->objective);
    if (verdict == admission_verdict::admit) {
        return true;
    }
    log_event(events::request_refused,
              "request={} reason={} route={} backend={} memory_tokens={} unread_tokens={} of={}",
              request_.id,
              verdict == admission_verdict::memory_full ? "memory_full" : "prompts_queued",
              route_->name, backend.id.text(), work.memory_tokens, work.unread_tokens,
              service_->engine->memory_tokens);
    return false;
}

asio::awaitable<void> forwarded_call::run() {
    if (state_.leaving) {
        exchange_.close_after();
    }
    if (const auto refused = prepare()) {
        co_await reject(*refused);
        co_return;
    }
    exchange_.watch_caller([this] {
        left_ = true;
        if (channel_) {
            channel_->close();
        }
        if (stream_) {
            stream_->noticed.cancel();
        }
    });
    state_.budget.on_request(service_->id, arrival_);
    while (true) {
        const auto to = choose();
        std::optional<attempt_end> end = attempt_end::not_sent;
        if (to) {
            end = co_await attempt(*to);
        }
        if (end && !left_) {
            end = co_await follow_moves(*end);
        }
        if (left_) {
            state_.counters.count(forward_result::caller_left);
            log_event(events::caller_left, "request={} route={} sends={}", request_.id,
                      route_->name, history_.sends);
            co_return;
        }
        if (!end) {
            co_return;
        }
        if (!to || !try_again(*end)) {
            co_await finish(*end);
            co_return;
        }
        avoid_.push_back(to->backend.id);
    }
}

bool forwarded_call::try_again(attempt_end end) {
    const time_point now = monotonic_now();
    if (now >= deadline_ || !may_try_again(route_->repeats, route_->most_attempts, history_, end)) {
        return false;
    }
    return history_.sends == 0 || state_.budget.try_spend(service_->id, state_.live_instances, now);
}

asio::awaitable<void> forwarded_call::finish(attempt_end end) {
    const final_answer answer = choose_final_answer(history_, end);
    forward_result result = forward_result::broken_off;
    if (begun_) {
        exchange_.abort();
    } else if (answer == final_answer::backend_failure && failure_) {
        result = forward_result::backend_failed;
        co_await exchange_.respond(failure_->status, {}, std::move(failure_->body),
                                   failure_->fields);
    } else if (answer == final_answer::not_run) {
        result = forward_result::not_run;
        const http_field come_back = come_back_field(come_back_after(route_, state_.random));
        co_await exchange_.respond_json(503, error_body("not_run"), {&come_back, 1});
    } else if (answer == final_answer::timed_out) {
        result = forward_result::timed_out;
        co_await exchange_.respond_json(504, error_body("timed_out"));
    } else {
        result = forward_result::unknown;
        co_await exchange_.respond_json(502, error_body("outcome_unknown"));
    }
    state_.counters.count(result);
    log_event(events::request_failed,
              "request={} route={} service={} result={} last={} sends={} failed_connects={} "
              "after_ms={:.0f}",
              request_.id, route_->name, service_->id.text(), to_string(result), to_string(end),
              history_.sends, history_.failed_connects,
              to_milliseconds(monotonic_now() - arrival_));
}

} // namespace bamboostream
