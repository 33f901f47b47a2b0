#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/failure.h"
#include "bamboostream/src/Http/http_connection.h"
#include "bamboostream/src/Membership/backend_registry.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace bamboostream {

/// Why no tunnel was opened.
enum class tunnel_error : std::uint8_t {
    none,
    /// No other instance connected to the backend server.
    unavailable,
};
using tunnel_failure = failure<tunnel_error>;

/// Opens connections to backend servers through other instances.
///
/// A tunnel carries bytes only: every decision about a request stays with the instance that opened
/// the tunnel, and an instance opens tunnels for others only to servers that it reaches directly.
class tunnel_dialer {
public:
    virtual ~tunnel_dialer() = default;
    /// Returns a connection to the server, or null with the reason in `why` at the latest at
    /// `until`. `request_id` appears in the log lines of both instances.
    virtual boost::asio::awaitable<std::shared_ptr<http_connection>> open(registered_backend server,
                                                                          std::string request_id,
                                                                          time_point until,
                                                                          tunnel_failure& why) = 0;
    /// Called when `reachability_tracker` has found a server cut off: from now on direct
    /// connections are tried regularly, until none is cut off.
    virtual void start_checks() = 0;
};

} // namespace bamboostream
