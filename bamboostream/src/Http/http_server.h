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

/// One request on a connection and the means to respond to it. All functions must be called on the
/// traffic thread of the connection. Once a response has been begun, each function that begins
/// another one closes the connection abruptly and returns false.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    virtual const http_request& request() const = 0;
    /// The body of the request, which may be used after the exchange has ended.
    virtual std::shared_ptr<const std::string> shared_body() const = 0;
    virtual boost::asio::any_io_executor executor() = 0;

    /// Sends a complete response. When `content_type` is empty, `fields` may give it. False when
    /// the caller is gone.
    virtual boost::asio::awaitable<bool> respond(int status, std::string_view content_type,
                                                 std::string body,
                                                 std::span<const http_field> fields) = 0;
    /// Sends the head of a chunked response.
    virtual boost::asio::awaitable<bool> begin_stream(int status, std::string_view content_type,
                                                      std::span<const http_field> fields) = 0;
    /// Sends the head of a response whose body is written as it arrives, with its length if that is
    /// known and in chunks otherwise.
    virtual boost::asio::awaitable<bool> begin_body(int status, std::optional<std::uint64_t> length,
                                                    std::span<const http_field> fields) = 0;
    /// Sends `bytes`, as one chunk unless the length was given, and returns once the socket has
    /// accepted it, which is the back pressure for a slow caller. May be called while another
    /// coroutine of the same thread is in `write`. False when the caller is gone or has read
    /// nothing for the write timeout.
    virtual boost::asio::awaitable<bool> write(std::string_view bytes) = 0;
    /// Ends a response that was begun with `begin_stream` or `begin_body`.
    virtual boost::asio::awaitable<bool> end_stream() = 0;
    /// True once a write has failed, the connection has been reset, or a watched caller has closed
    /// it.
    virtual bool caller_gone() const = 0;
    /// Reads ahead on the caller's connection until the response is complete, and calls
    /// `on_disconnect` once if the caller closes the connection. Without it, a caller that gives up
    /// while a backend server is working is noticed only by the next write, and the work continues
    /// for nobody. Must be called at most once.
    virtual void watch_caller(std::function<void()> on_disconnect) = 0;
    /// Closes the connection abruptly, so that a partial response doesn't look complete.
    virtual void abort() = 0;
    /// Announces in the response head that the connection closes after the response, and closes it.
    virtual void close_after_response() = 0;

    boost::asio::awaitable<bool> respond_json(int status, std::string body,
                                              std::span<const http_field> fields = {});
};

using http_handler = std::function<boost::asio::awaitable<void>(http_exchange&)>;

/// Limits of an HTTP server; they bound the memory that one connection can use.
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

/// Accepts connections on one address and assigns them to the given contexts in turn, one context
/// per thread. A malformed or oversized request gets a 400, 413 or 431 response, and its connection
/// is closed; other connections are not affected. A request for whose body the `memory_budget` of
/// its context has no room gets a 503 response with Retry-After, and its body is read but not kept.
/// A request whose handler throws gets a 500 response, unless another one has begun.
class http_server {
public:
    http_server(std::vector<boost::asio::io_context*> contexts, http_limits limits,
                http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Binds `address`, starts accepting and returns the address with the port in use; nothing,
    /// with the reason in `why`, when it can't be bound.
    std::optional<std::string> listen(std::string_view address, std::string& why);
    /// Stops accepting; open connections continue.
    void stop_accepting();
    /// Changes the limits for requests that begin from now on. Must be called on the server's
    /// thread.
    void set_limits(const http_limits& limits);
    /// Number of requests that are being handled.
    std::size_t open_exchanges() const;

private:
    std::shared_ptr<internal::http_server_state> state_;
};

} // namespace bamboostream
