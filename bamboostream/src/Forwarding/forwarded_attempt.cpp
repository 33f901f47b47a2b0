#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/digest.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Forwarding/forwarded_call.h"

#include <algorithm>
#include <utility>

// One send of a request to a backend server and what comes of it: the answer, the relayed stream,
// and the moves of its generation. See forwarded_call.cpp for what comes before and after.

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// A connection inside a region takes a few milliseconds; a lost packet is sent again after a
/// second. Waiting less finds a dead server soon, and another one is tried at no risk.
constexpr milliseconds connect_timeout{400};
/// Idle connections that may carry a request which must not be sent twice: the longer a connection
/// has been idle, the likelier its server is just closing it, and then the request is lost.
constexpr milliseconds most_idle_for_once{1'500};
constexpr seconds most_idle_for_repeatable{30};
/// A send that may be repeated elsewhere is given up after so many objectives without an answer.
constexpr int objectives_a_try = 2;
/// A stream that may be taken up elsewhere is given up after a pause like this; engines pause for
/// some 200 ms when they read a long prompt.
constexpr milliseconds longest_pause{1'200};
/// The last part of a move takes some 10 ms after the stream has stopped, much more when the link
/// is shared; beyond this it has failed.
constexpr milliseconds move_wait{1'600};
/// A notice that is no older than this is followed whatever its target says: the target was usable
/// when the last part began, at most 1.5 s before the notice, so the send is within the 2 s for
/// which a leaving engine still takes what was on its way.
constexpr milliseconds fresh_notice{400};
/// Answers kept whole; larger ones are no answers of plain services.
constexpr std::size_t answer_limit = 8 * 1024 * 1024;

} // namespace

attempt_end forwarded_call::fail(const destination& to, attempt_end end, std::string_view reason) {
    history_.note(end);
    const bool counts =
        end == attempt_end::not_sent || end == attempt_end::lost || end == attempt_end::silent;
    const bool ended_here = left_ || withdrawn_;
    if (counts && !ended_here) {
        note_outcome(to.backend.id, false);
    }
    if (end == attempt_end::not_sent && !ended_here) {
        state_.picker.on_unreachable(to.backend.id, monotonic_now());
    }
    log_event(events::attempt_failed,
              "request={} route={} backend={} address={} end={} reason={} sends={} after_ms={:.0f}",
              request_.id, route_->name, to.backend.id.text(), to.backend.address, to_string(end),
              reason, history_.sends, to_milliseconds(monotonic_now() - arrival_));
    return end;
}

attempt_end forwarded_call::pass_over(const destination& to) {
    history_.note(attempt_end::not_sent);
    log_event(
        events::attempt_failed,
        "request={} route={} backend={} address={} end=not_sent reason=takes no work sends={}",
        request_.id, route_->name, to.backend.id.text(), to.backend.address, history_.sends);
    return attempt_end::not_sent;
}

void forwarded_call::note_outcome(const backend_id& server, bool succeeded) {
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

asio::awaitable<bool> forwarded_call::open_channel(const registered_backend& backend) {
    const time_point now = monotonic_now();
    const bool once = route_->repeats == repeat_policy::once;
    channel_ = state_.channels.take(
        backend.address, once ? duration(most_idle_for_once) : duration(most_idle_for_repeatable),
        now);
    if (channel_) {
        co_return true;
    }
    ++state_.counters.new_connections;
    channel_ = std::make_shared<http_channel>(exchange_.executor());
    http_failure why;
    const auto left = std::chrono::duration_cast<milliseconds>(deadline_ - now);
    co_return co_await channel_->connect(backend.address, std::min(connect_timeout, left), why);
}

time_point forwarded_call::attempt_limit() const {
    attempt_history after = history_;
    after.note(attempt_end::silent);
    if (!may_try_again(route_->repeats, route_->max_attempts, after, attempt_end::silent)) {
        return deadline_;
    }
    return std::min(deadline_, monotonic_now() + objectives_a_try * route_->objective);
}

/// What the choice went by, before the request itself counts.
void forwarded_call::log_send(const destination& to) const {
    const time_point now = monotonic_now();
    const backend_work work = to.work ? *to.work : state_.loads.total(to.backend.id, now);
    const duration view_age = state_.entries_view.age(now);
    state_.latency.record(latency_stage::view_age, route_->repeats, view_age);
    log_event(
        events::request_sent,
        "request={} route={} service={} backend={} address={} copy_of={} sends={} "
        "configuration_version={} usable={} view_age_ms={:.0f} requests={} memory_tokens={} "
        "of_memory={} "
        "unread_tokens={} prompt_tokens={} expected_tokens={} time_left_ms={:.0f} after_ms={:.0f}",
        request_.id, route_->name, service_->id.text(), to.backend.id.text(), to.backend.address,
        to.copy ? to.copy->holder : "none", history_.sends, routes_->configuration().version,
        state_.registry.usable(service_->id).size(), to_milliseconds(view_age), work.requests,
        work.memory_tokens, service_->engine ? service_->engine->memory_tokens : 0,
        work.unread_tokens, request_.prompt_tokens, request_.expected_output_tokens,
        to_milliseconds(deadline_ - now), to_milliseconds(now - arrival_));
}

asio::awaitable<std::optional<attempt_end>> forwarded_call::attempt(const destination& to) {
    log_send(to);
    enter_work(to.backend.id);
    if (!co_await open_channel(to.backend)) {
        co_return fail(to, attempt_end::not_sent, "no connection");
    }
    const time_point now = monotonic_now();
    if (left_ || withdrawn_ || now >= deadline_) {
        co_return fail(to, attempt_end::not_sent, withdrawn_ ? "withdrawn" : "no time left");
    }
    // A connection may take as long as the news that its failure domain is out of service.
    if (!to.copy && !state_.registry.takes_work(to.backend.id)) {
        give_back(to);
        co_return pass_over(to);
    }
    forward_send send;
    send.expected = to.backend.id;
    send.address = to.backend.address;
    send.workspace = workspace_;
    send.time_left = std::chrono::duration_cast<milliseconds>(deadline_ - now);
    send.resume_after = splitter_.last_id();
    send.copy = to.copy;
    channel_->send(state_.codec.write_request(exchange_.request(), send),
                   exchange_.request().method == "HEAD");
    if (!channel_->any_sent()) {
        state_.channels.drop(to.backend.address);
        co_return fail(to, attempt_end::not_sent, "the connection was closed");
    }
    ++state_.counters.sends;
    sent_at_ = now;
    sent_to_ = to.backend;
    answer_begun_ = false;
    queued_before_ = to.work;
    channel_->expire_at(to.copy ? deadline_ : attempt_limit());
    http_failure why;
    if (!co_await channel_->read_head(why)) {
        co_return fail(to, channel_->timed_out() ? attempt_end::silent : attempt_end::lost,
                       why.text);
    }
    answer_begun_ = true;
    co_return co_await take_answer(to);
}

asio::awaitable<std::optional<attempt_end>> forwarded_call::take_answer(const destination& to) {
    const answer_facts facts = state_.codec.read_answer(*channel_, request_);
    if (facts.wrong_server) {
        state_.registry.mark_leaving(to.backend.id);
        if (state_.on_registry_change) {
            state_.on_registry_change();
        }
    }
    if (facts.not_run || facts.wrong_server) {
        std::string ignored;
        while (co_await channel_->read(ignored)) {
        }
        give_back(to);
        co_return fail(to, attempt_end::not_run, facts.wrong_server ? "another server" : "refused");
    }
    if (!facts.genuine) {
        channel_->close();
        co_return fail(to, attempt_end::lost, "not the answer to this request");
    }
    if (route_->streaming && facts.status == 200) {
        co_return co_await relay(to, facts);
    }
    co_return co_await take_body(to, facts);
}

void forwarded_call::give_back(const destination& to) {
    state_.channels.give_back(to.backend.address, std::exchange(channel_, nullptr),
                              monotonic_now());
}

asio::awaitable<std::optional<attempt_end>> forwarded_call::take_body(const destination& to,
                                                                      answer_facts facts) {
    kept_answer answer{facts.status, state_.codec.answer_fields(*channel_), {}};
    while (answer.body.size() <= answer_limit && co_await channel_->read(answer.body)) {
    }
    if (!channel_->complete()) {
        const bool silent = channel_->timed_out();
        channel_->close();
        co_return fail(to, silent ? attempt_end::silent : attempt_end::lost,
                       "the answer broke off");
    }
    give_back(to);
    if (facts.status >= 500) {
        failure_ = std::move(answer);
        co_return fail(to, attempt_end::failed, "the server failed");
    }
    note_server_survived();
    note_outcome(to.backend.id, true);
    leave_work();
    co_await exchange_.respond(answer.status, {}, std::move(answer.body), answer.fields);
    state_.counters.count(forward_result::answered);
    log_event(events::request_ended, "request={} route={} backend={} status={} after_ms={:.0f}",
              request_.id, route_->name, to.backend.id.text(), facts.status,
              to_milliseconds(monotonic_now() - arrival_));
    co_return std::nullopt;
}

asio::awaitable<void> forwarded_call::examine_lost_connection() {
    const time_point lost_at = monotonic_now();
    const registered_backend* known = state_.registry.find(sent_to_.id);
    const bool leaving = known == nullptr || known->leaving;
    const process_state process =
        co_await state_.server_checks.check(sent_to_.id, sent_to_.address);
    log_event(events::backend_connection_lost,
              "request={} digest={} backend={} address={} process={} leaving={} answer_begun={} "
              "events={} after_send_ms={:.0f}",
              request_.id, digest().text(), sent_to_.id.text(), sent_to_.address,
              to_string(process), leaving, answer_begun_, splitter_.events(),
              to_milliseconds(lost_at - sent_at_));
    if (process != process_state::ended || leaving) {
        co_return;
    }
    harm_evidence evidence;
    evidence.request = digest();
    evidence.server = life_key(sent_to_.id.text(), sent_to_.started_ms);
    evidence.caller = stable_hash(workspace_ ? workspace_->text() : "");
    evidence.at = lost_at;
    evidence.answering = answer_begun_;
    state_.quarantine.note_own(evidence, monotonic_now());
}

/// An engine whose memory is full keeps a prompt waiting for that, which says nothing of reading.
void forwarded_call::note_reading() {
    if (!service_->engine || !queued_before_ || request_.prompt_tokens <= 0 ||
        queued_before_->memory_tokens + expected_work().memory_tokens >
            service_->engine->memory_tokens) {
        return;
    }
    const reading_sample sample{
        static_cast<double>(queued_before_->unread_tokens + request_.prompt_tokens),
        to_milliseconds(first_event_ - sent_at_)};
    state_.reading.note(service_->id, work_key(entered_at_), sample);
    state_.engine_outcomes.note_reading(entered_at_, sample);
}

bool forwarded_call::is_movable() const {
    return route_->repeats == repeat_policy::once && service_->engine && service_->engine->moves;
}

asio::awaitable<bool> forwarded_call::pass_on(std::string_view events, int status) {
    const time_point now = monotonic_now();
    longest_pause_ = begun_ ? std::max(longest_pause_, now - latest_event_) : duration{};
    latest_event_ = now;
    if (!begun_) {
        begun_ = true;
        first_event_ = now;
        note_reading();
        const std::vector<http_field> fields = state_.codec.answer_fields(*channel_);
        if (!co_await exchange_.begin_stream(status, {}, fields)) {
            co_return false;
        }
    }
    co_return co_await exchange_.write(events);
}

asio::awaitable<std::optional<attempt_end>> forwarded_call::relay(const destination& to,
                                                                  answer_facts facts) {
    if (!stream_) {
        stream_ = std::make_shared<active_stream>(exchange_.executor(), request_.id);
        stream_->movable = is_movable();
        stream_->prompt_tokens = request_.prompt_tokens;
        stream_->expected_output_tokens = request_.expected_output_tokens;
        stream_->most_output_tokens = request_.most_output_tokens;
        state_.streams.add(stream_);
    }
    stream_->backend = to.backend.id;
    stream_->moved.reset();
    stream_->move_expected = false;
    splitter_.restart();
    const bool may_go_on = route_->repeats == repeat_policy::resumable;
    const int tokens_per_event = service_->engine ? service_->engine->tokens_per_event : 1;
    std::string bytes;
    std::string events;
    event_order order = event_order::in_order;
    while (order == event_order::in_order && co_await channel_->read(bytes)) {
        splitter_.append(bytes);
        bytes.clear();
        events.clear();
        order = splitter_.take(events);
        if (events.empty()) {
            continue;
        }
        if (!co_await pass_on(events, facts.status)) {
            left_ = true;
            channel_->close();
            co_return fail(to, attempt_end::lost, "the caller left");
        }
        stream_->output_tokens = static_cast<std::int64_t>(splitter_.events()) * tokens_per_event;
        const std::int64_t output = stream_->output_tokens + expected_tokens_left(*stream_);
        update_work({1, request_.prompt_tokens + output, 0});
        if (may_go_on) {
            channel_->expire_at(std::min(deadline_, monotonic_now() + longest_pause));
        }
    }
    const bool whole =
        order == event_order::in_order && channel_->complete() && splitter_.at_boundary();
    const bool stopped_for_move = channel_->ended_by_close() && stream_->move_expected;
    if (!whole || stopped_for_move) {
        const bool silent = channel_->timed_out();
        channel_->close();
        co_return fail(to, silent ? attempt_end::silent : attempt_end::lost,
                       order == event_order::broken ? "an event is missing"
                                                    : "the stream broke off");
    }
    give_back(to);
    if (!begun_) {
        co_await exchange_.begin_stream(facts.status, {}, {});
    }
    co_await exchange_.end_stream();
    note_server_survived();
    note_outcome(to.backend.id, true);
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
    const bool leaves = source == nullptr || source->leaving;
    if (!stream_->moved && (stream_->move_expected || leaves)) {
        co_await wait_on(stream_->noticed, monotonic_now() + move_wait);
    }
    co_return stream_->moved.has_value();
}

/// A stream whose source couldn't be reached may go on there for seconds after its notice. One such
/// stream was sent to its target 6.2 s after this had said that it leaves.
bool forwarded_call::may_follow(const move_notice& notice, time_point now) const {
    return state_.registry.takes_work(notice.target) || now - stream_->noticed_at <= fresh_notice;
}

/// Goes on where the generation was moved to, as often as it is moved. A target that doesn't take
/// the copy leaves the generation at the engine that stopped it, which still has its memory.
asio::awaitable<std::optional<attempt_end>> forwarded_call::follow_moves(attempt_end end) {
    while (!left_ && co_await await_move()) {
        const move_notice notice = *stream_->moved;
        stream_->moved.reset();
        if (!may_follow(notice, monotonic_now())) {
            log_event(events::move_failed, "request={} source={} target={} reason=target left",
                      request_.id, notice.copy.holder, notice.target.text());
            co_return end;
        }
        const registered_backend* known = state_.registry.find(notice.target);
        registered_backend target;
        target.id = notice.target;
        target.address = notice.target_address;
        target.service = service_->id;
        const destination to{known ? *known : target, notice.copy, std::nullopt};
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
