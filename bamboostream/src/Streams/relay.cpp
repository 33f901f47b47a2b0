#include "bamboostream/src/Streams/relay.h"

#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Http/event_stream_limits.h"
#include "bamboostream/src/Http/server_sent_events.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Added to the timer so that it fires after the limit and not just before it.
constexpr milliseconds timer_slack{10};
/// Dropped events per stream that are logged individually; the rest are only counted.
constexpr std::uint32_t max_logged_drops = 1;
constexpr std::array<std::string_view, 4> outcome_names = {"completed", "not_run", "incomplete",
                                                           "unknown"};

/// Closes a stream on which no bytes have arrived for `limit`. The timer is set to the earliest
/// time at which that can happen, so an active stream costs one wake-up per `limit`, not per token.
struct idle_watchdog {
    idle_watchdog(const asio::any_io_executor& executor, milliseconds idle_timeout)
        : timer(executor), limit(idle_timeout) {}
    asio::steady_timer timer;
    milliseconds limit;
    http_stream* stream = nullptr;
    time_point last_bytes = monotonic_now();
    bool closed = false;
    bool ended = false;
};

asio::awaitable<void> run_idle_watchdog(std::shared_ptr<idle_watchdog> watchdog) {
    while (!watchdog->ended) {
        const bool reading = watchdog->stream != nullptr;
        const time_point from = reading ? watchdog->last_bytes : monotonic_now();
        watchdog->timer.expires_at(from + watchdog->limit + timer_slack);
        boost::system::error_code ec;
        co_await watchdog->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        const bool silent = monotonic_now() - watchdog->last_bytes > watchdog->limit;
        if (!watchdog->ended && watchdog->stream != nullptr && silent) {
            watchdog->closed = true;
            watchdog->stream->close();
            watchdog->stream = nullptr;
        }
    }
}

/// Stops the watchdog when the relay returns or throws.
class watchdog_guard {
public:
    explicit watchdog_guard(std::shared_ptr<idle_watchdog> watchdog)
        : watchdog_(std::move(watchdog)) {}
    ~watchdog_guard() {
        watchdog_->ended = true;
        watchdog_->stream = nullptr;
        watchdog_->timer.cancel();
    }
    watchdog_guard(const watchdog_guard&) = delete;
    watchdog_guard& operator=(const watchdog_guard&) = delete;

private:
    std::shared_ptr<idle_watchdog> watchdog_;
};

} // namespace

std::string_view to_string(outcome o) {
    return outcome_names[static_cast<std::size_t>(o)];
}

relay::relay(asio::any_io_executor executor, backend_id backend, relay_timing timing)
    : executor_(executor), backend_(backend), engine_(std::move(executor), std::move(backend)),
      timing_(timing) {}

asio::awaitable<relay_result> relay::start(const generation_request& request, token_stream& out,
                                           relay_progress& progress) {
    engine_failure why;
    auto stream = co_await engine_.start(request, timing_.start_timeout, why);
    const bool refused = why.code == engine_error::not_run || why.code == engine_error::leaving ||
                         why.code == engine_error::unreachable;
    if (!stream && refused) {
        relay_result result;
        result.end = relay_end::not_run;
        result.unreachable = why.code == engine_error::unreachable;
        result.why = why.text;
        co_return result;
    }
    // The generation may be running although the response was lost: `run` resumes it by its id.
    co_return co_await run(std::move(stream), request.generation, 0, out, progress);
}

asio::awaitable<relay_result> relay::resume(generation_id generation, std::uint64_t from,
                                            token_stream& out, relay_progress& progress) {
    co_return co_await run(nullptr, std::move(generation), from, out, progress);
}

asio::awaitable<std::shared_ptr<http_stream>>
relay::reconnect(const generation_id& generation, std::uint64_t from, relay_result& result) {
    const time_point give_up = monotonic_now() + (from == 0 ? timing_.first_token_lost_timeout
                                                            : timing_.engine_lost_timeout);
    int refusals = 0;
    milliseconds pause_time = timing_.retry_pause;
    while (monotonic_now() < give_up) {
        engine_failure why;
        const time_point asked = monotonic_now();
        auto stream = co_await engine_.resume(generation, from, timing_.reconnect_timeout, why);
        if (stream) {
            ++result.resumed;
            co_return stream;
        }
        result.why = why.text;
        if (why.code == engine_error::unknown_generation) {
            co_return nullptr;
        }
        refusals = monotonic_now() - asked < timing_.refusal_threshold ? refusals + 1 : 0;
        if (refusals >= timing_.max_consecutive_refusals) {
            co_return nullptr;
        }
        asio::steady_timer pause(executor_, pause_time);
        pause_time *= 2;
        co_await pause.async_wait(asio::use_awaitable);
    }
    co_return nullptr;
}

