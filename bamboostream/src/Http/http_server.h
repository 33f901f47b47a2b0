#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Http/message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// One request on a connection and the ways to answer it. Lives on the traffic thread of its
/// connection; every function must be called there.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    virtual const http_request& request() const = 0;
    virtual boost::asio::any_io_executor executor() = 0;

    /// Sends a whole answer. An empty `content_type` leaves that field to `fields`. False when the
    /// caller is gone.
    virtual boost::asio::awaitable<bool> respond(int status, std::string_view content_type,
                                                 std::string body,
                                                 std::span<const http_field> fields) = 0;
    /// Sends the head of a chunked answer.
    virtual boost::asio::awaitable<bool> begin_stream(int status, std::string_view content_type,
                                                      std::span<const http_field> fields) = 0;
    /// Sends `bytes` as one chunk and returns once the socket took it, which is the back pressure
    /// for a slow caller. Safe to call while another coroutine of the same thread is in `write`.
    /// False when the caller is gone or took nothing for the write limit.
    virtual boost::asio::awaitable<bool> write(std::string_view bytes) = 0;
    /// Ends a chunked answer.
    virtual boost::asio::awaitable<bool> end_stream() = 0;
    /// True once a write has failed, the connection was reset, or a watched caller has closed.
    virtual bool caller_gone() const = 0;
    /// Reads ahead on the caller's connection until the answer is complete, and calls
    /// `on_disconnect` once when the caller closes. Without it a caller that gives up while a
    /// backend server is at work is noticed only by the next write, and the work goes on for
    /// nobody. Call it at most once.
    virtual void watch_caller(std::function<void()> on_disconnect) = 0;
    /// Breaks the connection off, so that an answer that has begun doesn't look complete.
    virtual void abort() = 0;
    /// Says in the head of the answer that the connection closes after it.
    virtual void close_after_response() = 0;

    boost::asio::awaitable<bool> respond_json(int status, std::string body,
                                              std::span<const http_field> fields = {});
};

using http_handler = std::function<boost::asio::awaitable<void>(http_exchange&)>;

/// Limits of an HTTP server; they bound the memory that one connection can take.
struct http_limits {
    std::size_t head_bytes = 16 * 1024;
    std::size_t body_bytes = 1024 * 1024;
    std::size_t connections = 20'000;
    milliseconds head_timeout{10'000};
    milliseconds idle_timeout{60'000};
    milliseconds write_timeout{30'000};
};

namespace internal {
struct http_server_state;
}

/// Accepts connections on one address and hands each to one of the given threads' contexts in
/// turn. Malformed or over-long requests are answered with 400, 413 or 431 and the connection is
/// closed; the server goes on.
class http_server {
public:
    http_server(std::vector<boost::asio::io_context*> contexts, http_limits limits,
                http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Binds and starts to accept; nothing and `why` when the address can't be bound. The result
    /// is the address with the port in use.
    std::optional<std::string> listen(std::string_view address, std::string& why);
    /// Stops accepting; open connections go on.
    void stop_accepting();
    /// Changes the limits for requests that begin from now on. On the servers' thread.
    void set_limits(const http_limits& limits);
    /// Requests being answered now.
    std::size_t open_exchanges() const;

private:
    std::shared_ptr<internal::http_server_state> state_;
};

} // namespace bamboostream
