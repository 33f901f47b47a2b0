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

/// What a generation asks of the engine that it is sent to.
struct engine_request {
    service_id service;
    /// What it adds to the work there.
    backend_work work;
    /// Cache memory of each engine, in tokens.
    std::int64_t engine_memory_tokens = 0;
    int priority = 0;
    /// Until the first event.
    duration objective{};
    /// Engines that it must not go to, for instance because it failed there.
    std::vector<backend_id> avoid;
    failure_domain_id preferred_domain;
};

/// The engine that serves a generation best, and whether it may go there now.
struct engine_choice {
    /// Nothing when no engine may get it.
    std::optional<registered_backend> engine;
    admission_result verdict = admission_result::admit;
    /// The work at that engine which the verdict goes by.
    backend_work work;
    /// When it is not admitted: how long generations of the service have been refused.
    duration overload{};
};

/// As what this instance chooses the engines of a service by itself.
sender_role own_role(const forwarding_state& state, const service_id& service);

/// Servers of a service to which an instance in that role may send one more request now: all that
/// take work but for cold ones which have had their part of what they bear.
std::vector<const registered_backend*> servers_with_room(forwarding_state& state,
                                                         const service_id& service,
                                                         sender_role role, time_point now);
/// Counts a request against what the server bears while it is cold.
void note_send(forwarding_state& state, const registered_backend& server, time_point now);

/// Chooses by what this instance knows.
engine_choice choose_engine(forwarding_state& state, const engine_request& request,
                            sender_role role, time_point now);

/// Another instance that knows the work at a service's engines better than this one.
class engine_scheduler {
public:
    virtual ~engine_scheduler() = default;
    /// Nothing when this instance must choose by itself, because it knows as much or because nobody
    /// answers in time.
    virtual boost::asio::awaitable<std::optional<engine_choice>>
    choose(const engine_request& request) = 0;
    /// As what this instance chooses by itself.
    virtual sender_role role(const service_id& service) const = 0;
};

} // namespace bamboostream
