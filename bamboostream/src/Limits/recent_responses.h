#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/request_digest.h"

#include <cstddef>
#include <vector>

namespace bamboostream {

/// Remembers which requests were answered a short time ago.
///
/// A request that many callers send in identical form is open on nearly every server that crashes,
/// whatever the cause of the crash. A recent response distinguishes it from a request that crashes
/// servers.
///
/// Guarantees: fixed memory; an entry may be evicted early, but `contains` never returns true for a
/// request that was not recorded. Not thread-safe; lives on one thread.
///
/// Example: `responses.record(digest, now); … if (responses.contains(digest, now)) …`
class recent_responses {
public:
    void record(const request_digest& request, time_point now);
    /// Whether a response to the request was recorded within the retention time.
    bool contains(const request_digest& request, time_point now) const;

private:
    struct entry {
        request_digest request;
        time_point at{};
    };
    /// Direct-mapped table indexed by the low bits of the digest; empty until the first response.
    std::vector<entry> entries_;
};

} // namespace bamboostream
