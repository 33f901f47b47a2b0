#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Http/http_server.h"
#include "bamboostream/src/Streams/token_stream.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bamboostream {

/// Token timing of a stream as seen by its caller.
struct stream_timing {
    time_point accepted{};
    time_point first_token{};
    time_point last_token{};
    duration longest_gap{0};
    std::uint64_t tokens = 0;

    void on_token(time_point now);
};

/// Writes a stream to its caller as server-sent events: the resume handle before any token, each
/// token with its generation and number, heartbeats while there are no tokens, and a final event
/// with the outcome.
///
/// The response head is delayed by up to 800 ms while the request waits in the queue, so that a
/// refusal can still be sent as an ordinary error response and the head can carry the resume
/// handle. After that the head is sent without a handle and heartbeats start. A caller that
/// receives nothing for two seconds can therefore conclude that its instance is frozen or gone,
/// rather than that the queue is long.
class sse_writer final : public token_sink {
public:
    sse_writer(http_exchange& exchange, time_point accepted);
    ~sse_writer() override;
    sse_writer(const sse_writer&) = delete;
    sse_writer& operator=(const sse_writer&) = delete;

    /// Starts the coroutine that sends the delayed head and the heartbeats.
    void start_heartbeats();
    /// Stops that coroutine and waits until it no longer uses the exchange. Must be awaited before
    /// the writer is destroyed.
    boost::asio::awaitable<void> stop_heartbeats();

    boost::asio::awaitable<bool> token(const issued_handle& handle, std::uint64_t number,
                                       std::string_view text) override;
    bool caller_gone() const override { return exchange_.caller_gone(); }

    bool head_sent() const { return head_sent_; }
    /// Tells the caller to discard the tokens of `old_generation`, because a new generation
    /// follows.
    boost::asio::awaitable<bool> restart(std::string_view old_generation);
    /// Sends the outcome and ends the stream.
    boost::asio::awaitable<bool> finish(std::string_view generation, outcome result,
                                        std::uint64_t tokens, std::string_view finish_reason,
                                        milliseconds retry_after, std::string_view message);
    const stream_timing& timing() const { return timing_; }

private:
    struct heartbeat_state;
    static boost::asio::awaitable<void> run_heartbeats(std::shared_ptr<heartbeat_state> state,
                                                       sse_writer* writer);
    boost::asio::awaitable<bool> send_head(const issued_handle* handle);
    boost::asio::awaitable<bool> announce(const issued_handle& handle);

    http_exchange& exchange_;
    stream_timing timing_;
    bool head_sent_ = false;
    /// Id of the generation whose handle was last sent to the caller.
    std::string announced_;
    time_point last_write_{};
    std::string line_;
    std::shared_ptr<heartbeat_state> heartbeats_;
};

/// Collects the text of a non-streaming response. Discards the text collected so far when a new
/// generation starts. Reports the caller as gone once the text exceeds 16 MiB, which ends the run.
class answer_buffer final : public token_sink {
public:
    explicit answer_buffer(time_point accepted) { timing_.accepted = accepted; }
    boost::asio::awaitable<bool> token(const issued_handle& handle, std::uint64_t number,
                                       std::string_view text) override;
    bool caller_gone() const override { return overflow_; }
    const std::string& text() const { return text_; }
    const stream_timing& timing() const { return timing_; }

private:
    std::string text_;
    std::string generation_;
    stream_timing timing_;
    bool overflow_ = false;
};

/// Response header field that carries the resume handle of a stream.
inline constexpr std::string_view resume_field = "Resume-Handle";

} // namespace bamboostream
