#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Limits/instance_count.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace bamboostream {

/// Limit on the requests that all instances together send to a cold backend server in any second:
/// sustainable rate x `factor` + `slack`.
struct cold_start_rules {
    double factor = 1.0;
    double slack = 0.0;
};

/// The role in which an instance sends to the servers of a service. Each role has its own share of
/// the limit, so that instances that disagree on who owns a service still stay within it together.
enum class sender_role : std::uint8_t {
    /// Chooses servers for all instances.
    owner,
    /// Chooses servers for the instances that get no answer from the owner.
    standby,
    /// Chooses for itself because neither the owner nor the standby answered.
    fallback,
    /// Chooses for itself, as all instances do for a service without an owner.
    peer,
};

/// Limits the requests that all instances together send to a cold backend server in any second,
/// without communication between the instances.
///
/// A server that has just started crashes when it gets more requests than it can take, and all its
/// generations are lost. A limit in each instance alone doesn't prevent that: 300 instances that
/// find the same idle server send one request each. So the limit is divided: the owner of a service
/// has half of it, its standby a fifth, and all others together a tenth, divided by the largest
/// number of instances known in the last minute. An instance that took up a role less than two
/// seconds ago doesn't use the share of that role yet, since the previous holder may not know of
/// the change. An instance whose share is less than one request takes turns with the others: a hash
/// of its identity, the server and the second decides, so that it needs no knowledge of the others.
///
/// Not thread-safe; lives on one thread.
///
/// Example: `if (limit.may_send(server, rate, role, now)) { limit.record_send(server, now); … }`
class cold_start_limit {
public:
    /// `self` identifies this instance; it must differ between instances and not change.
    explicit cold_start_limit(std::uint64_t self) : self_(self) {}

    /// Without rules there is no limit.
    void set_rules(std::optional<cold_start_rules> rules) { rules_ = rules; }
    /// Sets the number of live instances, this one included.
    void update_instance_count(std::size_t live, time_point now);
    /// Sets the role that this instance has for a service in its own view. Call it regularly: a
    /// role counts as settled two seconds after it was first reported.
    void update_role(const service_id& service, sender_role role, time_point now);
    /// The role whose share this instance may use: `fallback` if it took up its role less than two
    /// seconds ago, or if it sees at most half of the instances known in the last minute.
    sender_role role(const service_id& service, time_point now) const;
    /// Whether one more request may be sent to a cold server that sustains `per_second` requests a
    /// second. Always true without rules or with a rate of zero; otherwise false during the first
    /// two seconds, in which an instance knows few others.
    bool may_send(const backend_id& server, double per_second, sender_role role, time_point now);
    /// Counts a request that is sent to the server.
    void record_send(const backend_id& server, time_point now);

private:
    std::size_t sent_in_window(const backend_id& server, time_point now);
    /// Whether this instance may send its one request in the current second, which it may with the
    /// given probability.
    bool has_turn(const backend_id& server, double probability, time_point now) const;

    struct role_entry {
        sender_role role = sender_role::fallback;
        time_point since;
    };
    std::uint64_t self_;
    std::optional<cold_start_rules> rules_;
    std::optional<time_point> first_update_;
    instance_count instances_;
    std::unordered_map<service_id, role_entry> roles_;
    std::unordered_map<backend_id, std::deque<time_point>> sent_;
};

} // namespace bamboostream
