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

/// The one shape of every error answer; docs/CONTRACTS.md lists the codes.
struct error_answer {
    int status = 400;
    std::string_view code;
    std::string message;
    /// "not_run", "unknown" or empty when nothing could have run.
    std::string_view outcome;
    /// When to come back; zero when coming back is of no use.
    milliseconds retry_after{0};
    std::vector<validation_error> errors;
};

/// An error of which nothing but code and message is to be said.
error_answer make_error(int status, std::string_view code, std::string message);

/// A refusal before anything ran, with the time to come back.
error_answer make_refusal(std::string_view code, std::string message, milliseconds retry_after);

/// The answer as JSON text.
std::string to_json(const error_answer& error);

/// Sends it, with `Retry-After` when there is a time to come back.
boost::asio::awaitable<bool> respond_error(http_exchange& exchange, const error_answer& error);

} // namespace bamboostream
