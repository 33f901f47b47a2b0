#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/digest.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Forwarding/backend_connection.h"
#include "bamboostream/src/Forwarding/forwarded_call.h"

#include <algorithm>
#include <limits>
#include <utility>

// One attempt of a forwarded request at a backend server: connection, response, relayed stream and
// moves of the generation. Routing, retries and the final response are in forwarded_call.cpp.

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Maximum idle time of a connection that is reused. It is shorter for requests that must not be
/// sent twice: the longer a connection has been idle, the likelier its server is just closing it,
/// and then the request is lost.
constexpr milliseconds max_idle_non_repeatable{1'500};
constexpr seconds max_idle_repeatable{30};
/// An attempt that may be repeated elsewhere is abandoned after this many objectives without a
/// response.
constexpr int objectives_per_attempt = 2;
/// A stream that may be resumed elsewhere is abandoned after this time without an event. Engines
/// pause for some 200 ms during the prefill of a long prompt.
constexpr milliseconds max_event_gap{1'200};
/// The last step of a move takes some 10 ms after the stream has stopped, and much longer on a
/// shared link; after this time it is considered failed.
constexpr milliseconds move_timeout{1'600};
/// A move notice no older than this is followed even if its target is shutting down: the target was
/// usable when the last step began, at most 1.5 s before the notice, so the request arrives within
/// the 2 s in which an engine that shuts down still accepts requests already on their way.
constexpr milliseconds max_notice_age{400};
/// A response of which nothing has arrived for this long isn't one without an end; and one that has
/// not taken as long may be just late.
constexpr seconds receiving_span{1};
/// Bodies that say that a request was not run take some 100 bytes and arrive with their heads, or
/// after a lost packet was sent again.
constexpr std::size_t max_refusal_bytes = 16 * 1024;
constexpr milliseconds max_refusal_time{400};

/// Adds evidence of a crash that was found later, unless the server has announced since that it was
/// leaving.
void add_late_evidence(forwarding_state& state, const crash_evidence& evidence,
                       const registered_backend& server, time_point now) {
    log_event(events::backend_end_found, "digest={} backend={} after_ms={:.0f}",
              evidence.request.text(), server.id.text(), to_milliseconds(now - evidence.at));
    const registered_backend* known = state.registry.find(server.id);
    if (known == nullptr || !known->leaving || known->started_ms != server.started_ms) {
        state.quarantine.add_local_evidence(evidence, now);
    }
}

} // namespace

attempt_end forwarded_call::fail(const destination& to, attempt_end end, std::string_view reason) {
    history_.record(end);
    const time_point now = monotonic_now();
    const bool streams = attempt_first_event_ && now - latest_event_ <= receiving_span;
    if (end == attempt_end::silent && connection_ && !streams && now - sent_at_ > receiving_span &&
        connection_->has_received_within(receiving_span, now)) {
        connection_->exceed(response_head_received_ ? response_limit::body_time
                                                    : response_limit::head_time);
    }
    const bool counts =
        end == attempt_end::not_sent || end == attempt_end::lost || end == attempt_end::silent;
    const bool ended_here =
        caller_left_ || withdrawn_ || state_.reachability.is_cut_off(service_->id, to.backend.id);
    if (counts && !ended_here) {
        record_outcome(to.backend.id, false);
    }
    if (end == attempt_end::not_sent && !ended_here) {
        state_.picker.on_unreachable(to.backend.id, monotonic_now());
    }
    // The other idle connections may be as dead as this one.
    if (end == attempt_end::silent && connection_reused_) {
        state_.connections.drop_direct(to.backend.address);
    }
    log_event(events::attempt_failed,
              "request={} route={} backend={} address={} end={} reason={} connection={} sends={} "
              "after_ms={:.0f}",
              request_.id, route_->name, to.backend.id.text(), to.backend.address, to_string(end),
              reason, connection_reused_ ? "reused" : "new", history_.sends,
              to_milliseconds(monotonic_now() - arrival_));
    return end;
}

attempt_end forwarded_call::skip_backend(const destination& to, std::string_view reason) {
    history_.record(attempt_end::not_sent);
    log_event(events::attempt_failed,
              "request={} route={} backend={} address={} end=not_sent reason={} sends={}",
              request_.id, route_->name, to.backend.id.text(), to.backend.address, reason,
              history_.sends);
    return attempt_end::not_sent;
}

void forwarded_call::record_outcome(const backend_id& server, bool succeeded) {
    const time_point now = monotonic_now();
    if (succeeded) {
        state_.picker.on_success(server, now);
    } else {
        state_.picker.on_failure(server, state_.registry.usable(service_->id).size(), now);
    }
    if (service_->engine) {
        state_.engine_outcomes.note(server, succeeded);
    }
}

asio::awaitable<bool> forwarded_call::open_connection(const registered_backend& backend,
                                                      http_failure& why) {
    connection_request wanted;
    wanted.request_id = request_.id;
    wanted.max_idle = route_->repeats == repeat_policy::once ? duration(max_idle_non_repeatable)
                                                             : duration(max_idle_repeatable);
    wanted.deadline = deadline_;
    connection_ = nullptr;
    backend_connection opened =
        co_await open_backend_connection(state_, backend, std::move(wanted), why);
    connection_ = std::move(opened.connection);
    connection_reused_ = opened.reused;
    co_return connection_ != nullptr;
}

time_point forwarded_call::attempt_deadline() const {
    attempt_history after = history_;
    after.record(attempt_end::silent);
    if (!may_retry(route_->repeats, route_->max_attempts, after, attempt_end::silent)) {
        return deadline_;
    }
    return std::min(deadline_, monotonic_now() + objectives_per_attempt * route_->objective);
}

/// Logs the data on which the choice was based, without the work of this request.
void forwarded_call::log_send(const destination& to) const {
    const time_point now = monotonic_now();
    const backend_work work = to.work ? *to.work : state_.loads.total(to.backend.id, now);
    const duration view_age = state_.entries_view.age(now);
    state_.latency.record(latency_stage::view_age, route_->repeats, view_age);
    const std::uint64_t server = backend_hash(to.backend.id);
    const double pace_ms = state_.pace.ms_per_event(service_->id, server);
    const double late_risk = state_.pace.late_risk(
        service_->id, server, route_->pause_objective,
        static_cast<double>(request_.expected_output_tokens) /
            (service_->engine ? std::max(1, service_->engine->tokens_per_event) : 1));
    log_event(events::request_sent,
              "request={} route={} service={} backend={} address={} software_version={} copy_of={} "
              "sends={} configuration_version={} usable={} view_age_ms={:.0f} requests={} "
              "memory_tokens={} of_memory={} unread_tokens={} prompt_tokens={} expected_tokens={} "
              "rate_limit={} pace_ms={:.1f} late_risk={:.4f} "
              "events={} time_left_ms={:.0f} after_ms={:.0f}",
              request_.id, route_->name, service_->id.text(), to.backend.id.text(),
              to.backend.address, printable(to.backend.version), to.copy ? to.copy->holder : "none",
              history_.sends, routes_->configuration().version,
              state_.registry.usable(service_->id).size(), to_milliseconds(view_age), work.requests,
              work.memory_tokens, service_->engine ? service_->engine->memory_tokens : 0,
              work.unread_tokens, request_.prompt_tokens, request_.expected_output_tokens,
              rate_text(state_.rate_limits.find(to.backend.id)), pace_ms, late_risk,
              splitter_.events(), to_milliseconds(deadline_ - now),
              to_milliseconds(now - arrival_));
}

asio::awaitable<std::optional<attempt_end>> forwarded_call::attempt(const destination& to) {
    log_send(to);
    register_work(to.backend.id);
    http_failure why;
    if (!co_await open_connection(to.backend, why)) {
        co_return fail(to, attempt_end::not_sent, why.text);
    }
    const time_point now = monotonic_now();
    if (caller_left_ || withdrawn_ || now >= deadline_) {
        co_return fail(to, attempt_end::not_sent, withdrawn_ ? "withdrawn" : "no time left");
    }
    // While the connection was established, the server's failure domain may have been taken out of
    // service.
    if (!to.copy && !state_.registry.takes_work(to.backend.id)) {
        give_back(to);
        co_return skip_backend(to, "accepts no work");
    }
    // The server may have named a limit since it was chosen.
    if (!to.copy && !to.has_permit && is_rate_limited(state_, to.backend.id)) {
        give_back(to);
        co_return skip_backend(to, "names a limit");
    }
    const registered_backend* known = state_.registry.find(to.backend.id);
    const registered_backend& server = known != nullptr ? *known : to.backend;
    if (!fits_origin(server)) {
        record_not_continued(continuation_refusal::version_differs, &server);
        give_back(to);
        co_return skip_backend(to, "software version differs");
    }
    attempt_parameters send;
    send.expected_backend = to.backend.id;
    send.address = to.backend.address;
    send.workspace = workspace_;
    send.time_left = std::chrono::duration_cast<milliseconds>(deadline_ - now);
    send.resume_after = splitter_.last_id();
    send.copy = to.copy;
    response_limits limits = connection_->guard().limits();
    if (route_->streaming) {
        limits.body_bytes = std::numeric_limits<std::size_t>::max();
    }
    connection_->set_limits(limits);
    connection_->set_server_name(to.backend.id.text());
    connection_->send(state_.codec.serialize_request(exchange_.request(), send),
                      exchange_.request().method == "HEAD");
    if (!connection_->any_sent()) {
        state_.connections.drop(to.backend.address);
        co_return fail(to, attempt_end::not_sent, "connection closed before the request was sent");
    }
    ++state_.counters.sends;
    state_.counters.sends_to_limited += state_.rate_limits.find(to.backend.id) ? 1 : 0;
    if (!connection_->carrier().empty()) {
        ++state_.counters.tunneled_sends;
        log_event(events::request_tunneled, "request={} backend={} carrier={}", request_.id,
                  to.backend.id.text(), connection_->carrier());
    }
    sent_at_ = now;
    sent_to_ = to.backend;
    response_head_received_ = false;
    attempt_first_event_.reset();
    work_before_send_ = to.work;
    connection_->expire_at(to.copy ? deadline_ : attempt_deadline());
    if (!co_await connection_->read_head(why)) {
        co_return fail(to, connection_->timed_out() ? attempt_end::silent : attempt_end::lost,
                       why.text);
    }
    response_head_received_ = true;
    if (state_.server_states != nullptr && connection_->carrier().empty()) {
        state_.server_states->note_reached(to.backend.id);
    }
    co_return co_await handle_response(to);
}

asio::awaitable<std::optional<attempt_end>> forwarded_call::handle_response(const destination& to) {
    const response_info facts = state_.codec.parse_response(*connection_, request_);
    record_rate_limit(facts);
    record_server_load(facts);
    if (facts.wrong_server) {
        state_.registry.mark_leaving(to.backend.id);
        if (state_.on_registry_change) {
            state_.on_registry_change();
        }
    }
    if (facts.not_run || facts.wrong_server) {
        if (!co_await discard_refusal()) {
            co_return fail(to, attempt_end::lost, failure_reason("refusal incomplete"));
        }
        give_back(to);
        co_return fail(to, attempt_end::not_run,
                       facts.wrong_server ? "address belongs to another server" : "refused");
    }
    if (!facts.authentic) {
        connection_->close();
        co_return fail(to, attempt_end::lost, "response does not belong to this request");
    }
    if (route_->streaming && facts.status == 200) {
        co_return co_await relay(to, facts);
    }
    co_return co_await forward_body(to, facts);
}

/// A failure response without a limit says nothing about it: it may come from a part of the server
/// that doesn't know the limit.
void forwarded_call::record_rate_limit(const response_info& facts) {
    const registered_backend* known = state_.registry.find(sent_to_.id);
    if (!facts.names_request || facts.wrong_server || known == nullptr ||
        known->started_ms != sent_to_.started_ms) {
        return;
    }
    if (!facts.malformed_rate_limit.empty()) {
        log_event(events::rate_limit_malformed, "backend={} request={} text={}", sent_to_.id.text(),
                  request_.id, facts.malformed_rate_limit);
    }
    const bool says_none =
        facts.malformed_rate_limit.empty() && facts.authentic && facts.status < 300;
    if (facts.rate_limit || says_none) {
        state_.rate_limits.observe(
            {sent_to_.id, sent_to_.started_ms, facts.rate_limit, monotonic_now()}, sent_at_);
    }
}

void forwarded_call::record_server_load(const response_info& facts) {
    if (!facts.names_request || facts.wrong_server) {
        return;
    }
    const time_point now = monotonic_now();
    if (facts.load) {
        state_.server_loads.observe(service_->id, sent_to_.id, *facts.load, now);
        if (facts.load->host_percent && service_->engine) {
            state_.pace.observe_host(service_->id, backend_hash(sent_to_.id),
                                     *facts.load->host_percent, now);
            state_.engine_outcomes.record_host(sent_to_.id, *facts.load->host_percent);
        }
    } else if (!facts.malformed_load.empty() && state_.server_loads.should_warn(sent_to_.id, now)) {
        log_event(events::server_load_malformed, "backend={} request={} text={}",
                  sent_to_.id.text(), request_.id, facts.malformed_load);
    }
}

void forwarded_call::give_back(const destination& to) {
    state_.connections.give_back(to.backend.address, std::exchange(connection_, nullptr),
                                 monotonic_now());
}

asio::awaitable<std::optional<attempt_end>> forwarded_call::forward_body(const destination& to,
                                                                         response_info facts) {
    saved_response response{facts.status, state_.codec.response_fields(*connection_), {}};
    reserved_memory kept(connection_->guard());
    while (co_await connection_->read(response.body)) {
        if (response.body.size() > connection_->limits().kept_body_bytes ||
            !kept.resize(response.body.capacity())) {
            co_return co_await relay_body(to, facts, std::move(response));
        }
    }
    if (!connection_->complete() || connection_->exceeded() != response_limit::none) {
        const bool silent = connection_->timed_out();
        connection_->close();
        co_return fail(to, silent ? attempt_end::silent : attempt_end::lost,
                       failure_reason("response incomplete"));
    }
    if (co_await was_cut_off()) {
        co_return fail(to, attempt_end::lost, "server crashed at the end of its response");
    }
    give_back(to);
    if (facts.status >= 500) {
        failure_ = std::move(response);
        co_return fail(to, attempt_end::failed, "server reported a failure");
    }
    if (facts.names_request) {
        record_server_survived(facts.status);
    }
    record_outcome(to.backend.id, true);
    unregister_work();
    co_await exchange_.respond(response.status, {}, std::move(response.body), response.fields);
    state_.counters.count(forward_result::answered);
    log_event(events::request_ended, "request={} route={} backend={} status={} after_ms={:.0f}",
              request_.id, route_->name, to.backend.id.text(), facts.status,
              to_milliseconds(monotonic_now() - arrival_));
    co_return std::nullopt;
}

asio::awaitable<bool> forwarded_call::discard_refusal() {
    const time_point began = monotonic_now();
    std::size_t bytes = 0;
    std::string ignored;
    while (co_await connection_->read(ignored)) {
        bytes += ignored.size();
        ignored.clear();
        if (bytes > max_refusal_bytes) {
            connection_->exceed(response_limit::body_bytes);
        } else if (!connection_->complete() && monotonic_now() - began > max_refusal_time) {
            connection_->exceed(response_limit::body_time);
        }
    }
    co_return connection_->exceeded() == response_limit::none &&
        !(connection_->timed_out() &&
          connection_->has_received_within(receiving_span, monotonic_now()));
}

std::string forwarded_call::failure_reason(std::string_view otherwise) const {
    const response_limit limit = connection_->exceeded();
    return limit == response_limit::none ? std::string(otherwise)
                                         : "limit exceeded: " + std::string(to_string(limit));
}

/// A failure of the server is forwarded only if no other server may be asked. A response whose
/// length is unknown is not begun if its server has lately sent one without an end.
asio::awaitable<std::optional<attempt_end>> forwarded_call::relay_body(const destination& to,
                                                                       const response_info& facts,
                                                                       saved_response begin) {
    const bool is_failure = facts.status >= 500;
    attempt_history after = history_;
    after.record(attempt_end::failed);
    if (is_failure &&
        may_retry(route_->repeats, route_->max_attempts, after, attempt_end::failed)) {
        connection_->close();
        co_return fail(to, attempt_end::failed, "server reported a failure");
    }
    if (!connection_->content_length() &&
        connection_->guard().has_exceeded_lately(to.backend.id.text(), monotonic_now())) {
        connection_->exceed(response_limit::body_bytes);
        co_return fail(to, attempt_end::lost, failure_reason(""));
    }
    body_started_ = true;
    connection_->expire_at(deadline_);
    bool accepted =
        co_await exchange_.begin_body(begin.status, connection_->content_length(), begin.fields);
    if (accepted) {
        accepted = co_await exchange_.write(begin.body);
    }
    std::string().swap(begin.body);
    std::string part;
    while (accepted && co_await connection_->read(part)) {
        accepted = co_await exchange_.write(part);
        part.clear();
    }
    if (!accepted) {
        caller_left_ = true;
        connection_->close();
        co_return fail(to, attempt_end::lost, "caller disconnected");
    }
    if (!connection_->complete() || connection_->exceeded() != response_limit::none) {
        const bool silent = connection_->timed_out();
        connection_->close();
        co_return fail(to, silent ? attempt_end::silent : attempt_end::lost,
                       failure_reason("response incomplete"));
    }
    if (co_await was_cut_off()) {
        co_return fail(to, attempt_end::lost, "server crashed at the end of its response");
    }
    give_back(to);
    if (facts.names_request && !is_failure) {
        record_server_survived(facts.status);
    }
    record_outcome(to.backend.id, !is_failure);
    unregister_work();
    co_await exchange_.end_stream();
    state_.counters.count(is_failure ? forward_result::backend_failed : forward_result::answered);
    log_event(events::request_ended, "request={} route={} backend={} status={} after_ms={:.0f}",
              request_.id, route_->name, to.backend.id.text(), facts.status,
              to_milliseconds(monotonic_now() - arrival_));
    co_return std::nullopt;
}

asio::awaitable<process_state> forwarded_call::check_server() {
    if (state_.server_states != nullptr) {
        co_return co_await state_.server_states->verify(sent_to_.id, sent_to_.address);
    }
    co_return co_await state_.server_checks.check(sent_to_.id, sent_to_.address);
}

bool forwarded_call::is_server_leaving() const {
    const registered_backend* known = state_.registry.find(sent_to_.id);
    return known == nullptr || known->leaving;
}

asio::awaitable<bool> forwarded_call::was_cut_off() {
    survival_shown_ = !connection_->ended_by_close();
    if (survival_shown_) {
        co_return false;
    }
    // A server that is shutting down may end right after its last response.
    const bool leaving = is_server_leaving();
    const process_state process = co_await check_server();
    survival_shown_ = process == process_state::running;
    co_return process == process_state::ended && !leaving;
}

asio::awaitable<void> forwarded_call::examine_lost_connection() {
    const time_point lost_at = monotonic_now();
    const bool leaving = is_server_leaving();
    const process_state process = co_await check_server();
    log_event(events::backend_connection_lost,
              "request={} digest={} parts={} backend={} address={} process={} leaving={} "
              "answer_begun={} events={} after_send_ms={:.0f}",
              request_.id, digest().text(), labels_of(request_.shared_parts), sent_to_.id.text(),
              sent_to_.address, to_string(process), leaving, response_head_received_,
              splitter_.events(), to_milliseconds(lost_at - sent_at_));
    if (process == process_state::running || leaving) {
        co_return;
    }
    crash_evidence evidence;
    evidence.request = digest();
    evidence.server = incarnation_key(sent_to_.id.text(), sent_to_.started_ms);
    evidence.caller = caller_hash();
    evidence.at = lost_at;
    evidence.answering = response_head_received_;
    evidence.on_trial = on_trial_;
    evidence.attempts = attempt_bit(request_.id);
    evidence.parts = shared_part_digests();
    evidence.streamed_for = std::chrono::duration_cast<milliseconds>(streamed_for());
    if (process == process_state::ended) {
        state_.quarantine.add_local_evidence(evidence, monotonic_now());
        end_trial();
    } else if (state_.server_states != nullptr) {
        state_.server_states->await_end(
            sent_to_.id, [&state = state_, evidence, server = sent_to_] {
                add_late_evidence(state, evidence, server, monotonic_now());
            });
    }
}

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
                                                                  response_info facts) {
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
    stream_->move_expected = false;
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
    const bool ended_for_move = connection_->ended_by_close() && stream_->move_expected;
    if (!complete_stream || ended_for_move) {
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
    give_back(to);
    if (!stream_started_) {
        co_await exchange_.begin_stream(facts.status, {}, {});
    }
    co_await exchange_.end_stream();
    record_server_survived(facts.status);
    record_outcome(to.backend.id, true);
    state_.counters.count(forward_result::answered);
    log_event(
        events::request_ended,
        "request={} route={} backend={} events={} sends={} first_ms={:.0f} objective_ms={:.0f} "
        "longest_pause_ms={:.0f} pause_objective_ms={:.0f} after_ms={:.0f}",
        request_.id, route_->name, to.backend.id.text(), splitter_.events(), history_.sends,
        to_milliseconds(first_event_ - arrival_), to_milliseconds(route_->objective),
        to_milliseconds(longest_pause_), to_milliseconds(route_->pause_objective),
        to_milliseconds(monotonic_now() - arrival_));
    co_return std::nullopt;
}

asio::awaitable<bool> forwarded_call::await_move() {
    if (!stream_ || !stream_->movable) {
        co_return false;
    }
    const registered_backend* source = state_.registry.find(stream_->backend);
    const bool source_leaving = source == nullptr || source->leaving;
    if (!stream_->moved && (stream_->move_expected || source_leaving)) {
        co_await wait_on(stream_->move_signal, monotonic_now() + move_timeout);
    }
    co_return stream_->moved.has_value();
}

/// A stream whose source was unreachable may continue there for seconds after the notice. One such
/// stream was sent to its target 6.2 s after the target had announced its shutdown.
bool forwarded_call::may_follow_move(const move_notice& notice, time_point now) const {
    return state_.registry.takes_work(notice.target) ||
           now - stream_->notified_at <= max_notice_age;
}

/// Continues the generation at its target each time it is moved. If a target does not accept the
/// copy, the generation stays at the source that suspended it, which still holds its memory.
asio::awaitable<std::optional<attempt_end>> forwarded_call::follow_moves(attempt_end end) {
    while (!caller_left_ && co_await await_move()) {
        const move_notice notice = *stream_->moved;
        stream_->moved.reset();
        if (!may_follow_move(notice, monotonic_now())) {
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
