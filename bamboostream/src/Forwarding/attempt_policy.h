#pragma once

#include "bamboostream/src/Configuration/routing_configuration.h"
#include "bamboostream/src/Forwarding/forward_request.h"
#include "bamboostream/src/Http/http_connection.h"

#include <cstdint>
#include <optional>
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

/// Proof that an attempt has not executed its request and never will.
class not_run_proof {
public:
    /// The server says so, in a response that is about the request; nothing if it doesn't.
    static std::optional<not_run_proof> of_response(const response_info& response);
    /// Nothing of the request has left; nothing if some of it may have.
    static std::optional<not_run_proof> of_connection(const http_connection& connection);

    /// The end of an attempt of which this is the proof: `not_sent` or `not_run`.
    attempt_end end() const { return end_; }
    /// What the proof rests on, for log lines.
    std::string_view basis() const { return basis_; }

private:
    not_run_proof(attempt_end end, std::string_view basis) : end_(end), basis_(basis) {}

    attempt_end end_;
    std::string_view basis_;
};

/// Certainty that no attempt at a request has executed it and none will, which a response that
/// promises so needs. Only an `attempt_history` issues it.
class not_run_promise {
private:
    friend class attempt_history;
    not_run_promise() = default;
};

/// The attempts made for one request so far. An attempt may have been executed from the moment at
/// which its sending begins until a proof shows that it wasn't.
///
/// Example: `history.begin_send(); … history.end_not_run(proof); … history.promise_not_run()`
class attempt_history {
public:
    /// Call before the first byte of the request can leave.
    void begin_send() { sending_ = true; }
    /// Ends an attempt that has not been executed, and returns its end.
    attempt_end end_not_run(const not_run_proof& proof);
    /// Ends an attempt whose sending has not begun, and returns its end.
    attempt_end end_unsent();
    /// Ends an attempt that was sent, as `lost`, `silent` or `failed`, and returns that.
    attempt_end end_sent(attempt_end end);

    /// Attempts that have ended and of which at least one byte may have been sent.
    int sends() const { return sends_; }
    int failed_connects() const { return failed_connects_; }
    bool may_have_run() const { return sending_ || may_have_run_; }
    /// Nothing if some attempt may have been executed.
    std::optional<not_run_promise> promise_not_run() const;

private:
    int sends_ = 0;
    int failed_connects_ = 0;
    bool sending_ = false;
    bool may_have_run_ = false;
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

/// Whether a request with these attempts may be sent to another backend server. A request that must
/// run at most once is sent again only if no earlier attempt may have executed it. `max_attempts`
/// limits the sends of any request, whatever their results.
bool may_retry(repeat_policy repeats, int max_attempts, const attempt_history& history);

/// The response to the caller when the last attempt ended with `last` and no other follows.
final_response choose_final_response(const attempt_history& history, attempt_end last);

} // namespace bamboostream
