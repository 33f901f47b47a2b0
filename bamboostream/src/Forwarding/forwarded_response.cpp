#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Forwarding/forwarded_call.h"

#include <utility>

// The response of a backend server to one attempt of a forwarded request, unless it is an event
// stream (forwarded_stream.cpp).

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Bodies that say that a request was not run take some 100 bytes and arrive with their heads, or
/// after a lost packet was sent again.
constexpr std::size_t max_refusal_bytes = 16 * 1024;
constexpr milliseconds max_refusal_time{400};
/// Late copies that are skipped before one response, and the longest body of one.
constexpr int max_late_responses = 4;
constexpr std::size_t max_late_response_bytes = 256 * 1024;

} // namespace

/// A copy of a response without an id couldn't be told from the next response, so its connection
/// isn't reused.
bool forwarded_call::take_response(std::optional<response_info>& into) {
    const parsed_response response = state_.codec.parse_response(*connection_, request_);
    into = response.about_request();
    if (!into) {
        ++state_.counters.late_responses;
        log_event(events::late_response, "request={} backend={} names={} status={} connection={}",
                  request_.id, sent_to_.id.text(),
                  response.named().empty() ? "none" : response.named(), connection_->status(),
                  connection_reused_ ? "reused" : "new");
        return false;
    }
    if (!into->names_request) {
        connection_->forbid_reuse();
    }
    return true;
}

/// A server may respond twice to a request, or send bytes that belong to none, where the response
/// to the next request on the connection is due. That response follows, so the others are skipped:
/// to close the connection would end a request that runs. On a new connection there is nothing to
/// copy.
asio::awaitable<bool> forwarded_call::read_response(std::optional<response_info>& into,
                                                    http_failure& why) {
    int late = 0;
    bool more = co_await connection_->read_head(why);
    while (more && !take_response(into)) {
        more = connection_reused_ && ++late <= max_late_responses;
        if (more) {
            more = co_await connection_->skip_response(max_late_response_bytes);
        }
        if (more) {
            more = co_await connection_->read_head(why);
        }
    }
    if (!into) {
        if (why.code == http_error::none) {
            why.set(http_error::malformed, "response isn't known to belong to this request");
        }
        connection_->close();
    }
    co_return into.has_value();
}

asio::awaitable<std::optional<attempt_end>>
forwarded_call::handle_response(const destination& to, const response_info& facts) {
    record_rate_limit(facts);
    record_server_load(facts);
    if (facts.wrong_server) {
        state_.registry.mark_leaving(to.backend.id);
        if (state_.on_registry_change) {
            state_.on_registry_change();
        }
    }
    if (const auto proof = not_run_proof::of_response(facts)) {
        const bool is_whole = co_await discard_refusal();
        if (!is_whole) {
            co_return fail(to, attempt_end::lost, failure_reason("refusal incomplete"));
        }
        // Of two responses, the one that names no request isn't known to be the one to this
        // request.
        if (!facts.names_request && connection_->has_surplus()) {
            give_back(to);
            co_return fail(to, attempt_end::lost,
                           "another response follows a refusal without an id");
        }
        give_back(to);
        co_return fail_not_run(
            to, *proof, facts.wrong_server ? "address belongs to another server" : "refused");
    }
    if (!facts.authentic) {
        connection_->close();
        co_return fail(to, attempt_end::lost, "response is not the server's");
    }
    const bool is_stream = route_->streaming && facts.status == 200;
    if (stream_started_ && !(is_stream && may_be_event_stream())) {
        connection_->close();
        co_return fail(to, attempt_end::failed, "response does not continue the stream");
    }
    if (is_stream) {
        co_return co_await relay(to, facts);
    }
    co_return co_await forward_body(to, facts);
}

bool forwarded_call::may_be_event_stream() const {
    const std::string_view type = connection_->field("Content-Type");
    return type.empty() || type.starts_with("text/event-stream");
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

asio::awaitable<std::optional<attempt_end>>
forwarded_call::forward_body(const destination& to, const response_info& facts) {
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
    after.end_sent(attempt_end::failed);
    if (is_failure && may_retry(route_->repeats, route_->max_attempts, after)) {
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

} // namespace bamboostream
