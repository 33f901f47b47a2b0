#pragma once

#include "bamboostream/src/Streams/resume_handle.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace bamboostream {

/// How a request ended, as reported to its caller.
enum class outcome : std::uint8_t {
    /// The complete response was delivered.
    completed,
    /// The request was not executed; retrying with any key is safe.
    not_run,
    /// The engine was lost. The tokens delivered are correct, but some are missing.
    incomplete,
    /// It is unknown whether the call was executed.
    unknown,
};
/// Name of an outcome on the wire and in log lines.
std::string_view to_string(outcome o);

/// Receives the tokens of one request. Implementations send them to the caller as server-sent
/// events or buffer them for a single response.
class token_sink {
public:
    virtual ~token_sink() = default;
    /// Writes a token of the generation identified by `handle`. For the first token of a
    /// generation, the handle is sent to the caller before the token. Returns false if the caller
    /// has gone.
    virtual boost::asio::awaitable<bool> token(const issued_handle& handle, std::uint64_t sequence,
                                               std::string_view text) = 0;
    /// Whether the caller has disconnected.
    virtual bool caller_gone() const = 0;
};

/// Emits the tokens of one generation into a sink. Can only be constructed from an issued handle.
class token_stream {
public:
    template <class Handle>
    token_stream(token_sink& sink, const Handle& handle) : sink_(sink), handle_(handle) {
        static_assert(std::is_same_v<Handle, issued_handle>,
                      "A_TOKEN_MUST_NOT_BE_EMITTED_BEFORE_ITS_RESUME_HANDLE_WAS_ISSUED");
    }

    boost::asio::awaitable<bool> token(std::uint64_t sequence, std::string_view text) {
        return sink_.token(handle_, sequence, text);
    }
    bool caller_gone() const { return sink_.caller_gone(); }

private:
    token_sink& sink_;
    const issued_handle& handle_;
};

} // namespace bamboostream
