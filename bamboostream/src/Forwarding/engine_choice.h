#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Limits/cold_start_limit.h"
#include "bamboostream/src/Limits/engine_admission.h"
#include "bamboostream/src/Membership/backend_registry.h"
#include "bamboostream/src/Routing/load_table.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <vector>

namespace bamboostream {

struct forwarding_state;

/// Requirements of a generation that is to be assigned to an engine.
struct engine_request {
    service_id service;
    /// The work that the generation adds to its engine.
    backend_work work;
    /// Cache memory capacity of each engine of the service, in tokens.
    std::int64_t engine_memory_tokens = 0;
    int priority = 0;
    /// Target time until the first event.
    duration objective{};
    /// Objective for the longest pause between two events; zero if there is none, or if the
    /// servers of the service don't report the load of their host.
    duration pause_objective{};
    /// Nothing if requests carry no keys, or if the memory of the service's engines isn't
    /// contended.
    std::optional<workspace_id> workspace;
    /// Only engines that run this software version may be chosen; any if it is empty.
    software_version version;
    /// Excluded engines, for instance those at which the request has failed.
    std::vector<backend_id> avoid;
    /// Engines in this failure domain are preferred.
    failure_domain_id preferred_domain;
};

/// The engine chosen for a generation, and whether admission control lets it start there now.
struct engine_choice {
    /// Nothing if no engine is available.
    std::optional<registered_backend> engine;
    admission_result result = admission_result::admit;
    /// The engine's work on which `result` is based.
    backend_work work;
    /// If not admitted: how long generations of the service have been refused.
    duration overload{};
    /// The engine names a limit on its requests a second, and a permit was taken for this one.
    bool has_permit = false;
};

/// The role in which this instance acts when it chooses engines of a service itself; `owner` if it
/// has no scheduler.
sender_role own_role(const forwarding_state& state, const service_id& service);

/// Servers of a service to which an instance with `role` may send one more request now: all usable
/// ones, except cold ones that have received this role's share of their cold-start rate.
std::vector<const registered_backend*> servers_with_capacity(forwarding_state& state,
                                                             const service_id& service,
                                                             sender_role role, time_point now);
/// Counts a request against the server's cold-start rate, if the server is still cold.
void record_send(forwarding_state& state, const registered_backend& server, time_point now);

/// Whether the server names a limit on the requests a second that it takes.
bool is_rate_limited(const forwarding_state& state, const backend_id& server);
/// The time until a request of this rank may be sent to the server as far as its limit is
/// concerned; zero if it names none.
duration expected_permit_wait(forwarding_state& state, const registered_backend& server,
                              int priority, time_point now);
/// Takes a permit without asking another instance; true if the server names no limit.
bool take_own_permit(forwarding_state& state, const registered_backend& server, int priority,
                     time_point now);
/// Takes a permit from the instance that issues those of the server; true if it names no limit.
boost::asio::awaitable<bool> acquire_permit(forwarding_state& state, registered_backend server,
                                            int priority);

/// Chooses an engine by this instance's own view of the load.
engine_choice choose_engine(forwarding_state& state, const engine_request& request,
                            sender_role role, time_point now);

/// Chooses engines by asking another instance that has a more recent view of a service's load.
class engine_scheduler {
public:
    virtual ~engine_scheduler() = default;
    /// Returns nothing if this instance must choose itself: its view is as good, or no instance
    /// replied in time.
    virtual boost::asio::awaitable<std::optional<engine_choice>>
    choose(const engine_request& request) = 0;
    /// The role in which this instance acts when it chooses itself.
    virtual sender_role role(const service_id& service) const = 0;
};

} // namespace bamboostream
