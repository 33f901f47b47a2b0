#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Http/byte_allowance.h"
#include "bamboostream/src/Http/response_guard.h"
#include "bamboostream/src/Http/response_limits.h"

#include <cstddef>
#include <optional>

namespace bamboostream {

/// What the latest bytes of an event stream contained.
struct event_stream_step {
    /// Bytes that belong to no complete event yet, and the memory they take.
    std::size_t pending_bytes = 0;
    std::size_t pending_capacity = 0;
    /// An event or comment was completed.
    bool completed = false;
    /// Bytes of comments, empty lines and repeated events.
    std::size_t bytes_without_event = 0;
};

/// Checks one event stream against the limits on bytes and time without an event.
///
/// Example: `if (limits.check(step, now) != response_limit::none) { … close … }`
class event_stream_limits {
public:
    event_stream_limits(const response_limits& limits, response_guard& guard)
        : limits_(limits),
          without_event_(limits.bytes_without_event, limits.bytes_without_event_per_second),
          memory_(guard) {}

    /// The limit that the stream exceeds; `none` if it is within all of them.
    response_limit check(const event_stream_step& step, time_point now);

private:
    response_limits limits_;
    byte_allowance without_event_;
    reserved_memory memory_;
    /// When the first byte of the incomplete event arrived.
    std::optional<time_point> pending_since_;
};

} // namespace bamboostream
