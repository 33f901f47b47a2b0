#pragma once

#include "bamboostream/src/Core/clock.h"

#include <cstdint>
#include <optional>
#include <random>

namespace bamboostream {

/// Why a request was not run, as far as it tells when coming back makes sense.
enum class refusal_cause : std::uint8_t {
    /// Servers are there and have no room, or refused.
    overloaded,
    /// Which routes or servers there are is not known: the platform's store is away, and this
    /// instance has started since or knows only servers that have gone.
    state_unknown,
    /// This instance ends; others serve.
    leaving,
    /// Servers ended under earlier attempts at the same request.
    quarantined,
};

/// What a refused request is about.
struct refused_request {
    refusal_cause cause = refusal_cause::overloaded;
    /// Time in which an answer earns its full worth; zero when no route is known.
    duration objective{};
    /// How long the caller still waits; nothing when it didn't say.
    std::optional<milliseconds> patience;
    /// How long callers have been refused for want of room.
    duration overload{};
    /// How much longer the request is held, when that is the cause.
    duration quarantine{};
};

/// When a refused caller is told to come back, spread at random so that a crowd doesn't return as
/// one.
///
/// A moment's crowd passes within the objective, so its callers come back soon. One that has lasted
/// longer is expected to last as long again, and outages of a store last seconds: callers who
/// return within either are refused a second time and have no answer at all. They are told a later
/// time, at most the third of their patience that they wait.
duration choose_retry_delay(const refused_request& request, std::mt19937_64& random);

} // namespace bamboostream
