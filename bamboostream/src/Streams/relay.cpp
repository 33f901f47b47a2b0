#include "bamboostream/src/Streams/relay.h"

#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Http/server_sent_events.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Slack so that the timer fires after the limit and not just before it.
constexpr milliseconds watch_slack{10};
constexpr std::size_t longest_event = 256 * 1024;
/// Dropped events of one stream that are logged one by one; the rest are only counted.
constexpr std::uint32_t logged_drops = 1;
constexpr std::array<std::string_view, 4> outcome_names = {"completed", "not_run", "incomplete",
                                                           "unknown"};

/// Closes a stream that has been silent for too long. The timer is set for the earliest moment at
/// which that can be, so a flowing stream costs a wake-up a limit, not one a token.
struct silence_watch {
    silence_watch(const asio::any_io_executor& executor, milliseconds silence_limit)
        : timer(executor), limit(silence_limit) {}
    asio::steady_timer timer;
    milliseconds limit;
    http_stream* stream = nullptr;
    time_point last_bytes = monotonic_now();
    bool closed = false;
    bool ended = false;
};

asio::awaitable<void> watch_silence(std::shared_ptr<silence_watch> watch) {
    while (!watch->ended) {
        const bool reading = watch->stream != nullptr;
        const time_point from = reading ? watch->last_bytes : monotonic_now();
        watch->timer.expires_at(from + watch->limit + watch_slack);
        boost::system::error_code ec;
        co_await watch->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        const bool silent = monotonic_now() - watch->last_bytes > watch->limit;
        if (!watch->ended && watch->stream != nullptr && silent) {
            watch->closed = true;
            watch->stream->close();
            watch->stream = nullptr;
        }
    }
}

/// Ends the watch when the relay ends, whichever way.
class watch_guard {
public:
    explicit watch_guard(std::shared_ptr<silence_watch> watch) : watch_(std::move(watch)) {}
    ~watch_guard() {
        watch_->ended = true;
        watch_->stream = nullptr;
        watch_->timer.cancel();
    }
    watch_guard(const watch_guard&) = delete;
    watch_guard& operator=(const watch_guard&) = delete;

private:
    std::shared_ptr<silence_watch> watch_;
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
    // A lost answer may mean that the generation runs: `run` asks for it by its id.
    co_return co_await run(std::move(stream), request.generation, 0, out, progress);
}

asio::awaitable<relay_result> relay::resume(generation_id generation, std::uint64_t from,
                                            token_stream& out, relay_progress& progress) {
    co_return co_await run(nullptr, std::move(generation), from, out, progress);
}

asio::awaitable<std::shared_ptr<http_stream>>
relay::reconnect(const generation_id& generation, std::uint64_t from, relay_result& result) {
    const time_point give_up =
        monotonic_now() + (from == 0 ? timing_.lost_before_first_token : timing_.lost_after);
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
        refusals = monotonic_now() - asked < timing_.quick_failure ? refusals + 1 : 0;
        if (refusals >= timing_.refusals_until_lost) {
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
    auto watch = std::make_shared<silence_watch>(executor_, timing_.silence_limit);
    watch_guard guard(watch);
    asio::co_spawn(executor_, watch_silence(watch), asio::detached);
    time_point last_progress = monotonic_now();
    auto reader = std::make_unique<sse_parser>();
    auto parser = std::make_unique<engine_event_parser>();
    while (true) {
        if (!stream) {
            stream = co_await reconnect(generation, sequencer.next(), result);
            if (!stream) {
                result.end = relay_end::lost;
                break;
            }
            reader = std::make_unique<sse_parser>();
        }
        watch->stream = stream.get();
        watch->last_bytes = monotonic_now();
        const bool more = co_await stream->read(reader->buffer());
        watch->last_bytes = monotonic_now();
        watch->stream = nullptr;
        bool broken = !more;
        sse_parser::event event;
        while (!broken && reader->next(event)) {
            if (event.comment_only) {
                continue;
            }
            engine_event parsed;
            if (!parser->parse(event.data, parsed)) {
                ++result.dropped;
                continue;
            }
            const token_verdict verdict =
                sequencer.judge(parsed.generation, parsed.sequence, parsed.final);
            if (verdict == token_verdict::deliver) {
                last_progress = watch->last_bytes;
                progress.tokens.store(static_cast<std::uint32_t>(sequencer.next()),
                                      std::memory_order_relaxed);
                if (!co_await out.token(parsed.sequence, parsed.text)) {
                    result.end = relay_end::caller_gone;
                    result.tokens = sequencer.next();
                    co_return result;
                }
            } else if (verdict == token_verdict::finish) {
                result.finish_reason = std::string(parsed.finish_reason);
                result.end = result.finish_reason == "cancelled" ? relay_end::cancelled
                                                                 : relay_end::completed;
                result.tokens = sequencer.next();
                co_return result;
            } else if (verdict == token_verdict::gap) {
                broken = true;
            } else if (++result.dropped <= logged_drops) {
                log_event(events::foreign_event_dropped, "backend={} generation={} number={}",
                          backend_.text(), sequencer.generation(), parsed.sequence);
            }
        }
        if (reader->buffered_more_than(longest_event)) {
            broken = true;
        }
        if (out.gone()) {
            result.end = relay_end::caller_gone;
            break;
        }
        if (broken) {
            stream->close();
            stream.reset();
            // An engine that takes the stream up again and again without a token of it is as lost
            // as one that does not answer.
            if (monotonic_now() - last_progress > timing_.lost_after) {
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
