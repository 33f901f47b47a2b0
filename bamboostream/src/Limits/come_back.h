#pragma once

#include "bamboostream/src/Core/clock.h"

#include <cstdint>
#include <optional>
#include <random>

namespace bamboostream {

/// Why a request was not run, as far as it tells when coming back makes sense.
enum class refusal_cause : std::uint8_t {
    /// Servers are there and have no room, or refused.
    crowded,
    /// Which routes or servers there are is not known: the platform's store is away, and this
    /// instance has started since or knows only servers that have gone.
    nothing_known,
    /// This instance ends; others serve.
    leaving,
};

/// What a refused request is about.
struct refused_request {
    refusal_cause cause = refusal_cause::crowded;
    /// Time in which an answer earns its full worth; zero when no route is known.
    duration objective{};
    /// How long the caller still waits; nothing when it didn't say.
    std::optional<milliseconds> patience;
};

/// When a refused caller is told to come back, spread at random so that a crowd doesn't return as
/// one.
///
/// A crowd passes within the objective, so its callers come back soon. Outages of a store last
/// seconds: callers who return within one are refused a second time and have no answer at all. With
/// the crowd's times, 723 of 833 requests sent in the four seconds around the kill of all of 62
/// instances while the store was away ended refused. They are told to use most of the third of
/// their patience that they wait at most; of the long streams 24 and 12 were refused then in two
/// runs of that day, where 148 and 94 had been.
duration come_back_after(const refused_request& request, std::mt19937_64& random);

} // namespace bamboostream
