#include "bamboostream/src/Forwarding/forwarded_call.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/digest.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Forwarding/request_identity.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// An announced configuration arrives from another instance sooner than this, unless the transfer
/// is large or a network link is down. Callers of short calls wait a few times as long in total.
constexpr milliseconds max_configuration_wait{200};
constexpr milliseconds configuration_poll_interval{10};

std::string error_body(std::string_view code) {
    return boost::json::serialize(boost::json::object{{"error", {{"code", code}}}});
}

http_field retry_after_field(duration after) {
    return {"Retry-After", fmt::format("{:.2f}", to_milliseconds(after) / 1000.0)};
}

} // namespace

forwarded_call::forwarded_call(forwarding_state& state, http_exchange& exchange, time_point arrival)
    : state_(state), exchange_(exchange), arrival_(arrival), deadline_(arrival),
      routes_(state.routes) {
    ++state_.counters.open;
    state_.open_calls.insert(this);
}

forwarded_call::~forwarded_call() {
    state_.quarantine.remove(*this);
    end_trial();
    unregister_work();
    record_latency();
    if (stream_) {
        state_.streams.remove(stream_->id);
    }
    if (shared_stream_ && state_.origin_registry != nullptr) {
        state_.origin_registry->close(*shared_stream_);
    }
    if (connection_) {
        connection_->close();
    }
    --state_.counters.open;
    state_.open_calls.erase(this);
}

void forwarded_call::record_latency() const {
    if (route_ == nullptr) {
        return;
    }
    latency_metrics& times = state_.latency;
    times.record(latency_stage::total, route_->repeats, monotonic_now() - arrival_);
    if (stream_started_) {
        times.record(latency_stage::first_event, route_->repeats, first_event_ - arrival_);
        times.record(latency_stage::longest_pause, route_->repeats, longest_pause_);
    }
}

std::optional<forwarded_call::rejection> forwarded_call::prepare() {
    std::string why;
    auto request = state_.codec.parse_request(exchange_.request(), why);
    if (!request) {
        log_event(events::bad_request, "reason={}", why);
        return rejection{400, "malformed_request", std::nullopt};
    }
    request_ = std::move(*request);
    request_.expected_output_tokens = estimate_output_tokens(request_);
    if (!routes_) {
        return rejection{503, "not_ready", refusal_cause::state_unknown};
    }
    route_ = routes_->find_route(request_.host, exchange_.request().path);
    if (route_ == nullptr) {
        return rejection{404, "no_route", std::nullopt, true};
    }
    if (auto refused = find_workspace()) {
        return refused;
    }
    const service_id* service = pick_weighted_service(*route_, state_.random);
    service_ = service ? routes_->find_service(*service) : nullptr;
    if (service_ == nullptr) {
        return rejection{503, "no_service", refusal_cause::state_unknown};
    }
    const milliseconds caller_timeout = request_.caller_timeout.value_or(route_->timeout);
    deadline_ = arrival_ + std::min(caller_timeout, route_->timeout);
    // A request that may outlast this process would be cut off after a backend server has worked on
    // it. A stream accepted on a persistent connection 5.7 s after the shutdown signal was closed
    // without a response.
    if (state_.outlasts_process(deadline_)) {
        return rejection{503, "leaving", refusal_cause::leaving};
    }
    if (route_->repeats == repeat_policy::resumable) {
        splitter_ = event_splitter(request_.resume_after);
        return check_resumption();
    }
    return std::nullopt;
}

