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

/// How requests and answers look on the wire of a deployment. An implementation only translates:
/// it keeps no state and decides nothing.
class request_codec {
public:
    virtual ~request_codec() = default;
    /// The caller's request; nothing, with the reason, when a field is malformed.
    virtual std::optional<forward_request> read_request(const http_request& request,
                                                        std::string& why) const = 0;
    /// The bytes of the request as the backend server gets it.
    virtual std::string write_request(const http_request& request,
                                      const forward_send& send) const = 0;
    virtual answer_facts read_answer(const http_connection& answer,
                                     const forward_request& request) const = 0;
    /// The fields of the answer that go on to the caller.
    virtual std::vector<http_field> answer_fields(const http_connection& answer) const = 0;
};

/// What came of moving a generation.
enum class move_error : std::uint8_t {
    none,
    /// It has not begun or has ended.
    not_running,
    /// Another move of it is under way.
    busy,
    /// The target has no room or can't be reached.
    refused,
    /// The source didn't answer.
    unreachable,
};
using move_failure = failure<move_error>;

/// A copy of a running generation.
struct move_result {
    std::string handle;
    /// The generation stands still at its source; it must be taken up elsewhere, or at the source
    /// when `copied` is false.
    bool stopped = false;
    bool copied = false;
};

/// Orders to engines about generations that run on them.
class generation_mover {
public:
    virtual ~generation_mover() = default;
    /// Whether the engine says that it leaves; nothing when it doesn't answer.
    virtual boost::asio::awaitable<std::optional<bool>> leaves(std::string engine,
                                                               milliseconds timeout) = 0;
    /// Copies the memory of a generation from the engine at `source` to the one at `target`; a
    /// second call copies what has come since. `last` stops the generation first.
    virtual boost::asio::awaitable<std::optional<move_result>>
    move(std::string source, std::string generation, std::string target, bool last,
         milliseconds timeout, move_failure& why) = 0;
};

} // namespace bamboostream
