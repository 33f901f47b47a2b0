#include "bamboostream/src/Forwarding/forwarded_call.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Forwarding/request_identity.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Engines read some prompt and put out some tokens for requests that say nothing of their size.
constexpr std::int64_t assumed_memory_tokens = 1'000;
/// A configuration that was told of comes from another instance in less, unless its transfer is
/// long or somebody is cut off; callers of short calls wait a few times as long in all.
constexpr milliseconds longest_wait_for_configuration{200};
constexpr milliseconds look_for_configuration{10};

std::string error_body(std::string_view code) {
    return boost::json::serialize(boost::json::object{{"error", {{"code", code}}}});
}

http_field come_back_field(duration after) {
    return {"Retry-After", fmt::format("{:.2f}", to_milliseconds(after) / 1000.0)};
}

} // namespace

forwarded_call::forwarded_call(forwarding_state& state, http_exchange& exchange, time_point arrival)
    : state_(state), exchange_(exchange), arrival_(arrival), deadline_(arrival),
      routes_(state.routes) {
    ++state_.counters.open;
}

forwarded_call::~forwarded_call() {
    state_.quarantine.remove(*this);
    leave_work();
    record_latency();
    if (stream_) {
        state_.streams.remove(stream_->id);
    }
    if (channel_) {
        channel_->close();
    }
    --state_.counters.open;
}

void forwarded_call::record_latency() const {
    if (route_ == nullptr) {
        return;
    }
    latency_metrics& times = state_.latency;
    times.record(latency_stage::whole, route_->repeats, monotonic_now() - arrival_);
    if (begun_) {
        times.record(latency_stage::first_event, route_->repeats, first_event_ - arrival_);
        times.record(latency_stage::longest_pause, route_->repeats, longest_pause_);
    }
}

std::optional<forwarded_call::rejection> forwarded_call::prepare() {
    std::string why;
    auto request = state_.codec.read_request(exchange_.request(), why);
    if (!request) {
        log_event(events::bad_request, "reason={}", why);
        return rejection{400, "malformed_request", std::nullopt};
    }
    request_ = std::move(*request);
    request_.expected_output_tokens = likely_output_tokens(request_);
    if (!routes_) {
        return rejection{503, "not_ready", refusal_cause::nothing_known};
    }
    route_ = routes_->find_route(request_.host, exchange_.request().path);
    if (route_ == nullptr) {
        return rejection{404, "no_route", std::nullopt, true};
    }
    if (auto refused = find_workspace()) {
        return refused;
    }
    const service_id* service = draw_service(*route_, state_.random);
    service_ = service ? routes_->find_service(*service) : nullptr;
    if (service_ == nullptr) {
        return rejection{503, "no_service", refusal_cause::nothing_known};
    }
    const milliseconds patience = request_.patience.value_or(route_->timeout);
    deadline_ = arrival_ + std::min(patience, route_->timeout);
    // What may last beyond the end of this process would be cut there, after a backend server has
    // worked on it: a stream that was taken 5.7 s after the signal on a kept connection was closed
    // without an answer.
    if (state_.leaving && deadline_ > state_.ends_at) {
        return rejection{503, "leaving", refusal_cause::leaving};
    }
    if (route_->repeats == repeat_policy::resumable) {
        splitter_ = event_splitter(request_.resume_after);
    }
    return std::nullopt;
}

/// Callers don't come back after 404 or 401. An instance that has been told of a newer
/// configuration and goes by the old one would deny them for good what the operator has allowed: it
/// waits for the newer one, and then says "not run".
asio::awaitable<std::optional<forwarded_call::rejection>> forwarded_call::prepare_by_newest() {
    std::optional<rejection> refused = prepare();
    const time_point limit = arrival_ + longest_wait_for_configuration;
    while (refused && refused->by_table &&
           state_.told_configuration > routes_->configuration().version) {
        if (monotonic_now() >= limit) {
            co_return rejection{503, "configuration_late", refusal_cause::crowded};
        }
        co_await pause_for(look_for_configuration);
        if (state_.routes != routes_) {
            routes_ = state_.routes;
            refused = prepare();
        }
    }
    co_return refused;
}

std::optional<forwarded_call::rejection> forwarded_call::find_workspace() {
    priority_ = route_->priority;
    if (!routes_->needs_keys() || route_->anonymous) {
        return std::nullopt;
    }
    const workspace_rule* workspace = routes_->find_workspace(request_.key);
    if (workspace == nullptr) {
        return rejection{401, "unknown_key", std::nullopt, true};
    }
    workspace_ = workspace->id;
    priority_ = workspace->priority.value_or(route_->priority);
    return std::nullopt;
}

duration forwarded_call::return_time(refusal_cause cause) const {
    refused_request about{cause, route_ ? route_->objective : duration{}, request_.patience,
                          overload_};
    if (cause == refusal_cause::quarantined) {
        about.quarantine = state_.quarantine.held_for(*digest_, monotonic_now());
    }
    return come_back_after(about, state_.random);
}

/// While the store is away, servers that can't be reached are those that have gone since.
refusal_cause forwarded_call::cause_of_not_run() const {
    if (digest_ && state_.quarantine.holds(*digest_)) {
        return refusal_cause::quarantined;
    }
    const bool known =
        !state_.registry.store_away() && !state_.registry.usable(service_->id).empty();
    return turned_away_ || known ? refusal_cause::crowded : refusal_cause::nothing_known;
}

