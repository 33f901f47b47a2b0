#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Membership/backend_registry.h"
#include "bamboostream/src/Routing/carrier_answer.h"

#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboostream {

/// Another instance that may carry tunnels.
struct carrier_candidate {
    std::string address;
    std::string failure_domain;
    /// Its share of the tunnels, relative to the other candidates.
    double weight = 1.0;
};

/// Whether an instance has connected to another server of a service while it failed to connect to
/// the one that it was asked for.
enum class service_reach : std::uint8_t { unknown, reached, not_reached };

/// The answer of an instance that was asked for a tunnel.
struct carrier_reply {
    carrier_answer answer = carrier_answer::no_reply;
    service_reach service = service_reach::unknown;
    /// Share of the tunnels that the instance can carry which are in use, 0 to 1.
    double load = 0.0;
    /// With `leaving`: the start time of the server's process that leaves.
    std::int64_t leaving_start = 0;
};

/// One search for an instance that opens a tunnel to a server.
struct carrier_search {
    service_id service;
    backend_id server;
    /// The failure domain of the server.
    std::string server_domain;
    /// When more instances are asked, even if those asked before have not answered.
    time_point next_round{};
    std::size_t rounds = 0;
    std::size_t asked = 0;
    std::size_t in_flight = 0;
    /// Instances asked again that had failed lately.
    std::size_t asked_again = 0;
    /// Instances that reach the service but not this server.
    std::size_t server_failures = 0;
    /// Other searches are asking instances that this one could ask next.
    bool waits_for_others = false;
    /// Number of instances asked, by failure domain.
    std::map<std::string, std::size_t, std::less<>> asked_in;
};

/// An instance to ask, and what is known of it, for log lines.
struct chosen_carrier {
    const carrier_candidate* carrier = nullptr;
    std::string_view known;
};

/// Chooses the instances to ask for tunnels to backend servers.
///
/// A failed request for a tunnel says something about the server only if the asked instance has
/// reached another server of the service; otherwise that instance is probably cut off itself, and
/// then so may be its failure domain. Each search therefore goes on in other failure domains, and
/// asks twice as many instances in each round, until one of them connects, enough of them have
/// shown that it is the server that is down, or all have been asked. Concurrent searches for
/// servers of one service share what they find out, and don't ask an instance at the same time of
/// which nothing is known.
///
/// Among instances that are not known to be cut off, tunnels are spread at random by weight. Those
/// of the server's failure domain, and of the own one if it is known to reach the service, come
/// first unless they are loaded: bytes then cross between failure domains no more often than on a
/// direct connection.
///
/// Performs no I/O and reads no clock. Not thread-safe.
///
/// Example:
/// ```
/// for (const chosen_carrier& it : selector.choose(search, candidates, now)) ask(*it.carrier);
/// ```
class carrier_selector {
public:
    carrier_selector(std::string own_failure_domain, std::uint64_t seed)
        : own_domain_(std::move(own_failure_domain)), random_(seed) {}

    /// False if a search for the server has just ended without a tunnel.
    bool may_search(const backend_id& server, time_point now) const;
    /// The instances to ask now, which count as asked from now on; none while answers are awaited.
    /// To be called again at `search.next_round` and after each answer.
    std::vector<chosen_carrier>
    choose(carrier_search& search, std::span<const carrier_candidate> candidates, time_point now);
    /// Records what an instance that `choose` has returned has answered.
    void record(carrier_search& search, const carrier_candidate& carrier,
                const carrier_reply& reply, time_point now);
    /// True if no further answer can lead to a tunnel. Valid right after `choose`.
    static bool is_exhausted(const carrier_search& search);
    /// Ends a search that has found no tunnel.
    void record_not_found(const carrier_search& search, time_point now);
    /// Discards what is no longer used.
    void expire(time_point now);
    /// Number of facts that are kept.
    std::size_t size() const;

private:
    /// What is known of an instance, whatever the service.
    struct carrier_state {
        time_point excluded_until{};
        double load = 0.0;
        time_point load_known_until{};
    };
    /// Number of instances of a failure domain that have connected to a service lately, and that
    /// were cut off from it lately.
    struct domain_tally {
        std::size_t connected = 0;
        std::size_t cut_off = 0;
    };
    using domain_tallies = std::unordered_map<std::string_view, domain_tally>;
    /// A failed request for a tunnel, and until when others are asked instead.
    struct failure_record {
        time_point at{};
        time_point until{};
    };
    struct service_state {
        std::unordered_map<std::string, time_point> connected_until;
        std::unordered_map<std::string, failure_record> cut_off;
        /// Requests without an answer, by instance.
        std::unordered_map<std::string, std::size_t> in_flight;
        /// Searches are short until then, since a long one has found no instance.
        time_point limited_until{};
    };
    enum class belief : std::uint8_t {
        /// Of the failure domain's instances of which anything is known, most are cut off; some
        /// are.
        domain_cut_off,
        domain_mixed,
        unknown,
        domain_connected,
        connected,
        count_,
    };
    /// Lower is better; instances of the same preference are chosen at random.
    struct preference {
        std::size_t asked_before = 0;
        int rank = 0;
        double random = 0.0;
        friend auto operator<=>(const preference&, const preference&) = default;
    };

    static std::string_view to_string(belief known);
    static domain_tallies tally(const service_state& service,
                                std::span<const carrier_candidate> candidates, time_point now);
    /// Whether a search asks an instance: at once, if there is no other, or not now.
    enum class eligibility : std::uint8_t { first, last, excluded };
    eligibility may_ask(const carrier_search& search, const service_state& service,
                        const carrier_candidate& carrier, time_point now) const;
    static belief known_of(const service_state& service, const domain_tallies& domains,
                           const carrier_candidate& carrier, time_point now);
    bool is_loaded(const std::string& carrier, time_point now) const;
    int rank(const carrier_search& search, const carrier_candidate& carrier, belief known,
             time_point now) const;
    preference prefer(const carrier_search& search, const carrier_candidate& carrier, belief known,
                      time_point now);
    static std::size_t round_size(const carrier_search& search, const service_state& service,
                                  time_point now);

    std::string own_domain_;
    std::mt19937_64 random_;
    std::unordered_map<std::string, carrier_state> carriers_;
    std::unordered_map<service_id, service_state> services_;
    /// Instances that did not connect to a server.
    std::map<std::pair<std::string, backend_id>, failure_record> failures_;
    /// Servers for which a search has just ended without a tunnel.
    std::unordered_map<backend_id, time_point> unreachable_until_;
};

} // namespace bamboostream
