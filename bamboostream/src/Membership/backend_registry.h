#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// A backend server as it registered itself. A server that restarts may keep its id.
struct registered_backend {
    backend_id id;
    /// Start time in milliseconds since 1970 by the server's own clock; zero if not reported.
    /// Compared only with other start times of the same id, never with a local clock.
    std::int64_t started_ms = 0;
    std::string address;
    service_id service;
    /// What servers of different versions write for one stream doesn't fit together.
    software_version version;
    failure_domain_id failure_domain;
    /// Number of requests that it runs concurrently.
    int slots = 1;
    bool leaving = false;
    /// The server is cold until then: it is slow and handles only few requests per second.
    time_point slow_until{};
};

/// Kind of change that callers of the registry may want to log or act on.
/// `restarted`: the server has lost all state of its previous process. `lapsed`: its entry is
/// missing, and the removal is deferred until it is confirmed. `kept`: the missing entry is present
/// again. `became_cold`: the process has become cold, or is cold for longer than it said before.
enum class registry_event : std::uint8_t {
    joined,
    leaving,
    gone,
    restarted,
    lapsed,
    kept,
    became_cold
};
/// One change together with the server's record after it; for `gone`, the last known record.
struct registry_change {
    registry_event event = registry_event::joined;
    registered_backend backend;
};

/// A backend server as listed by another instance.
struct peer_backend {
    registered_backend backend;
    /// The store no longer has an entry for it, and the other instance has deferred its removal.
    bool lapsed = false;
    /// How long until that instance removes it; zero if that isn't known.
    milliseconds removal_in{0};
};

/// The departure of a server that has announced that it leaves, or whose entry was removed.
struct departure {
    /// The start time of the process that has announced that it leaves; nothing if none has.
    std::optional<std::int64_t> leaving_start;
    /// Until when a generation is sent to the server if that holds a copy of it. Nothing if it
    /// isn't known how long ago the server announced its departure, as when it was already leaving
    /// when this instance started.
    std::optional<time_point> copies_until;

    bool accepts_copies(time_point now) const { return copies_until && now <= *copies_until; }
};

