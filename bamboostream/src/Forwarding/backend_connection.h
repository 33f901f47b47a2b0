#pragma once

#include "bamboostream/src/Forwarding/forwarding_state.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace bamboostream {

/// What a request needs a connection for.
struct connection_request {
    /// Id of the request, for log lines.
    std::string request_id;
    /// Maximum idle time of a connection that is reused.
    duration max_idle{};
    time_point deadline;
};

/// An open connection to a backend server.
struct backend_connection {
    /// Null if none could be established.
    std::shared_ptr<http_connection> connection;
    /// The connection has carried another request before.
    bool reused = false;
};

/// Returns an idle connection to the server or opens a new one, and sets `why` if that fails.
///
/// If a direct connection is refused or takes long, another instance is asked for a tunnel to the
/// same server, and the connection that is established first is used. A server that is cut off
/// from this instance gets no direct attempt, or only
/// after a failed tunnel if that is merely assumed. Nothing is sent on a connection that is not
/// returned.
boost::asio::awaitable<backend_connection> open_backend_connection(forwarding_state& state,
                                                                   registered_backend server,
                                                                   connection_request wanted,
                                                                   http_failure& why);

/// Called when a server is known to leave or has lost its entry. Ends the requests to it that the
/// network still holds when the server takes no more: they would arrive when the network delivers
/// them, seconds later at times.
boost::asio::awaitable<void> abandon_held_requests(forwarding_state& state,
                                                   registered_backend server);

/// Records that a direct connection to the server was established.
void record_direct_connection(forwarding_state& state, const registered_backend& server,
                              time_point now);

/// Tries a direct connection to a server that is cut off, and closes it.
boost::asio::awaitable<void> check_direct_connection(forwarding_state& state,
                                                     registered_backend server);

} // namespace bamboostream
