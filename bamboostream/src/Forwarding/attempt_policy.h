#pragma once

#include "bamboostream/src/Configuration/routing_configuration.h"

#include <cstdint>
#include <string_view>

namespace bamboostream {

/// How one attempt at a backend server ended when it yielded no response for the caller.
enum class attempt_end : std::uint8_t {
    /// No byte of the request was sent.
    not_sent,
    /// The backend server reported that it did not execute the request.
    not_run,
    /// Sent, but no usable response arrived: the request may have been executed.
    lost,
    /// Sent, but no response arrived within the time limit: the request may have been executed.
    silent,
    /// The backend server responded with a failure, which counts as executed.
    failed,
};

/// Name of an attempt's end in log lines.
std::string_view to_string(attempt_end end);

/// The attempts made for one request so far.
struct attempt_history {
    /// Attempts in which at least one byte may have been sent.
    int sends = 0;
    int failed_connects = 0;
    /// Some attempt may have been executed. Once set, no response may claim "not run".
    bool may_have_run = false;

    void record(attempt_end end);
};

/// The final response when no further attempt is made.
enum class final_response : std::uint8_t {
    /// 503 with Retry-After: the request was not executed and will not be.
    not_run,
    /// 502: it is unknown whether the request was executed.
    unknown,
    /// 504: no response in time; it is unknown whether the request was executed.
    timed_out,
    /// The backend server's own failure, unchanged.
    backend_failure,
};

/// Failed connection attempts after which a request is refused. A refused connection takes two
/// milliseconds and can't execute the request. Several dead servers in a row are common when a
/// failure domain is lost or when engines end while the store is unavailable; after six, the fault
/// is likely on this instance's side.
inline constexpr int max_failed_connects = 6;

/// Whether a request whose last attempt ended with `last` may be sent to another backend server. A
/// request that must run at most once is sent again only if no earlier attempt may have executed
/// it. `max_attempts` limits the sends of any request, whatever their results.
bool may_retry(repeat_policy repeats, int max_attempts, const attempt_history& history,
               attempt_end last);

/// The response to the caller when the last attempt ended with `last` and no other follows.
final_response choose_final_response(const attempt_history& history, attempt_end last);

} // namespace bamboostream