/// What the platform says of the entries of backend servers.
struct entry_timing {
    /// Interval at which a server renews its entry.
    milliseconds heartbeat{1'200};
    /// How long after its announcement a leaving server takes requests.
    milliseconds leaving_bound{2'000};
};

/// The backend servers that are registered in the platform's store.
///
/// Leaving is permanent for one process of a server: the store may repeat an older entry after a
/// gap in its history, and a request sent to a leaving server on that basis would be aborted.
///
/// Removals take effect immediately while the store is available. During a store outage entries
/// expire even though their servers are alive, so removals are deferred until the servers have had
/// time to register again after the outage. Only an outage that is long enough for that defers any.
///
/// Not thread-safe.
class backend_registry {
public:
    /// How long removals stay deferred after a store outage. Live servers have registered again
    /// about two seconds after the store's return.
    static constexpr milliseconds return_grace{2'500};
    /// The store is considered unavailable once no known instance has had a current view of it for
    /// this long.
    ///
    /// A shorter time would report outages of a healthy store: when the instances that read it for
    /// all others fail, about 0.7 s pass until their standbys have read it. An instance that
    /// mistook its own outage for one of the store deferred the removal of a server, and requests
    /// were sent to that server until 3.1 s after it was gone. A longer time would be too late: an
    /// entry expires after three failed heartbeats of 1.2 s each.
    static constexpr milliseconds min_outage{1'000};

    void set_timing(const entry_timing& timing) { timing_ = timing; }
    /// Adds or updates a server from its store entry. Entries of an earlier start are ignored. One
    /// without a software version leaves the version of the same process as it is known.
    void update(const registered_backend& backend, time_point now);
    /// Handles the removal of an entry from the store. The removal is deferred during and shortly
    /// after a store outage, unless the server was leaving.
    void remove(const backend_id& id, time_point now);
    /// Replaces the registry by a complete listing; servers that are missing count as removed.
    /// `unreadable` lists ids whose entries exist but can't be parsed; those servers are left as
    /// they are.
    void update_all(std::span<const registered_backend> entries,
                    std::span<const backend_id> unreadable, time_point now);
    /// Replaces the registry by the listing of another instance with a newer view. An entry that
    /// lapsed there does not add a server here, unless this registry is empty.
    void update_from_peer(std::span<const peer_backend> entries, time_point now);
    /// Removes a server at once, because another instance reported it gone.
    void forget(const backend_id& id);
    /// Records that the server is leaving, as reported by itself or by another instance.
    void mark_leaving(const backend_id& id);
    /// As above for the process that started at `started_ms`; has no effect on a later one.
    void mark_leaving(const backend_id& id, std::int64_t started_ms);
    /// Records that all changes of the store's entries until `as_of` have been applied.
    void confirm(time_point as_of) {
        confirmed_until_ = std::max(confirmed_until_.value_or(as_of), as_of);
    }
    /// Records that the store has been unavailable since `since`, which defers removals. Has no
    /// effect if it already counts as unavailable.
    void store_failed(time_point since);
    /// Records that the store is available; deferred removals are due `return_grace` after its
    /// return.
    void store_answered(time_point now);
    bool store_away() const { return away_since_.has_value(); }
    /// Performs deferred removals that are due, and forgets removals of long ago. Does nothing
    /// while the store is away.
    void expire(time_point now);

    /// Sets the failure domains whose servers get no new work regardless of their entries.
    /// Replaces the previous set.
    void set_cordoned(std::set<failure_domain_id> domains) { cordoned_ = std::move(domains); }
    const std::set<failure_domain_id>& cordoned() const { return cordoned_; }
    /// True if the server is listed, is not leaving, and its failure domain is not cordoned.
    bool takes_work(const backend_id& id) const;
    /// Servers of a service that may get new work. The pointers are valid until the next change.
    std::vector<const registered_backend*> usable(const service_id& service) const;
    /// The server's record, whether or not it is leaving; null if it is not listed.
    const registered_backend* find(const backend_id& id) const;
    /// The departure of a server, whether or not it is still listed; null if none is known.
    const departure* find_departure(const backend_id& id) const;
    /// The first listed server that satisfies `predicate`, or null.
    template <class Predicate> const registered_backend* find_if(Predicate predicate) const {
        for (const auto& [id, known] : backends_) {
            if (predicate(known.backend)) {
                return &known.backend;
            }
        }
        return nullptr;
    }
    std::vector<registered_backend> all() const;
    /// At most `limit` servers with ids greater than `after`, ordered by id.
    std::vector<registered_backend> page_after(const backend_id& after, std::size_t limit) const;
    /// True if the server's entry is missing and its removal is deferred.
    bool has_lapsed(const backend_id& id) const;
    /// How long until the server is removed if its entry is missing, at least a millisecond. Zero
    /// if it isn't missing, and during an outage, whose end decides.
    milliseconds time_to_removal(const backend_id& id, time_point now) const;
    /// What is known of the server, for log lines: `listed`, `cordoned`, `lapsed`, `leaving`,
    /// `gone` or `unknown`.
    std::string_view describe(const backend_id& id) const;
    bool empty() const { return backends_.empty(); }
    /// Returns the changes since the last call.
    std::vector<registry_change> take_changes();

private:
    struct record {
        registered_backend backend;
        std::optional<time_point> removal_due;
    };
    bool takes_work(const registered_backend& backend) const;
    /// A departure that has become known now.
    departure make_departure() const;
    /// How long an outage lasts at least if an entry expires because of it. Entries expire after
    /// three heartbeats are missed, of which one may have been due when it began; and heartbeats
    /// are not exactly regular.
    duration min_expiring_outage() const { return timing_.heartbeat * 3 / 2; }
    bool removals_deferred(time_point now) const;
    /// True if this process of the server, or a later one, has announced that it is leaving.
    bool has_announced_leaving(const registered_backend& backend) const;
    void erase(const backend_id& id);
    /// Known servers that are not in `listed`.
    std::vector<backend_id> missing_from(const std::set<backend_id>& listed) const;

    std::map<backend_id, record> backends_;
    /// Kept after the entries are gone. A process that started later under the same id is usable:
    /// if leaving applied to the id alone, a restarted engine would never get work again.
    std::map<backend_id, departure> departures_;
    std::optional<time_point> confirmed_until_;
    entry_timing timing_;
    std::set<failure_domain_id> cordoned_;
    std::vector<registry_change> changes_;
    /// Set while the store counts as unavailable.
    std::optional<time_point> away_since_;
    /// The end of the latest outage in which entries may have expired.
    std::optional<time_point> store_returned_;
};

} // namespace bamboostream
