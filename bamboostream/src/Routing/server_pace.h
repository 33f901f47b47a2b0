#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// Intervals between consecutive events of streams at one server.
struct pace_sample {
    double intervals = 0.0;
    /// Their total time.
    double total_ms = 0.0;
    /// How many were longer than `pause_objective`.
    double late = 0.0;
    /// Zero if the streams have no objective for pauses; `late` says nothing then.
    duration pause_objective{};
};

/// Estimates how fast backend servers produce the events of streams, and the probability that a
/// stream has a pause longer than its objective.
///
/// The pace of a server is the mean time between two events over the latest few hundred intervals:
/// much longer than a passing disturbance of its machine, shorter than a stream takes on a slow
/// server. The share of late intervals is learned for each service as a function of the ratio of a
/// server's pace to the objective, over all its servers: late pauses are too rare for an estimate
/// for each server, and with a common function a new server of known pace is judged at once. The
/// function never falls as the ratio rises.
///
/// A server without samples counts as the mean of its service, corrected by the load that it
/// reports of its host. One of which nothing is known counts as one of the slowest quarter where
/// the risk of a late pause is asked for. All values are estimates from what instances report; one
/// false sample has a bounded effect. Not thread-safe.
///
/// Example: `pace.observe(service, hash, {12, 840, 0, milliseconds(180)}, now);`
class server_pace {
public:
    /// The estimate of one server.
    struct estimate {
        double ms_per_event = 0.0;
        /// Number of intervals that it is based on, after decay.
        double intervals = 0.0;
        /// Much slower than the median of the service's servers.
        bool slow = false;
    };
    /// A server that has become slow, or has recovered.
    struct change {
        std::uint64_t server = 0;
        bool slow = false;
        double ms_per_event = 0.0;
        /// Median of the service's servers.
        double median_ms = 0.0;
    };

    /// The pace of a server and the rate of late pauses that goes with it.
    struct rated {
        double ms_per_event = 0.0;
        /// Late pauses per interval.
        double late_rate = 0.0;
    };

    /// Records intervals observed at a server; `server_hash` is its `backend_hash`.
    void observe(const service_id& service, std::uint64_t server_hash, const pace_sample& sample,
                 time_point now);
    /// Records how long work takes on a server's host machine at present, in percent, as the server
    /// reports it. The lowest recent figure tells the lasting speed of the machine before there are
    /// samples.
    void observe_host(const service_id& service, std::uint64_t server_hash, int percent,
                      time_point now);
    /// The lasting pace of a server: mean time between two events in ms. That of the service if
    /// nothing is known of the server; 0 if nothing is known of the service either.
    double ms_per_event(const service_id& service, std::uint64_t server_hash) const;
    /// The rate at which pauses over the objective occur at a server, per interval: a stream of n
    /// intervals has none with probability exp(-n * rate). 0 if nothing is known of the service or
    /// there is no objective.
    double late_rate(const service_id& service, std::uint64_t server_hash,
                     duration pause_objective) const {
        return rate(service, server_hash, pause_objective).late_rate;
    }
    /// Both values by one lookup.
    rated rate(const service_id& service, std::uint64_t server_hash,
               duration pause_objective) const;
    /// Probability that a stream with `events` events still to come has a pause over the objective
    /// at a server; 0 if nothing is known.
    double late_risk(const service_id& service, std::uint64_t server_hash, duration pause_objective,
                     double events) const;
    /// The estimate of a server with samples; nothing if there are none.
    std::optional<estimate> find(std::uint64_t server_hash) const;
    bool empty() const { return servers_.empty(); }
    /// The service of a server with samples; null if there are none.
    const service_id* service_of(std::uint64_t server_hash) const;
    /// Determines which servers of the service are slow, and returns those for which this has
    /// changed since the last call. The limits for becoming slow and recovering are apart, so that
    /// noise causes no changes.
    std::vector<change> take_changes(const service_id& service);
    /// Discards what is known of a server that is gone or has restarted.
    void forget(std::uint64_t server_hash) { servers_.erase(server_hash); }

private:
    static constexpr std::size_t band_count = 21;
    struct band {
        double intervals = 0.0;
        double late = 0.0;
    };
    struct service_entry {
        service_id id;
        double intervals = 0.0;
        double total_ms = 0.0;
        /// When the latest sample was observed.
        time_point at{};
        std::array<band, band_count> bands{};
        /// Late pauses per interval in each band.
        std::array<double, band_count> late_rates{};

        double mean_ms() const { return intervals > 0.0 ? total_ms / intervals : 0.0; }
        /// The late rate at a ratio of pace to objective.
        double late_rate(double ratio) const;
        void update_late_rates();
        /// Host figures of the servers, weighted by the intervals observed there.
        double host_intervals = 0.0;
        double host_sum = 0.0;
        /// The pace that is assumed of a server of which nothing is known: that of the slowest
        /// quarter, since a long stream on a slow server is late for certain.
        double cautious_ms = 0.0;
        std::uint32_t observations = 0;
    };
    struct server_entry {
        service_entry* service = nullptr;
        double intervals = 0.0;
        double total_ms = 0.0;
        time_point at{};
        bool slow = false;
        /// Lowest recent figure of the host machine in percent; 0 if unknown.
        double host_percent = 0.0;
        /// Estimate at the latest sample, so that it need not be computed for each choice.
        double latest_ms = 0.0;

        /// The pace expected before there are samples.
        double prior_ms() const;
        double remaining_intervals() const;
        double estimate_ms() const;
        double ms_per_event() const;
    };

    service_entry& entry_of(const service_id& service);
    server_entry& server_of(service_entry& service, std::uint64_t server_hash, time_point now);
    void update_cautious_pace(service_entry& service) const;

    /// Entries have stable addresses, to which those of servers point; a configuration has few
    /// services.
    std::unordered_map<service_id, service_entry> services_;
    std::unordered_map<std::uint64_t, server_entry> servers_;
};

} // namespace bamboostream
