#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace bamboostream {

/// How far the requests of one second to a cold backend server may go beyond the rate that it
/// bears: rate x `factor` + `slack`, from all instances together.
struct cold_start_rules {
    double factor = 1.0;
    double slack = 0.0;
};

/// As what an instance sends to the servers of a service. Each role has its own part of the bound,
/// so that instances that disagree on who owns a service stay within it together.
enum class sender_role : std::uint8_t {
    /// Chooses for all.
    owner,
    /// Chooses for those that the owner doesn't answer.
    standby,
    /// Chooses for itself, in place of an owner.
    fallback,
    /// One of many that all choose for themselves.
    peer,
};

/// Bounds what a cold backend server gets in any second from all instances together, without asking
/// any of them.
///
/// A server that has just started crashes when it gets more than it bears, and all its generations
/// are lost. A count at each instance alone doesn't prevent that: 300 instances that find the same
/// idle server send one request each. So the bound is divided: the owner of a service has half of
/// it, its deputy a fifth, and all others together a tenth, by the largest number of instances that
/// were known lately. Nobody has the part of a role that it took up just now, since the one before
/// may not know yet. An instance whose part is less than one request takes turns with the others,
/// by a hash of its address, the server and the second, whatever it knows of them.
///
/// Example: `if (limit.may_send(server, per_second, role, now)) { limit.record_send(server, now);
/// ... }`
class cold_start_limit {
public:
    /// `self` tells this instance from the others, in any way that lasts.
    explicit cold_start_limit(std::uint64_t self) : self_(self) {}

    /// Without rules there is no bound.
    void set_rules(std::optional<cold_start_rules> rules) { rules_ = rules; }
    /// `live` instances are known, this one included.
    void update_instance_count(std::size_t live, time_point now);
    /// By its own view this instance has that role for a service. To be told often.
    void update_role(const service_id& service, sender_role role, time_point now);
    /// The role whose part it has. Only a stand-in's when it took its role up just now, has just
    /// started, or has lost sight of half of the others.
    sender_role role(const service_id& service, time_point now) const;
    /// Whether one more request may be sent to a cold server that bears `per_second`.
    bool may_send(const backend_id& server, double per_second, sender_role role, time_point now);
    /// A request is sent to the server.
    void record_send(const backend_id& server, time_point now);

private:
    std::size_t sent_lately(const backend_id& server, time_point now);
    std::size_t most_instances() const;
    /// Whether it is this instance's turn, of one request a second among several instances.
    bool has_turn(const backend_id& server, double probability, time_point now) const;

    struct sighting {
        time_point at;
        std::size_t live;
    };
    struct held_role {
        sender_role role = sender_role::fallback;
        time_point since;
    };
    std::uint64_t self_;
    std::optional<cold_start_rules> rules_;
    std::optional<time_point> first_noted_;
    std::size_t live_ = 1;
    /// The largest numbers of instances lately, falling.
    std::deque<sighting> sightings_;
    std::unordered_map<service_id, held_role> roles_;
    std::unordered_map<backend_id, std::deque<time_point>> sent_;
};

} // namespace bamboostream
