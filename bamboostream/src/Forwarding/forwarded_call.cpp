#include "bamboostream/src/Forwarding/forwarded_call.h"

#include "bamboostream/src/Control/periodic.h"
#include "bamboostream/src/Core/event_log.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

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
/// Answers kept whole; larger ones are no answers of plain services.
constexpr std::size_t answer_limit = 8 * 1024 * 1024;
/// Times to come back lie between these, spread so that a crowd doesn't return at once. Callers
/// wait at most a third of the time they have left, so the time follows the route's objective.
constexpr double least_return_s = 0.1;
constexpr double most_return_s = 1.0;
/// A refused request comes back after this part of its objective, doubled at most by the spread.
constexpr double return_part = 0.5;
/// Engines read some prompt and put out some tokens for requests that say nothing of their size.
constexpr std::int64_t assumed_memory_tokens = 1'000;

/// A long stream that an instance takes while it shuts down is cut when the grace ends, after 8 s,
/// and may not run again. It is sent elsewhere at once; callers use another address after a
/// refusal.
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

std::string_view name_of(attempt_end end) {
    static constexpr std::array<std::string_view, 5> names = {"not_sent", "not_run", "lost",
                                                              "silent", "failed"};
    return names[static_cast<std::size_t>(end)];
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
    if (state_.leaving && is_movable()) {
        return rejection{503, "leaving", true, elsewhere_at_once_s};
    }
    const milliseconds patience = request_.patience.value_or(route_->timeout);
    deadline_ = arrival_ + std::min(patience, route_->timeout);
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

attempt_end forwarded_call::fail(const destination& to, attempt_end end, std::string_view reason) {
    history_.note(end);
    const bool counts =
        end == attempt_end::not_sent || end == attempt_end::lost || end == attempt_end::silent;
    if (counts && !left_) {
        state_.picker.on_failure(to.backend.id, state_.registry.usable(service_->id).size(),
                                 monotonic_now());
    }
    if (end == attempt_end::not_sent && !left_) {
        state_.picker.on_unreachable(to.backend.id, monotonic_now());
    }
    log_event(events::attempt_failed,
              "request={} route={} backend={} address={} end={} reason={} sends={} after_ms={:.0f}",
              request_.id, route_->name, to.backend.id.text(), to.backend.address, name_of(end),
              reason, history_.sends, to_milliseconds(monotonic_now() - arrival_));
    return end;
}

asio::awaitable<bool> forwarded_call::open_channel(const registered_backend& backend) {
    const time_point now = monotonic_now();
    const bool once = route_->repeats == repeat_rule::once;
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
    if (!may_try_again(route_->repeats, route_->most_attempts, after, attempt_end::silent)) {
        return deadline_;
    }
    return std::min(deadline_, monotonic_now() + objectives_a_try * route_->objective);
}

asio::awaitable<std::optional<attempt_end>> forwarded_call::attempt(const destination& to) {
    enter_work(to.backend.id);
    if (!co_await open_channel(to.backend)) {
        co_return fail(to, attempt_end::not_sent, "no connection");
    }
    const time_point now = monotonic_now();
    if (left_ || now >= deadline_) {
        co_return fail(to, attempt_end::not_sent, "no time left");
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
    channel_->expire_at(to.copy ? deadline_ : attempt_limit());
    http_failure why;
    if (!co_await channel_->read_head(why)) {
        co_return fail(to, channel_->timed_out() ? attempt_end::silent : attempt_end::lost,
                       why.text);
    }
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
    state_.picker.on_success(to.backend.id, monotonic_now());
    leave_work();
    co_await exchange_.respond(answer.status, {}, std::move(answer.body), answer.fields);
    state_.counters.count(forward_result::answered);
    log_event(events::request_ended, "request={} route={} backend={} status={} after_ms={:.0f}",
              request_.id, route_->name, to.backend.id.text(), facts.status,
              to_milliseconds(monotonic_now() - arrival_));
    co_return std::nullopt;
}

bool forwarded_call::is_movable() const {
    return route_->repeats == repeat_rule::once && service_->engine && service_->engine->moves;
}

asio::awaitable<bool> forwarded_call::pass_on(std::string_view events, int status) {
    const time_point now = monotonic_now();
    longest_pause_ = begun_ ? std::max(longest_pause_, now - latest_event_) : duration{};
    latest_event_ = now;
    if (!begun_) {
        begun_ = true;
        first_event_ = now;
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
    const bool may_go_on = route_->repeats == repeat_rule::resumable;
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
    state_.picker.on_success(to.backend.id, monotonic_now());
    state_.counters.count(forward_result::answered);
    log_event(events::request_ended,
              "request={} route={} backend={} events={} sends={} first_ms={:.0f} "
              "longest_pause_ms={:.0f} after_ms={:.0f}",
              request_.id, route_->name, to.backend.id.text(), splitter_.events(), history_.sends,
              to_milliseconds(first_event_ - arrival_), to_milliseconds(longest_pause_),
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

/// Goes on where the generation was moved to, as often as it is moved. A target that doesn't take
/// the copy leaves the generation at the engine that stopped it, which still has its memory.
asio::awaitable<std::optional<attempt_end>> forwarded_call::follow_moves(attempt_end end) {
    while (!left_ && co_await await_move()) {
        const move_notice notice = *stream_->moved;
        stream_->moved.reset();
        const registered_backend* known = state_.registry.find(notice.target);
        registered_backend target;
        target.id = notice.target;
        target.address = notice.target_address;
        target.service = service_->id;
        const destination to{known ? *known : target, notice.copy};
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
              request_.id, route_->name, service_->id.text(), to_string(result), name_of(end),
              history_.sends, history_.failed_connects,
              to_milliseconds(monotonic_now() - arrival_));
}

} // namespace bamboostream