asio::awaitable<relay_result> relay::run(std::shared_ptr<http_stream> stream,
                                         generation_id generation, std::uint64_t from,
                                         token_stream& out, relay_progress& progress) {
    relay_result result;
    token_sequencer sequencer(generation.text(), from);
    auto watchdog = std::make_shared<idle_watchdog>(executor_, timing_.idle_timeout);
    watchdog_guard guard(watchdog);
    asio::co_spawn(executor_, run_idle_watchdog(watchdog), log_exception);
    time_point last_progress = monotonic_now();
    auto reader = std::make_unique<sse_parser>();
    response_guard& responses = response_guard::of(executor_);
    const response_limits limits = responses.limits();
    auto stream_limits = std::make_unique<event_stream_limits>(limits, responses);
    auto parser = std::make_unique<engine_event_parser>();
    while (true) {
        if (!stream) {
            stream = co_await reconnect(generation, sequencer.next(), result);
            if (!stream) {
                result.end = relay_end::lost;
                break;
            }
            reader = std::make_unique<sse_parser>();
            stream_limits = std::make_unique<event_stream_limits>(limits, responses);
        }
        watchdog->stream = stream.get();
        watchdog->last_bytes = monotonic_now();
        std::string& buffer = reader->buffer();
        const std::size_t buffered_before = buffer.size();
        const bool more = co_await stream->read(buffer);
        const std::size_t received = buffer.size() - buffered_before;
        watchdog->last_bytes = monotonic_now();
        watchdog->stream = nullptr;
        bool broken = !more;
        bool any_parsed = false;
        bool any_token = false;
        sse_parser::event event;
        while (!broken && reader->next(event)) {
            any_parsed = true;
            if (event.comment_only) {
                continue;
            }
            engine_event parsed;
            if (!parser->parse(event.data, parsed)) {
                ++result.dropped;
                continue;
            }
            const token_action action =
                sequencer.evaluate(parsed.generation, parsed.sequence, parsed.final);
            if (action == token_action::deliver) {
                any_token = true;
                last_progress = watchdog->last_bytes;
                progress.tokens.store(static_cast<std::uint32_t>(sequencer.next()),
                                      std::memory_order_relaxed);
                if (!co_await out.token(parsed.sequence, parsed.text)) {
                    result.end = relay_end::caller_gone;
                    result.tokens = sequencer.next();
                    co_return result;
                }
            } else if (action == token_action::finish) {
                result.finish_reason = std::string(parsed.finish_reason);
                result.end = result.finish_reason == "cancelled" ? relay_end::cancelled
                                                                 : relay_end::completed;
                result.tokens = sequencer.next();
                co_return result;
            } else if (action == token_action::gap) {
                broken = true;
            } else if (++result.dropped <= max_logged_drops) {
                log_event(events::foreign_event_dropped, "backend={} generation={} number={}",
                          backend_.text(), sequencer.generation(), parsed.sequence);
            }
        }
        // Part of an event is no token yet, and doesn't count.
        const bool idle = any_parsed && !any_token;
        const response_limit exceeded = stream_limits->check(
            {reader->buffered(), reader->capacity(), any_parsed, idle ? received : 0},
            watchdog->last_bytes);
        if (exceeded != response_limit::none) {
            stream->exceed(exceeded);
            broken = true;
        }
        if (out.caller_gone()) {
            result.end = relay_end::caller_gone;
            break;
        }
        if (broken) {
            stream->close();
            stream.reset();
            // An engine that repeatedly resumes the stream without delivering a token is treated
            // like one that does not respond.
            if (monotonic_now() - last_progress > timing_.engine_lost_timeout) {
                result.end = relay_end::lost;
                result.why = "the engine resumes the generation but sends nothing of it";
                break;
            }
        }
    }
    result.tokens = sequencer.next();
    co_return result;
}

} // namespace bamboostream
