#pragma once

#include "bamboostream/src/Configuration/routing_configuration.h"

#include <cstdint>
#include <string_view>

namespace bamboostream {

/// How one send of a request to a backend server ended without an answer for the caller.
enum class attempt_end : std::uint8_t {
    /// No byte has left.
    not_sent,
    /// The backend server says that it has not run the request.
    not_run,
    /// Sent, and no usable answer came: it may have run.
    lost,
    /// Sent, and no answer came in the time given.
    silent,
    /// The backend server answered with a failure of its own, which counts as run.
    failed,
};

/// The name of an end in logs.
std::string_view to_string(attempt_end end);

/// What has happened to one request so far.
struct attempt_history {
    /// Sends of which a byte may have left.
    int sends = 0;
    int failed_connects = 0;
    /// Some send may have run. Once set, no answer may say "not run".
    bool may_have_run = false;

    void note(attempt_end end);
};

/// The final answer when no further send is made.
enum class final_answer : std::uint8_t {
    /// 503 with a time to come back: has not run and never will.
    not_run,
    /// 502: the fate is unknown.
    unknown,
    /// 504: no answer in time, the fate is unknown.
    timed_out,
    /// The backend server's own failure, unchanged.
    backend_failure,
};

/// Connections that fail one after another before a request is refused. A refused connection costs
/// two milliseconds and a request nothing, and when a failure domain is lost, or engines go while
/// the store is away, several dead servers beside each other are common; after six the fault is
/// here.
inline constexpr int most_failed_connects = 6;

/// Whether a request whose last send ended like this may be sent to another backend server. A
/// request that must run once is sent again only while nothing of it has left: `max_attempts`
/// counts sends, whatever became of them.
bool may_try_again(repeat_policy repeats, int max_attempts, const attempt_history& history,
                   attempt_end last);

/// What the caller is told when the last send ended like this and no other follows.
final_answer choose_final_answer(const attempt_history& history, attempt_end last);

} // namespace bamboostream
