#pragma once

#include "test/platform/scripted_backend.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bamboostream::test {

/// Responses that a faulty server goes on with until its peer closes the connection.
enum class endless_kind : std::uint8_t {
    head_line,
    head_fields,
    interim_responses,
    beyond_length,
    chunks,
    chunk_extension,
    chunk_extensions,
    trailers,
    unframed_body,
    event_line,
    comments,
    empty_lines,
    /// Bytes that begin no response.
    no_response,
};

std::string_view to_string(endless_kind kind);

/// What is sent once, and what is then sent again and again.
struct endless_bytes {
    std::string begin;
    std::string repeated;
};

/// `attempt` is the Attempt-Id of the request.
endless_bytes endless_response(endless_kind kind, const std::string& attempt);

/// What a server has sent.
struct endless_record {
    std::size_t bytes = 0;
    int responses = 0;
    /// Responses that the peer has ended by closing the connection.
    int closed = 0;
};

/// Answers each request with an endless response: as fast as the peer reads, or a byte each
/// `ms_per_byte`.
backend_script send_endlessly(endless_kind kind, int ms_per_byte,
                              const std::shared_ptr<endless_record>& record);

} // namespace bamboostream::test
