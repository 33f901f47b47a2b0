#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Membership/backend_registry.h"

#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// Tells backend servers that only this instance can't reach from servers that are down.
///
/// A server is cut off from this instance if another instance has connected to it while this one
/// did not. A service is cut off if that has happened with two of its servers since this instance
/// last connected to any of them; then all of its servers are assumed to be cut off. Only new
/// connections count: in some network failures existing ones go on working. Requests to what is cut
/// off are sent through other instances, so a wrong assumption costs a detour and not a request.
/// Not thread-safe.
///
/// Example: `if (tracker.is_cut_off(service, server)) { /* open a tunnel */ }`
class reachability_tracker {
public:
    /// Records that this instance has connected to the server directly. Returns true if the service
    /// was cut off until now.
    bool on_connected(const service_id& service, const backend_id& server, time_point now);
    /// Records that another instance has connected to the server while this one has not. `usable`
    /// are the servers of the service. Returns true if the service is cut off from now on.
    bool on_reached_by_peer(const service_id& service, const backend_id& server,
                            std::span<const registered_backend* const> usable, time_point now);
    /// Discards what is known of a server that has left or restarted.
    void forget(const service_id& service, const backend_id& server);

    bool is_cut_off(const service_id& service, const backend_id& server) const;
    /// As above, but false if the server is only assumed to be cut off because its service is.
    bool is_found_cut_off(const service_id& service, const backend_id& server) const;
    bool is_cut_off(const service_id& service) const;
    /// When this instance last connected directly to any server of the service;
    /// `time_point::min()` if it never did.
    time_point last_connected(const service_id& service) const;
    /// Servers that have been found cut off, of one service and of all.
    std::size_t servers_cut_off(const service_id& service) const;
    std::size_t servers_cut_off() const;

    /// A server and its service.
    struct check {
        service_id service;
        backend_id server;
    };
    /// The servers to which a direct connection is to be tried now: at most one per service, so
    /// that the end of a network failure does not open many connections at once. Each is returned
    /// once per check period. Servers that are only assumed to be cut off come first.
    std::vector<check> take_due_checks(time_point now);

private:
    struct server_state {
        /// When the server was found cut off.
        time_point since{};
        time_point checked{};
        /// The server has not been tried since its service was cut off.
        bool assumed = false;
    };
    struct service_state {
        std::map<backend_id, server_state> servers;
        time_point last_connected = time_point::min();
        time_point next_check{};
        bool cut_off = false;
    };
    std::unordered_map<service_id, service_state> services_;
    std::unordered_map<service_id, time_point> last_connected_;
};

} // namespace bamboostream