/// Callers don't retry after 404 or 401. An instance that knows of a newer configuration but still
/// uses the old one would permanently reject what the operator has allowed. It therefore waits for
/// the newer configuration, and on a timeout responds with a retryable "not run".
asio::awaitable<std::optional<forwarded_call::rejection>>
forwarded_call::prepare_with_newest_configuration() {
    std::optional<rejection> refused = prepare();
    const time_point limit = arrival_ + max_configuration_wait;
    while (refused && refused->depends_on_configuration &&
           state_.announced_configuration > routes_->configuration().version) {
        if (monotonic_now() >= limit) {
            co_return rejection{503, "configuration_late", refusal_cause::overloaded};
        }
        co_await pause_for(configuration_poll_interval);
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

duration forwarded_call::retry_after_delay(refusal_cause cause) {
    refused_request about{cause, route_ ? route_->objective : duration{}, request_.caller_timeout,
                          overload_duration_};
    if (cause == refusal_cause::rate_limited) {
        about.permit_wait = min_permit_wait();
    }
    if (cause == refusal_cause::memory_reserved) {
        about.hold = state_.reserve.time_left(service_->id, monotonic_now());
    }
    const bool is_held =
        cause == refusal_cause::quarantined || cause == refusal_cause::awaiting_trial;
    const suspect_state* held =
        is_held ? state_.quarantine.decisions().find_suspect(subject()) : nullptr;
    if (held != nullptr) {
        const time_point now = monotonic_now();
        const duration left = state_.quarantine.held_for(held->suspect, now);
        about.quarantine = cause == refusal_cause::quarantined
                               ? left
                               : std::clamp(held->trial_due - now, duration{}, left);
    }
    return choose_retry_delay(about, state_.random);
}

duration forwarded_call::min_permit_wait() const {
    const time_point now = monotonic_now();
    std::optional<duration> out;
    for (const registered_backend* server : state_.registry.usable(service_->id)) {
        const duration wait = expected_permit_wait(state_, *server, priority_, now);
        out = std::min(out.value_or(wait), wait);
    }
    return out.value_or(duration{});
}

refusal_cause forwarded_call::quarantine_cause() {
    return state_.quarantine.verdict(subject()) == quarantine_verdict::confirmed
               ? refusal_cause::quarantined
               : refusal_cause::awaiting_trial;
}

/// While the store is unavailable, servers that can't be reached are those that have ended since,
/// so the cause is missing information and not overload.
refusal_cause forwarded_call::not_run_cause() {
    if (rate_limited_) {
        return refusal_cause::rate_limited;
    }
    if (memory_reserved_) {
        return refusal_cause::memory_reserved;
    }
    if (state_.quarantine.any() &&
        state_.quarantine.verdict(subject()) >= quarantine_verdict::suspected) {
        return quarantine_cause();
    }
    const auto servers = state_.registry.usable(service_->id);
    if (origin_ && std::none_of(servers.begin(), servers.end(),
                                [this](const auto* server) { return fits_origin(*server); })) {
        return refusal_cause::version_unavailable;
    }
    const bool known = !state_.registry.store_away() && !servers.empty();
    return admission_refused_ || known ? refusal_cause::overloaded : refusal_cause::state_unknown;
}

asio::awaitable<void> forwarded_call::respond_not_run(not_run_promise /*unused*/,
                                                      std::string_view code, refusal_cause cause) {
    const http_field retry_after = retry_after_field(retry_after_delay(cause));
    co_await exchange_.respond_json(503, error_body(code), {&retry_after, 1});
}

asio::awaitable<void> forwarded_call::respond_unknown() {
    co_await exchange_.respond_json(502, error_body("outcome_unknown"));
}

asio::awaitable<void> forwarded_call::reject(rejection why) {
    state_.counters.count(forward_result::rejected);
    log_event(events::request_refused, "request={} reason={} status={} configuration_version={}{}",
              request_.id, why.code, why.status, routes_ ? routes_->configuration().version : 0,
              why.not_run == refusal_cause::quarantined ||
                      why.not_run == refusal_cause::awaiting_trial
                  ? fmt::format(" digest={} held_for_parts={}", suspect_digest().text(),
                                labels_of_held_parts())
                  : "");
    if (!why.not_run) {
        co_await exchange_.respond_json(why.status, error_body(why.code));
    } else if (const auto promise = history_.promise_not_run()) {
        co_await respond_not_run(*promise, why.code, *why.not_run);
    } else {
        co_await respond_unknown();
    }
}

asio::awaitable<void> forwarded_call::run() {
    if (state_.leaving) {
        exchange_.close_after_response();
    }
    if (const auto refused = co_await prepare_with_newest_configuration()) {
        co_await reject(*refused);
        co_return;
    }
    exchange_.watch_caller([this] {
        caller_left_ = true;
        if (connection_) {
            connection_->close();
        }
        if (stream_) {
            stream_->move_signal.cancel();
        }
    });
    if (!co_await pass_quarantine()) {
        if (caller_left_) {
            record_caller_left();
            co_return;
        }
        co_await reject(rejection{503, "ends_servers", quarantine_cause()});
        co_return;
    }
    if (takes_stream_up()) {
        const auto refused = co_await find_origin();
        if (caller_left_) {
            record_caller_left();
            co_return;
        }
        if (refused) {
            co_await reject(*refused);
            co_return;
        }
    }
    state_.quarantine.add(*this);
    state_.budget.on_request(service_->id, arrival_);
    while (true) {
        // The shutdown may have begun since the request was accepted.
        if (state_.outlasts_process(deadline_) && history_.promise_not_run()) {
            co_await reject(rejection{503, "leaving", refusal_cause::leaving});
            co_return;
        }
        const auto to = co_await choose();
        std::optional<attempt_end> end = attempt_end::not_sent;
        if (to && !caller_left_ && !withdrawn_) {
            end = co_await attempt(*to);
        }
        if (end && !caller_left_ && !withdrawn_) {
            end = co_await follow_moves(*end);
        }
        if (end == attempt_end::lost && !caller_left_ && !withdrawn_) {
            co_await examine_lost_connection();
        }
        if (caller_left_) {
            record_caller_left();
            co_return;
        }
        if (!end) {
            co_return;
        }
        if (!to || !try_acquire_retry() || !co_await pass_quarantine()) {
            co_await respond_failure(*end);
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

std::uint64_t forwarded_call::caller_hash() const {
    return stable_hash(workspace_ ? workspace_->text() : "");
}

std::vector<request_digest> forwarded_call::shared_part_digests() const {
    std::vector<request_digest> out;
    for (const prompt_part& part : request_.shared_parts) {
        out.push_back(part.digest);
    }
    return out;
}

const quarantine_subject& forwarded_call::subject() {
    if (!subject_) {
        subject_.emplace(digest(), caller_hash(), shared_part_digests());
    }
    return *subject_;
}

const request_digest& forwarded_call::suspect_digest() {
    const suspect_state* state = state_.quarantine.decisions().find_suspect(subject());
    return state != nullptr ? state->suspect : digest();
}

std::string forwarded_call::labels_of_held_parts() {
    const suspect_state* state = state_.quarantine.decisions().find_suspect(subject());
    const held_parts* held =
        state ? state_.quarantine.decisions().find_held_parts(state->suspect) : nullptr;
    std::vector<prompt_part> out;
    for (const prompt_part& part : request_.shared_parts) {
        if (held != nullptr &&
            std::binary_search(held->parts.begin(), held->parts.end(), part.digest)) {
            out.push_back(part);
        }
    }
    return labels_of(out);
}

duration forwarded_call::streamed_for() const {
    return attempt_first_event_ ? latest_event_ - *attempt_first_event_ : duration{};
}

bool forwarded_call::has_streamed(const held_parts& parts, duration limit) const {
    const bool running = connection_ != nullptr && connection_->is_open();
    return running && streamed_for() > limit &&
           parts.applies_to(caller_hash(), shared_part_digests());
}

asio::awaitable<bool> forwarded_call::pass_quarantine() {
    state_.quarantine.settle(monotonic_now());
    const quarantine_verdict verdict =
        state_.quarantine.any() ? state_.quarantine.verdict(subject()) : quarantine_verdict::free;
    const bool trial_continues = on_trial_ && verdict != quarantine_verdict::confirmed;
    if (verdict == quarantine_verdict::free || trial_continues) {
        co_return true;
    }
    const trial_result result = co_await await_trial(
        state_.quarantine, state_.trials, subject(), deadline_,
        [this] { return caller_left_ || withdrawn_ || ended_by_shutdown_; }, trial_of_);
    on_trial_ = on_trial_ || result == trial_result::on_trial;
    co_return result != trial_result::refused;
}

void forwarded_call::end_trial() {
    if (on_trial_ && state_.trials != nullptr) {
        state_.trials->release(trial_of_);
    }
    on_trial_ = false;
}

void forwarded_call::record_caller_left() {
    state_.counters.count(forward_result::caller_left);
    log_event(events::caller_left, "request={} route={} sends={}", request_.id, route_->name,
              history_.sends());
}

void forwarded_call::withdraw(const request_digest& request) {
    const suspect_state* held = state_.quarantine.decisions().find_suspect(subject());
    if (stream_started_ || body_started_ || caller_left_ || held == nullptr ||
        held->suspect != request) {
        return;
    }
    withdrawn_ = true;
    if (connection_) {
        connection_->close();
    }
}

void forwarded_call::end_before_shutdown(time_point now) {
    if (stream_started_ || body_started_ || caller_left_) {
        return;
    }
    ended_by_shutdown_ = true;
    deadline_ = std::min(deadline_, now);
    if (connection_) {
        connection_->expire_at(now);
    }
    if (stream_) {
        stream_->move_signal.cancel();
    }
}

void forwarded_call::record_server_survived(int status) {
    if (!survival_shown_) {
        return;
    }
    const http_request& request = exchange_.request();
    if (state_.quarantine.wants_answer(request.target.size() + request.body.size())) {
        state_.quarantine.note_answer(digest(), monotonic_now());
    }
    if (status < 300 && !request_.shared_parts.empty()) {
        state_.quarantine.note_part_answers(shared_part_digests(), monotonic_now());
    }
}

bool forwarded_call::try_acquire_retry() {
    const time_point now = monotonic_now();
    const bool confirmed_harmful =
        state_.quarantine.any() &&
        state_.quarantine.verdict(subject()) == quarantine_verdict::confirmed;
    if (withdrawn_ || confirmed_harmful || body_started_) {
        return false;
    }
    if (now >= deadline_ || !may_retry(route_->repeats, route_->max_attempts, history_)) {
        return false;
    }
    return history_.sends() == 0 ||
           state_.budget.try_spend(service_->id, state_.live_instances, now);
}

asio::awaitable<void> forwarded_call::respond_failure(attempt_end end) {
    const final_response response = choose_final_response(history_, end);
    forward_result result = forward_result::broken_off;
    if (stream_started_ || body_started_) {
        exchange_.abort();
    } else if (response == final_response::backend_failure && failure_) {
        result = forward_result::backend_failed;
        co_await exchange_.respond(failure_->status, {}, std::move(failure_->body),
                                   failure_->fields);
    } else if (const auto promise = history_.promise_not_run()) {
        result = forward_result::not_run;
        co_await respond_not_run(*promise, "not_run", not_run_cause());
    } else if (response == final_response::timed_out) {
        result = forward_result::timed_out;
        co_await exchange_.respond_json(504, error_body("timed_out"));
    } else {
        result = forward_result::unknown;
        co_await respond_unknown();
    }
    state_.counters.count(result);
    log_event(events::request_failed,
              "request={} route={} service={} result={} last={} sends={} failed_connects={} "
              "events={} store_away={} after_ms={:.0f}",
              request_.id, route_->name, service_->id.text(), to_string(result), to_string(end),
              history_.sends(), history_.failed_connects(), splitter_.events(),
              state_.registry.store_away(), to_milliseconds(monotonic_now() - arrival_));
}

} // namespace bamboostream
