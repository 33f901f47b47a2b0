#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/request_digest.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace bamboostream {

/// Remembers which requests were answered.
///
/// A request that many callers send in identical form is open on nearly every server that crashes,
/// whatever the cause of the crash. Earlier responses distinguish it from a request that crashes
/// servers.
///
/// Guarantees: fixed memory; an entry may be evicted early, the later the more often its request
/// was answered, but no lookup returns true for a request that was not recorded. Not thread-safe;
/// lives on one thread.
///
/// Example: `responses.record(digest, now); … if (responses.contains(digest, now)) …`
class recent_responses {
public:
    void record(const request_digest& request, time_point now);
    /// Whether a response to the request was recorded within the last seconds, so that the servers'
    /// software has hardly changed since.
    bool contains(const request_digest& request, time_point now) const;
    /// Whether a response to the request was recorded within the time for which requests are held.
    bool answered_before(const request_digest& request, time_point now) const;
    /// When the latest response that is known was recorded, within the time for which requests are
    /// held; nothing if there is none.
    std::optional<time_point> latest(const request_digest& request, time_point now) const;

private:
    struct entry {
        request_digest request;
        time_point at{};
        /// Number of responses, less those to other requests with the same place in the table.
        std::size_t responses = 0;
    };

    bool recorded_within(duration time, const request_digest& request, time_point now) const;

    /// Direct-mapped table indexed by the low bits of the digest; empty until the first response.
    std::vector<entry> entries_;
};

} // namespace bamboostream