asio::awaitable<void> forwarded_call::reject(rejection why) {
    std::vector<http_field> fields;
    if (why.not_run) {
        fields.push_back(come_back_field(return_time(*why.not_run)));
    }
    state_.counters.count(forward_result::rejected);
    log_event(events::request_refused, "request={} reason={} status={} configuration_version={}{}",
              request_.id, why.code, why.status, routes_ ? routes_->configuration().version : 0,
              why.not_run == refusal_cause::quarantined ? " digest=" + digest().text() : "");
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

asio::awaitable<std::optional<forwarded_call::destination>> forwarded_call::choose() {
    if (service_->engine && !begun_) {
        co_return co_await choose_for_generation();
    }
    placement_request wanted;
    wanted.avoid = avoid_;
    wanted.near = state_.here;
    wanted.server_memory_tokens = service_->engine ? service_->engine->memory_tokens : 0;
    const time_point now = monotonic_now();
    const sender_role role = service_->engine ? own_role(state_, service_->id) : sender_role::peer;
    const auto servers = servers_with_room(state_, service_->id, role, now);
    const registered_backend* chosen = state_.picker.pick(servers, state_.loads, wanted, now);
    if (chosen != nullptr) {
        note_send(state_, *chosen, now);
    }
    co_return chosen ? std::optional(destination{*chosen, {}, {}}) : std::nullopt;
}

asio::awaitable<std::optional<forwarded_call::destination>>
forwarded_call::choose_for_generation() {
    engine_request wanted;
    wanted.service = service_->id;
    wanted.work = expected_work();
    wanted.engine_memory_tokens = service_->engine->memory_tokens;
    wanted.priority = priority_;
    wanted.objective = route_->objective;
    wanted.avoid = avoid_;
    wanted.near = state_.here;
    std::optional<engine_choice> choice;
    if (state_.scheduler != nullptr) {
        choice = co_await state_.scheduler->choose(wanted);
    }
    if (!choice) {
        choice = choose_engine(state_, wanted, own_role(state_, service_->id), monotonic_now());
    }
    if (!choice->engine) {
        co_return std::nullopt;
    }
    if (choice->verdict != admission_verdict::admit) {
        turned_away_ = true;
        overload_ = choice->overload;
        log_turned_away(*choice);
        co_return std::nullopt;
    }
    co_return destination{*choice->engine, std::nullopt, choice->work};
}

void forwarded_call::log_turned_away(const engine_choice& choice) const {
    log_event(events::request_refused,
              "request={} reason={} route={} backend={} memory_tokens={} unread_tokens={} of={}",
              request_.id,
              choice.verdict == admission_verdict::memory_full ? "memory_full" : "prompts_queued",
              route_->name, choice.engine->id.text(), choice.work.memory_tokens,
              choice.work.unread_tokens, service_->engine->memory_tokens);
}

asio::awaitable<void> forwarded_call::run() {
    if (state_.leaving) {
        exchange_.close_after();
    }
    if (const auto refused = co_await prepare_by_newest()) {
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
    if (is_held()) {
        co_await reject(rejection{503, "ends_servers", refusal_cause::quarantined});
        co_return;
    }
    state_.quarantine.add(*this);
    state_.budget.on_request(service_->id, arrival_);
    while (true) {
        const auto to = co_await choose();
        std::optional<attempt_end> end = attempt_end::not_sent;
        if (to && !left_ && !withdrawn_) {
            end = co_await attempt(*to);
        }
        if (end && !left_ && !withdrawn_) {
            end = co_await follow_moves(*end);
        }
        if (end == attempt_end::lost && !left_ && !withdrawn_) {
            co_await examine_lost_connection();
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

const request_digest& forwarded_call::digest() {
    if (!digest_) {
        digest_ = digest_of(exchange_.request(), workspace_);
    }
    return *digest_;
}

bool forwarded_call::is_held() {
    return state_.quarantine.any() && state_.quarantine.holds(digest());
}

void forwarded_call::withdraw(const request_digest& request) {
    if (begun_ || left_ || digest() != request) {
        return;
    }
    withdrawn_ = true;
    if (channel_) {
        channel_->close();
    }
}

void forwarded_call::note_server_survived() {
    const http_request& request = exchange_.request();
    if (state_.quarantine.wants_answer(request.target.size() + request.body.size())) {
        state_.quarantine.note_answer(digest(), monotonic_now());
    }
}

bool forwarded_call::try_again(attempt_end end) {
    const time_point now = monotonic_now();
    if (withdrawn_ || is_held()) {
        return false;
    }
    if (now >= deadline_ || !may_try_again(route_->repeats, route_->max_attempts, history_, end)) {
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
        const http_field come_back = come_back_field(return_time(cause_of_not_run()));
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
              "events={} store_away={} after_ms={:.0f}",
              request_.id, route_->name, service_->id.text(), to_string(result), to_string(end),
              history_.sends, history_.failed_connects, splitter_.events(),
              state_.registry.store_away(), to_milliseconds(monotonic_now() - arrival_));
}

} // namespace bamboostream
