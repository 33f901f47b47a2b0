#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// A backend server as it registered itself. It may start again under the id that it had.
struct registered_backend {
    backend_id id;
    /// When it started, in milliseconds since 1970 by its own clock; zero when it doesn't say. It
    /// is compared with other starts of the same id only, never with a clock here.
    std::int64_t started_ms = 0;
    std::string address;
    service_id service;
    failure_domain_id failure_domain;
    /// Requests that it runs at once.
    int slots = 1;
    bool leaving = false;
    /// It is cold until then: slow, and bears few requests a second.
    time_point slow_until{};
};

/// A change that callers of the registry may want to log or act on.
/// After `restarted` the server remembers nothing of before. `lapsed`: its entry is missing, and
/// whether that holds is waited for; `kept`: the entry is there again.
enum class registry_event : std::uint8_t { joined, leaving, gone, restarted, lapsed, kept };
struct registry_change {
    registry_event event = registry_event::joined;
    registered_backend backend;
};

/// A server as another instance lists it.
struct peer_backend {
    registered_backend backend;
    /// The store has no entry of it any more; the other instance waits for one.
    bool lapsed = false;
};

/// The backend servers that registered in the platform's store.
///
/// Leaving is sticky for one life of a server: the store may repeat an older entry after a gap in
/// its history, and a request that then reaches a server that leaves is cut. Removal is believed at
/// once while the store answers. While the store is away entries lapse although their servers live,
/// so removals are put off until the servers have had time to register again after its return.
class backend_registry {
public:
    /// Servers that live are registered again about two seconds after the store's return.
    static constexpr milliseconds return_grace{2'500};
    /// The store counts as away when no instance that is heard of knows what it says for so long.
    /// Not shorter: until the substitutes of those that read for all have read, some 0.7 s pass
    /// though the store is well. An instance that took its own outage for the store's put the
    /// removal of a server off, and requests reached it 3.1 s after it had gone. Not longer: an
    /// entry lapses after three of its heartbeats, each of 1.2 s, have failed.
    static constexpr milliseconds min_outage{1'000};

    /// An entry from the store.
    void update(const registered_backend& backend, time_point now);
    /// The store says that the entry was removed.
    void remove(const backend_id& id, time_point now);
    /// All entries at one moment; those that are missing count as removed. `unreadable` names
    /// entries that are there and say nothing; what is known of such a server stays.
    void update_all(std::span<const registered_backend> entries,
                    std::span<const backend_id> unreadable, time_point now);
    /// Entries as another instance believes them that knows more than this one. What lapsed there
    /// is no reason to list a server that isn't listed here, unless nothing is.
    void update_from_peer(std::span<const peer_backend> entries, time_point now);
    /// Another instance believes that the server is gone.
    void forget(const backend_id& id);
    /// The server itself or another instance says that it leaves.
    void mark_leaving(const backend_id& id);
    /// The same of the life that began at `started_ms`; a later one isn't concerned.
    void mark_leaving(const backend_id& id, std::int64_t started_ms);
    void store_failed(time_point now);
    void store_answered(time_point now);
    bool store_away() const { return store_away_; }
    /// Carries out removals that were put off and are due.
    void expire(time_point now);

    /// Failure domains whose servers get no new work, whatever their entries say. Replaces those of
    /// before.
    void set_cordoned(std::set<failure_domain_id> domains) { cordoned_ = std::move(domains); }
    const std::set<failure_domain_id>& cordoned() const { return cordoned_; }
    /// Whether the server may get new work: it is listed, doesn't leave, and its failure domain
    /// isn't cordoned.
    bool takes_work(const backend_id& id) const;
    /// Servers of a service that may get new work. The views last until the next change.
    std::vector<const registered_backend*> usable(const service_id& service) const;
    /// Whether the server is still listed, leaving or not; null when it isn't.
    const registered_backend* find(const backend_id& id) const;
    /// The first listed server for which `predicate` holds; null when there is none.
    template <class Predicate> const registered_backend* find_if(Predicate predicate) const {
        for (const auto& [id, known] : backends_) {
            if (predicate(known.backend)) {
                return &known.backend;
            }
        }
        return nullptr;
    }
    std::vector<registered_backend> all() const;
    /// The first `most` behind `after`, in the order of their ids.
    std::vector<registered_backend> page_after(const backend_id& after, std::size_t most) const;
    /// Whether its entry is missing and waited for.
    bool has_lapsed(const backend_id& id) const;
    bool empty() const { return backends_.empty(); }
    std::vector<registry_change> take_changes();

private:
    struct record {
        registered_backend backend;
        std::optional<time_point> removal_due;
    };
    bool takes_work(const registered_backend& backend) const;
    bool removals_wait(time_point now) const;
    /// Whether this life of the server has said that it leaves.
    bool has_left(const registered_backend& backend) const;
    void erase(const backend_id& id);
    /// Known servers that aren't among those listed.
    std::vector<backend_id> missing_from(const std::set<backend_id>& listed) const;

    std::map<backend_id, record> backends_;
    /// Servers that said they leave, with the start of the life that does; kept after their entries
    /// are gone. A later life of the same id is sound: were leaving to stick to the id alone, an
    /// engine that started again would stand idle for good.
    std::map<backend_id, std::int64_t> left_;
    std::set<failure_domain_id> cordoned_;
    std::vector<registry_change> changes_;
    bool store_away_ = false;
    std::optional<time_point> store_returned_;
};

} // namespace bamboostream
