#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/failure.h"
#include "bamboostream/src/Http/message.h"
#include "bamboostream/src/Http/response_limits.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bamboostream {

using http_failure = failure<http_error>;

/// A response whose body is read as it arrives. Not thread-safe: all calls must be made on one
/// thread.
class http_stream {
public:
    virtual ~http_stream() = default;

    virtual int status() const = 0;
    virtual std::string_view field(std::string_view name) const = 0;
    /// Appends the next part of the body to `into`. False at the end of the body or on a failure;
    /// `complete()` tells which.
    virtual boost::asio::awaitable<bool> read(std::string& into) = 0;
    /// True when the whole body has been read, as framed by the server.
    virtual bool complete() const = 0;
    /// Closes the connection; a `read` in progress returns false.
    virtual void close() = 0;
    /// Records that the response has exceeded a limit, and closes the connection.
    virtual void exceed(response_limit limit) = 0;
};

/// Sends a request and reads the head of the response. Connecting and the exchange take at most
/// `timeout` each. On failure the result is null, and `why` tells whether any byte of the request
/// may have reached the server.
boost::asio::awaitable<std::shared_ptr<http_stream>>
open_http_stream(boost::asio::any_io_executor executor, std::string address, http_request request,
                 milliseconds timeout, http_failure& why);

/// Sends a request and reads the whole response within `limits`. Connecting, the response head and
/// the body take at most `timeout` each. On failure the result is empty, with the reason in `why`.
boost::asio::awaitable<std::optional<http_response>>
fetch(boost::asio::any_io_executor executor, std::string address, http_request request,
      milliseconds timeout, http_failure& why, response_limits limits = {});

/// Builds a request with a JSON body, or without one when `body` is empty.
http_request make_request(std::string_view method, std::string_view target, std::string body = {});

} // namespace bamboostream
