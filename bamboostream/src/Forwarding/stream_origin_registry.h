#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/request_digest.h"
#include "bamboostream/src/Forwarding/stream_origin.h"

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace bamboostream {

/// Shares the origins of streams with other instances, so that a caller can take its stream up at
/// any of them.
class stream_origin_registry {
public:
    virtual ~stream_origin_registry() = default;
    /// Records the origin of a stream that this instance forwards. Called before the first event is
    /// sent to the caller; it is kept for `keep` at least, and while the stream is open.
    virtual void record(const request_digest& stream, const stream_origin& origin,
                        duration keep) = 0;
    /// Called when this instance no longer forwards the stream.
    virtual void close(const request_digest& stream) = 0;
    /// Returns nothing if no instance that answers knows the origin.
    virtual boost::asio::awaitable<std::optional<stream_origin>> find(request_digest stream) = 0;
};

} // namespace bamboostream
