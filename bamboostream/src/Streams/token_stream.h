#pragma once

#include "bamboostream/src/Streams/resume_handle.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace bamboostream {

/// How a request ended, as its caller is told.
enum class outcome : std::uint8_t {
    /// The whole answer was delivered.
    completed,
    /// Nothing was run; safe to ask again with any key.
    not_run,
    /// The engine was lost; the tokens delivered are right but not all.
    incomplete,
    /// It can't be known whether the call ran.
    unknown,
};
std::string_view to_string(outcome o);

/// Where the tokens of one request go: to a caller as server-sent events, or into a buffer for a
/// whole answer.
class token_sink {
public:
    virtual ~token_sink() = default;
    /// A token of the generation behind `handle`. The first token of a generation starts it: its
    /// handle reaches the caller before the token does.
    virtual boost::asio::awaitable<bool> token(const issued_handle& handle, std::uint64_t number,
                                               std::string_view text) = 0;
    /// The caller can't be reached any more.
    virtual bool caller_gone() const = 0;
};

/// Emits the tokens of one generation into a sink. It can only be made from an issued handle.
class token_stream {
public:
    template <class Handle>
    token_stream(token_sink& sink, const Handle& handle) : sink_(sink), handle_(handle) {
        static_assert(std::is_same_v<Handle, issued_handle>,
                      "A_TOKEN_MUST_NOT_BE_EMITTED_BEFORE_ITS_RESUME_HANDLE_WAS_ISSUED");
    }

    boost::asio::awaitable<bool> token(std::uint64_t number, std::string_view text) {
        return sink_.token(handle_, number, text);
    }
    bool caller_gone() const { return sink_.caller_gone(); }

private:
    token_sink& sink_;
    const issued_handle& handle_;
};

} // namespace bamboostream
