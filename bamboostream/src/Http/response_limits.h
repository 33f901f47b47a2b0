#pragma once

#include "bamboostream/src/Core/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace bamboostream {

/// The limit that a response has exceeded; the label `kind` of its metric.
enum class response_limit : std::uint8_t {
    none,
    /// Bytes of one response head.
    head_bytes,
    /// Time from the first byte of a head to its end.
    head_time,
    /// Number of interim responses (1xx).
    interim_responses,
    /// Bytes of chunk extensions, chunk headers and trailers.
    framing_bytes,
    /// Bytes of the body.
    body_bytes,
    /// Time of a body that keeps arriving.
    body_time,
    /// Bytes of an event that isn't complete.
    event_bytes,
    /// Time from the first byte of an event to its end.
    event_time,
    /// Bytes of comments, empty lines and repeated events.
    bytes_without_event,
    /// The memory of all responses that are kept at the same time.
    memory,
    /// Bytes that follow a complete response.
    surplus_bytes,
    count_,
};

/// Name of a limit in metrics and log lines.
std::string_view to_string(response_limit limit);

/// Limits on a response of a server. They hold for bytes that a server has sent, whatever it means
/// by them, so a sound response must stay far from each of them.
struct response_limits {
    /// At most 16 KB, which is the size of the buffer. Heads of the deployments' servers take less
    /// than 1 KB.
    std::size_t head_bytes = 8 * 1024;
    /// Servers write a head at once; a packet that is lost is sent again within 0.2 to 1 s. Checked
    /// when further bytes arrive, so a server that computes before it answers isn't affected.
    milliseconds head_time{2'000};
    /// Servers send one 100, and possibly a few 102 and 103.
    int interim_responses = 16;
    /// Framing that is allowed for a body without a byte, and then for each byte. A chunk of one
    /// byte takes six bytes of framing.
    std::size_t framing_bytes = 16 * 1024;
    std::size_t framing_per_body_byte = 8;
    /// Larger bodies are cut off. Non-streaming services of the deployments send far less.
    std::size_t body_bytes = 8 * 1024 * 1024;
    /// Bodies up to this size are kept until they are complete, so that the request can be repeated
    /// elsewhere if they break off; larger ones are forwarded as they arrive.
    std::size_t kept_body_bytes = 256 * 1024;
    /// Time of a body beyond that in which its bytes arrive at `min_body_bytes_per_second`. Empty
    /// for requests that have a deadline.
    std::optional<milliseconds> body_time;
    /// Less than the slowest link between instances and the store brings.
    std::size_t min_body_bytes_per_second = 4 * 1024;
    /// Events of the deployments take some 100 bytes.
    std::size_t event_bytes = 256 * 1024;
    /// Servers write an event at once. Checked when further bytes of it arrive, so a pause of any
    /// length isn't affected.
    milliseconds event_time{5'000};
    /// Bytes without an event that a stream may bring at once, and a second. Comments that keep a
    /// connection alive take some 20 bytes every few seconds.
    std::size_t bytes_without_event = 64 * 1024;
    std::size_t bytes_without_event_per_second = 1'024;
};

/// The limits of exchanges whose responses are kept whole and take a few kilobytes: status checks,
/// reports, moves and orders.
constexpr response_limits short_response_limits() {
    response_limits out;
    out.body_bytes = 256 * 1024;
    return out;
}

} // namespace bamboostream
