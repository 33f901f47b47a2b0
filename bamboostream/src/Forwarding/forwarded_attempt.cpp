#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/digest.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Forwarding/backend_connection.h"
#include "bamboostream/src/Forwarding/forwarded_call.h"

#include <algorithm>
#include <limits>
#include <utility>

// One attempt of a forwarded request at a backend server: its connection, the sending of the
// request and the check of a lost server. Routing, retries and the final response are in
// forwarded_call.cpp.

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
    return record_failure(to, history_.end_sent(end), reason, "none");
}

attempt_end forwarded_call::fail_unsent(const destination& to, std::string_view reason) {
    return record_failure(to, history_.end_unsent(), reason, "not_begun");
}

attempt_end forwarded_call::fail_not_run(const destination& to, const not_run_proof& proof,
                                         std::string_view reason) {
    return record_failure(to, history_.end_not_run(proof), reason, proof.basis());
}

attempt_end forwarded_call::record_failure(const destination& to, attempt_end end,
                                           std::string_view reason, std::string_view proof) {
    const time_point now = monotonic_now();
    const bool streams = attempt_first_event_ && now - latest_event_ <= receiving_span;
    if (end == attempt_end::silent && connection_ && !streams && now - sent_at_ > receiving_span &&
        connection_->has_received_within(receiving_span, now)) {
        connection_->exceed(response_head_received_ ? response_limit::body_time
                                                    : response_limit::head_time);
    }
    const bool counts =
        end == attempt_end::not_sent || end == attempt_end::lost || end == attempt_end::silent;
    const bool ended_here = caller_left_ || withdrawn_ || ended_by_shutdown_ ||
                            state_.reachability.is_cut_off(service_->id, to.backend.id);
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
              "request={} route={} backend={} address={} end={} proof={} reason={} known={} "
              "view_age_ms={:.0f} connection={} sends={} after_ms={:.0f}",
              request_.id, route_->name, to.backend.id.text(), to.backend.address, to_string(end),
              proof, reason, state_.registry.describe(to.backend.id),
              to_milliseconds(state_.entries_view.age(now)), connection_reused_ ? "reused" : "new",
              history_.sends(), to_milliseconds(monotonic_now() - arrival_));
    return end;
}

attempt_end forwarded_call::skip_backend(const destination& to, std::string_view reason) {
    const attempt_end end = history_.end_unsent();
    log_event(events::attempt_failed,
              "request={} route={} backend={} address={} end={} proof=not_begun reason={} sends={}",
              request_.id, route_->name, to.backend.id.text(), to.backend.address, to_string(end),
              reason, history_.sends());
    return end;
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
    wanted.max_idle = max_idle_time(backend.id);
    wanted.deadline = deadline_;
    connection_ = nullptr;
    backend_connection opened =
        co_await open_backend_connection(state_, backend, std::move(wanted), why);
    connection_ = std::move(opened.connection);
    connection_reused_ = opened.reused;
    co_return connection_ != nullptr;
}

/// On a connection that has carried this request before, a late copy of its first response couldn't
/// be told from the response that is due. After the response to another request, the copy may have
/// a body where the response to HEAD has none. The response to a request without an id names none,
/// so only the first one on a connection is known to be its response.
duration forwarded_call::max_idle_time(const backend_id& server) const {
    const bool was_sent_there =
        std::find(sent_to_before_.begin(), sent_to_before_.end(), server) != sent_to_before_.end();
    if (was_sent_there || request_.id.empty() || exchange_.request().method == "HEAD") {
        return {};
    }
    return route_->repeats == repeat_policy::once ? duration(max_idle_non_repeatable)
                                                  : duration(max_idle_repeatable);
}

time_point forwarded_call::attempt_deadline() const {
    attempt_history after = history_;
    after.end_sent(attempt_end::silent);
    if (!may_retry(route_->repeats, route_->max_attempts, after)) {
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
              history_.sends(), routes_->configuration().version,
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
        co_return fail_unsent(to, why.text);
    }
    const time_point now = monotonic_now();
    if (caller_left_ || withdrawn_ || now >= deadline_) {
        co_return fail_unsent(to, withdrawn_ ? "withdrawn" : "no time left");
    }
    // While the connection was established, the server may have announced that it leaves, or its
    // failure domain may have been taken out of service.
    if (!may_send_to(to, now)) {
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
    // Whatever has arrived before the request responds to nothing.
    if (!connection_reused_ && connection_->has_input()) {
        connection_->close();
        co_return fail_unsent(to, "server closed the connection or sent data before the request");
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
    history_.begin_send();
    connection_->send(state_.codec.serialize_head(exchange_.request(), send),
                      exchange_.request().method == "HEAD", exchange_.shared_body());
    if (const auto proof = not_run_proof::of_connection(*connection_)) {
        state_.connections.drop(to.backend.address);
        co_return fail_not_run(to, *proof, "connection closed before the request was sent");
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
    sent_to_before_.push_back(to.backend.id);
    response_head_received_ = false;
    attempt_first_event_.reset();
    work_before_send_ = to.work;
    connection_->expire_at(to.copy ? deadline_ : attempt_deadline());
    std::optional<response_info> facts;
    if (!co_await read_response(facts, why)) {
        co_return fail(to, connection_->timed_out() ? attempt_end::silent : attempt_end::lost,
                       why.text);
    }
    response_head_received_ = true;
    if (state_.server_states != nullptr && connection_->carrier().empty()) {
        state_.server_states->note_reached(to.backend.id);
    }
    co_return co_await handle_response(to, *facts);
}

void forwarded_call::give_back(const destination& to) {
    state_.connections.give_back(to.backend.address, std::exchange(connection_, nullptr),
                                 monotonic_now());
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
    // A server that is shutting down may end right after its last response. Of a request that may
    // be repeated, another server can tell.
    const bool may_be_whole = is_server_leaving() && route_->repeats == repeat_policy::once;
    const process_state process = co_await check_server();
    survival_shown_ = process == process_state::running;
    co_return process == process_state::ended && !may_be_whole;
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

} // namespace bamboostream
