#pragma once

#include "bamboostream/src/Core/failure.h"
#include "bamboostream/src/Forwarding/forward_request.h"
#include "bamboostream/src/Http/http_connection.h"
#include "bamboostream/src/Http/http_server.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bamboostream {

/// Translates requests and responses between a deployment's wire format and the forwarder's types.
/// Implementations are stateless and make no routing or retry decisions.
class request_codec {
public:
    virtual ~request_codec() = default;
    /// Parses a caller's request. Returns nothing and sets `why` if a field is malformed.
    virtual std::optional<forward_request> parse_request(const http_request& request,
                                                         std::string& why) const = 0;
    /// Serializes the head of the request as it is sent to the backend server. Its body follows
    /// unchanged.
    virtual std::string serialize_head(const http_request& request,
                                       const attempt_parameters& send) const = 0;
    /// Interprets the head of a backend server's response where that to `request` is due.
    virtual parsed_response parse_response(const http_connection& response,
                                           const forward_request& request) const = 0;
    /// The response header fields that are forwarded to the caller.
    virtual std::vector<http_field> response_fields(const http_connection& response) const = 0;
};

/// Why a generation was not moved.
enum class move_error : std::uint8_t {
    none,
    /// The generation has not started or has ended.
    not_running,
    /// Another move of this generation is in progress.
    busy,
    /// The target lacks memory or can't be reached.
    refused,
    /// The source did not respond.
    unreachable,
};
using move_failure = failure<move_error>;

/// Result of copying a running generation to another engine.
struct move_result {
    std::string handle;
    /// The generation is suspended at its source. It must be resumed at the target, or at the
    /// source if `copied` is false.
    bool stopped = false;
    bool copied = false;
};

/// Asks engines whether they are shutting down and moves their running generations.
class generation_mover {
public:
    virtual ~generation_mover() = default;
    /// Whether the engine reports that it is shutting down; nothing if it does not respond.
    virtual boost::asio::awaitable<std::optional<bool>> is_leaving(std::string engine,
                                                                   milliseconds timeout) = 0;
    /// Copies a generation's cache memory from the engine at `source` to the one at `target`. A
    /// second call copies only what was added since the first. With `last`, the generation is
    /// suspended before the copy. Returns nothing and sets `why` on failure.
    virtual boost::asio::awaitable<std::optional<move_result>>
    move(std::string source, std::string generation, std::string target, bool last,
         milliseconds timeout, move_failure& why) = 0;
};

} // namespace bamboostream
