#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/digest.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Forwarding/forwarded_call.h"

#include <algorithm>

// The event stream of a forwarded request: its events, and the moves of its generation.

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// A stream that may be resumed elsewhere is abandoned after this time without an event. Engines
/// pause for some 200 ms during the prefill of a long prompt.
constexpr milliseconds max_event_gap{1'200};
/// The last step of a move takes some 10 ms after the stream has stopped, and much longer on a
/// shared link; after this time it is considered failed.
constexpr milliseconds move_timeout{1'600};
/// A move notice no older than this is followed even if its target takes no work, unless the target
/// is known to leave: it took work when the last step of the move began.
constexpr milliseconds max_notice_age{400};

} // namespace

/// Skipped if the engine's memory was full: its prompts wait for memory, so the time to the first
/// event does not measure prefill.
void forwarded_call::record_prefill() {
    if (!service_->engine || !work_before_send_ || request_.prompt_tokens <= 0 ||
        work_before_send_->memory_tokens + expected_work().memory_tokens >
            service_->engine->memory_tokens) {
        return;
    }
    const prefill_sample sample{
        static_cast<double>(work_before_send_->unread_tokens + request_.prompt_tokens),
        to_milliseconds(first_event_ - sent_at_)};
    state_.prefill.note(service_->id, backend_hash(work_backend_), sample);
    state_.engine_outcomes.record_prefill(work_backend_, sample);
}

bool forwarded_call::is_movable() const {
    return route_->repeats == repeat_policy::once && service_->engine && service_->engine->moves;
}

void forwarded_call::record_pace(std::uint64_t count, time_point now) {
    if (!attempt_first_event_ || count == 0 || !service_->engine ||
        !state_.server_loads.reports_host_load(service_->id)) {
        return;
    }
    const duration pause = now - latest_event_;
    const duration objective = route_->pause_objective;
    const pace_sample sample{static_cast<double>(count), to_milliseconds(pause),
                             objective > duration{} && pause > objective ? 1.0 : 0.0, objective};
    state_.pace.observe(service_->id, backend_hash(sent_to_.id), sample, now);
    state_.engine_outcomes.record_pace(sent_to_.id, sample);
}

asio::awaitable<bool> forwarded_call::forward_events(std::string_view events, int status) {
    const time_point now = monotonic_now();
    longest_pause_ = stream_started_ ? std::max(longest_pause_, now - latest_event_) : duration{};
    record_pace(splitter_.events() - events_before_, now);
    events_before_ = splitter_.events();
    latest_event_ = now;
    attempt_first_event_ = attempt_first_event_.value_or(now);
    if (!stream_started_) {
        stream_started_ = true;
        first_event_ = now;
        origin_ = observe_origin();
        stream_->origin = *origin_;
        share_origin();
        record_prefill();
        const std::vector<http_field> fields = state_.codec.response_fields(*connection_);
        if (!co_await exchange_.begin_stream(status, {}, fields)) {
            co_return false;
        }
    }
    co_return co_await exchange_.write(events);
}

asio::awaitable<std::optional<attempt_end>> forwarded_call::relay(const destination& to,
                                                                  const response_info& facts) {
    if (!stream_) {
        stream_ = std::make_shared<active_stream>(exchange_.executor(), request_.id);
        stream_->movable = is_movable();
        if (state_.is_contended(service_->id)) {
            stream_->priority = priority_;
        }
        stream_->prompt_tokens = request_.prompt_tokens;
        stream_->expected_output_tokens = request_.expected_output_tokens;
        stream_->max_output_tokens = request_.max_output_tokens;
        state_.streams.add(stream_);
    }
    if (origin_ && *origin_ != observe_origin()) {
        record_not_continued(continuation_refusal::version_differs, &sent_to_);
        connection_->close();
        co_return fail(to, attempt_end::lost, "software version differs");
    }
    stream_->backend = to.backend.id;
    stream_->moved.reset();
    stream_->stop_expected_until.reset();
    stop_outcome_awaited_ = false;
    splitter_.restart();
    const bool is_resumable = route_->repeats == repeat_policy::resumable;
    const int tokens_per_event = service_->engine ? service_->engine->tokens_per_event : 1;
    std::string bytes;
    std::string events;
    event_order order = event_order::in_order;
    event_stream_limits limits(connection_->limits(), connection_->guard());
    while (order == event_order::in_order && co_await connection_->read(bytes)) {
        splitter_.append(bytes);
        bytes.clear();
        events.clear();
        order = splitter_.take(events);
        const response_limit limit = limits.check(splitter_.latest_step(), monotonic_now());
        if (limit != response_limit::none) {
            connection_->exceed(limit);
            break;
        }
        if (events.empty()) {
            continue;
        }
        if (!co_await forward_events(events, facts.status)) {
            caller_left_ = true;
            connection_->close();
            co_return fail(to, attempt_end::lost, "caller disconnected");
        }
        stream_->cancel_refuted_move(monotonic_now());
        stream_->output_tokens = static_cast<std::int64_t>(splitter_.events()) * tokens_per_event;
        const std::int64_t output = stream_->output_tokens + estimate_remaining_tokens(*stream_);
        update_work({1, request_.prompt_tokens + output, 0});
        if (is_resumable) {
            connection_->expire_at(std::min(deadline_, monotonic_now() + max_event_gap));
        }
    }
    const bool complete_stream = order == event_order::in_order && connection_->complete() &&
                                 splitter_.at_boundary() &&
                                 connection_->exceeded() == response_limit::none;
    if (complete_stream && connection_->ended_by_close()) {
        co_await await_stop_outcome();
    }
    const bool may_be_stopped = stream_->moved || stream_->stop_expected_until;
    if (!complete_stream || (connection_->ended_by_close() && may_be_stopped)) {
        const bool silent = connection_->timed_out();
        connection_->close();
        co_return fail(to, silent ? attempt_end::silent : attempt_end::lost,
                       failure_reason(order == event_order::broken ? "an event is missing"
                                                                   : "stream incomplete"));
    }
    if (co_await was_cut_off()) {
        connection_->close();
        co_return fail(to, attempt_end::lost, "server crashed at the end of its response");
    }
    const std::vector<http_field> fields = state_.codec.response_fields(*connection_);
    give_back(to);
    if (!stream_started_) {
        co_await exchange_.begin_stream(facts.status, {}, fields);
    }
    co_await exchange_.end_stream();
    record_server_survived(facts.status);
    record_outcome(to.backend.id, true);
    state_.counters.count(forward_result::answered);
    log_event(
        events::request_ended,
        "request={} route={} backend={} events={} sends={} first_ms={:.0f} objective_ms={:.0f} "
        "longest_pause_ms={:.0f} pause_objective_ms={:.0f} after_ms={:.0f}",
        request_.id, route_->name, to.backend.id.text(), splitter_.events(), history_.sends(),
        to_milliseconds(first_event_ - arrival_), to_milliseconds(route_->objective),
        to_milliseconds(longest_pause_), to_milliseconds(route_->pause_objective),
        to_milliseconds(monotonic_now() - arrival_));
    co_return std::nullopt;
}

/// A stream without framing that its engine has stopped ends like one that is whole. Only the
/// outcome of the move tells them apart.
asio::awaitable<void> forwarded_call::await_stop_outcome() {
    const time_point now = monotonic_now();
    if (stream_->moved || !stream_->stop_expected_until) {
        co_return;
    }
    if (now >= *stream_->stop_expected_until) {
        stream_->stop_expected_until.reset();
        co_return;
    }
    // Instances of the previous version announce no limit.
    stop_outcome_awaited_ = true;
    co_await wait_on(stream_->move_signal,
                     std::min(*stream_->stop_expected_until, now + move_timeout));
    log_event(events::stream_end_ambiguous,
              "request={} backend={} events={} outcome={} after_ms={:.0f}", request_.id,
              stream_->backend.text(), splitter_.events(),
              stream_->moved                 ? "moved"
              : stream_->stop_expected_until ? "unknown"
                                             : "not_stopped",
              to_milliseconds(monotonic_now() - now));
}

asio::awaitable<bool> forwarded_call::await_move() {
    if (!stream_ || !stream_->movable) {
        co_return false;
    }
    const registered_backend* source = state_.registry.find(stream_->backend);
    const bool source_leaving = source == nullptr || source->leaving;
    const time_point now = monotonic_now();
    const bool stop_expected = stream_->stop_expected_until && now < *stream_->stop_expected_until;
    if (!stream_->moved && !stop_outcome_awaited_ && (stop_expected || source_leaving)) {
        co_await wait_on(stream_->move_signal, std::min(deadline_, now + move_timeout));
    }
    co_return stream_->moved.has_value();
}

bool forwarded_call::may_send_to(const destination& to, time_point now) const {
    return to.copy ? may_continue_at(to.backend.id, now)
                   : state_.registry.takes_work(to.backend.id);
}

/// The notice of a move tells nothing of how long its target has been leaving: its sender may have
/// stood still, and a stream whose source was unreachable may continue there for seconds.
bool forwarded_call::may_continue_at(const backend_id& server, time_point now) const {
    if (state_.registry.takes_work(server)) {
        return true;
    }
    const departure* left = state_.registry.find_departure(server);
    return left != nullptr ? left->accepts_copies(now)
                           : now - stream_->notified_at <= max_notice_age;
}

/// Continues the generation at its target each time it is moved. If a target does not accept the
/// copy, the generation stays at the source that suspended it, which still holds its memory.
asio::awaitable<std::optional<attempt_end>> forwarded_call::follow_moves(attempt_end end) {
    while (!caller_left_ && co_await await_move()) {
        const move_notice notice = *stream_->moved;
        stream_->moved.reset();
        if (!may_continue_at(notice.target, monotonic_now())) {
            log_event(events::move_failed,
                      "request={} source={} target={} reason=target shutting down", request_.id,
                      notice.copy.holder, notice.target.text());
            co_return end;
        }
        const registered_backend* known = state_.registry.find(notice.target);
        registered_backend target;
        target.id = notice.target;
        target.address = notice.target_address;
        target.service = service_->id;
        target.version = notice.target_version;
        const destination to{known ? *known : target, notice.copy, std::nullopt};
        if (!fits_origin(to.backend)) {
            record_not_continued(continuation_refusal::version_differs, &to.backend);
            co_return end;
        }
        state_.budget.spend(service_->id, monotonic_now());
        const auto next = co_await attempt(to);
        if (!next) {
            ++state_.counters.moved;
            co_return std::nullopt;
        }
        end = *next;
    }
    co_return end;
}

} // namespace bamboostream
