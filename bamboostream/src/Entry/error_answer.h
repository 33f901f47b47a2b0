#pragma once

#include "bamboostream/src/Contracts/json_reader.h"
#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Http/http_server.h"

#include <boost/asio/awaitable.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// An error response. All error responses have this format; docs/CONTRACTS.md lists the codes.
struct error_answer {
    int status = 400;
    std::string_view code;
    std::string message;
    /// Whether the request was executed: an outcome name such as "not_run" or "unknown"; empty when
    /// the request was rejected in a way that rules out any execution.
    std::string_view outcome;
    /// Delay after which the caller may retry; zero when a retry cannot succeed.
    milliseconds retry_after{0};
    std::vector<validation_error> errors;
};

/// Returns an error without outcome and retry delay.
error_answer make_error(int status, std::string_view code, std::string message);

/// Returns a 503 error for a request that was refused before anything ran (outcome "not_run").
error_answer make_refusal(std::string_view code, std::string message, milliseconds retry_after);

/// Serializes the error as a JSON response body.
std::string to_json(const error_answer& error);

/// Logs the error and sends it as the response, with a `Retry-After` field (in whole seconds,
/// rounded up) when `retry_after` is set.
boost::asio::awaitable<bool> respond_error(http_exchange& exchange, const error_answer& error);

} // namespace bamboostream
