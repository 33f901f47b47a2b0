#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Membership/backend_registry.h"
#include "bamboostream/src/Routing/load_table.h"
#include "bamboostream/src/Routing/outlier_detector.h"

#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// Adds to the cost of a server what depends on the kind of request, such as the risk of a late
/// pause.
class placement_cost {
public:
    virtual ~placement_cost() = default;
    /// The additional cost, as a fraction of a full server.
    virtual double cost(const registered_backend& server) const = 0;
};

/// Requirements and preferences of a request for the choice of its backend server.
struct placement_request {
    /// Servers that must not be chosen, for instance because the request has failed there.
    std::span<const backend_id> avoid;
    /// KV cache capacity of each server in tokens; zero for plain services.
    std::int64_t server_memory_tokens = 0;
    /// Failure domain whose servers are preferred when costs are nearly equal.
    failure_domain_id preferred_domain;
    /// Null if there is none.
    const placement_cost* additional_cost = nullptr;
    /// Work in progress at each of the servers, in their order, if the caller has looked it up
    /// already; empty to take it from the table.
    std::span<const backend_work> work;
};

/// Chooses the backend server for a request by the work in progress at each server.
///
/// For plain calls the cost of a server is the fraction of its slots in use. For generations it is
/// the memory that will be held, which determines the time of a decoding step, plus the prompt
/// tokens that wait for prefill, which determine the time to the first event. The choice itself
/// refuses nothing: past saturation `check_admission` first decides which servers may be chosen at
/// all.
///
/// Not thread-safe.
class backend_picker {
public:
    explicit backend_picker(std::uint64_t seed) : random_(seed) {}

    /// Returns one of `servers`, or null when no server may get the request.
    const registered_backend* pick(std::span<const registered_backend* const> servers,
                                   load_table& loads, const placement_request& request,
                                   time_point now);
    /// Records that no connection to the server could be established. The server is excluded for a
    /// while unless no other is left: during an outage of the store engines stop without their
    /// entries being removed, and several connection attempts in a row may fail.
    void on_unreachable(const backend_id& id, time_point now);
    /// Records outcomes that another instance has observed at a server. Failures reported together
    /// count as one. An instance that is cut off from a server keeps reporting failures; successes
    /// reported by others and the limit on ejected servers bound the effect.
    void note(const backend_id& id, int succeeded, int failed, std::size_t group_size,
              time_point now);
    /// Whether the server is excluded at present, as unreachable or as an outlier. `pick` chooses
    /// an excluded server only when no other is left.
    bool is_excluded(const backend_id& id, time_point now) const;
    void on_success(const backend_id& id, time_point now);
    /// `group_size` is the number of servers of the same service.
    void on_failure(const backend_id& id, std::size_t group_size, time_point now);

    /// Discards the failures of a server that has restarted: they concern the previous process.
    void forget(const backend_id& id);

private:
    double cost(const registered_backend& server, const backend_work& work,
                const placement_request& request, time_point now) const;

    std::mt19937_64 random_;
    outlier_detector outliers_;
    std::unordered_map<backend_id, time_point> unreachable_until_;
    /// Exponentially smoothed failure rate of each server.
    std::unordered_map<backend_id, double> failure_rates_;
};

} // namespace bamboostream
