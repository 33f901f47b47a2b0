#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/request_digest.h"
#include "bamboostream/src/Forwarding/stream_origin.h"

#include <cstddef>
#include <map>
#include <optional>

namespace bamboostream {

/// The origins of streams that callers may take up, by the digest of the stream. Each is kept for a
/// limited time. Not thread-safe.
class stream_origin_table {
public:
    /// Further streams aren't recorded while there are this many; each takes about 200 bytes.
    static constexpr std::size_t max_size = 50'000;

    /// An origin and the time until which it is kept.
    struct entry {
        stream_origin origin;
        time_point until;
        /// Two different origins were reported, so that none can be relied on.
        bool ambiguous = false;
    };

    /// Keeps the origin at least until `until`. Nothing is kept of an origin whose version isn't
    /// known.
    void record(const request_digest& stream, const stream_origin& origin, time_point until);
    /// Returns nothing if the origin isn't known or is ambiguous.
    std::optional<entry> find(const request_digest& stream, time_point now) const;
    /// Drops what isn't kept any more.
    void expire(time_point now);
    std::size_t size() const { return entries_.size(); }

private:
    std::map<request_digest, entry> entries_;
};

} // namespace bamboostream
