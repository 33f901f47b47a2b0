#pragma once

#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Membership/backend_registry.h"

namespace bamboostream {

/// What is known of the server that wrote the first event of a stream. Servers of another service
/// or software version write events that don't fit those that the caller already has.
struct stream_origin {
    service_id service;
    /// Empty if it is not known: then the stream can't go on at another server.
    software_version version;

    auto operator<=>(const stream_origin&) const = default;
    /// Whether the stream may go on at the server.
    bool allows(const registered_backend& server) const {
        return !version.empty() && server.version == version && server.service == service;
    }
};

} // namespace bamboostream
