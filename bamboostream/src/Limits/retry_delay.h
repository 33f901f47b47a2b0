#pragma once

#include "bamboostream/src/Core/clock.h"

#include <cstdint>
#include <optional>
#include <random>

namespace bamboostream {

/// Why a request was refused, as far as it affects when a retry makes sense.
enum class refusal_cause : std::uint8_t {
    /// Servers exist but have no capacity left, or refused the request.
    overloaded,
    /// Routes or servers are unknown: the platform's store is unavailable, and this instance
    /// started
    /// after the outage began or knows only servers that have gone.
    state_unknown,
    /// This instance is shutting down; others serve.
    leaving,
    /// The request is quarantined: servers crashed while they ran earlier attempts at it.
    quarantined,
    /// The request is quarantined until its trial.
    awaiting_trial,
    /// The request resumes a stream that isn't known to this instance; another one may know it.
    stream_unknown,
    /// The request resumes a stream, and no server of the software version that began it takes
    /// work; one may start again.
    version_unavailable,
    /// All servers that could take the request have got the requests a second that they take.
    rate_limited,
    /// The memory that is left is held for generations that must leave their engines.
    memory_reserved,
};

/// The properties of a refused request that determine its retry delay.
struct refused_request {
    refusal_cause cause = refusal_cause::overloaded;
    /// Latency objective of the route; zero when no route is known.
    duration objective{};
    /// Remaining time that the caller waits; empty when it didn't state a timeout.
    std::optional<milliseconds> caller_timeout;
    /// How long requests have been refused for lack of capacity without a pause.
    duration overload{};
    /// Remaining quarantine of the request, or time until its trial is due, if that is the cause.
    duration quarantine{};
    /// Time until a server may take another request, if its rate is the cause.
    duration permit_wait{};
    /// How long memory is held for generations that must leave their engines, if that is the cause.
    duration hold{};
};

/// Returns the time after which a refused caller should retry, randomized so that callers refused
/// together don't all retry at the same moment.
///
/// A transient overload passes within the objective, so its callers retry soon. One that has lasted
/// longer is expected to last as long again, and outages of a store last seconds: callers that
/// retry during either are refused a second time and get no response at all. They get a longer
/// delay, up to a third of their remaining timeout, which is the longest delay that callers honour.
///
/// Memory that is held for generations of leaving engines is free again when these engines have
/// gone: callers retry then if their first event can still be in time, and earlier otherwise, since
/// room is also freed in between.
duration choose_retry_delay(const refused_request& request, std::mt19937_64& random);

} // namespace bamboostream
