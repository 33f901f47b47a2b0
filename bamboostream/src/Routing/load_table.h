#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Routing/peer_reports.h"

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// Work in progress at one backend server.
struct backend_work {
    int requests = 0;
    /// KV cache memory that generations hold or are expected to hold, in tokens.
    std::int64_t memory_tokens = 0;
    /// Prompt tokens of generations that have not sent an event yet: the prefill that a new
    /// generation queues behind.
    std::int64_t unread_tokens = 0;

    backend_work& operator+=(const backend_work& other);
    bool operator==(const backend_work&) const = default;
};

/// Work at one backend server, as exchanged between instances. The server is identified by the hash
/// of its id, which is the same on every instance: instances report their work several times a
/// second, and ids as text would make up two thirds of the bytes.
struct backend_work_entry {
    std::uint64_t backend = 0;
    backend_work work;
};

/// The hash that identifies a backend server in reports between instances.
std::uint64_t backend_hash(const backend_id& id);

/// Work in progress at all backend servers: the current work of this instance plus the latest
/// reports of the other instances. Together they are more recent than the load reports of the
/// backend servers, and they need no status requests.
///
/// The sum for each server is updated as reports arrive, since it is read for every candidate of
/// every choice; adding up all instances each time would take as long as the rest of a choice. Not
/// thread-safe.
class load_table {
public:
    /// Time after which the report of a silent instance is discarded. The connections of an
    /// instance that has crashed are closed by then, so its requests no longer run.
    static constexpr milliseconds peer_report_lifetime{2'000};

    void add(const backend_id& id, const backend_work& work);
    void subtract(const backend_id& id, const backend_work& work);
    /// Replaces the previous report of `peer`.
    void hear(const std::string& peer, std::span<const backend_work_entry> entries, time_point now);
    /// Adds work that `peer` is about to start; its next report replaces it.
    void add_expected(const std::string& peer, const backend_work_entry& entry, time_point now);
    /// Total work of all instances at one server.
    backend_work total(const backend_id& id, time_point now) {
        return total(backend_hash(id), now);
    }
    /// The same, given the server's `backend_hash`.
    backend_work total(std::uint64_t server_hash, time_point now);
    /// The instances that report work at one server.
    std::vector<std::string> peers_reporting(const backend_id& id, time_point now);
    /// The work of this instance, to be reported to others.
    std::vector<backend_work_entry> own() const;

private:
    void expire(time_point now);
    void adjust_peers(const backend_work_entry& change, int sign);

    std::unordered_map<std::uint64_t, backend_work> local_work_;
    peer_reports<backend_work_entry> peer_reports_{peer_report_lifetime};
    /// Sum of the reports of all other instances, by server.
    std::unordered_map<std::uint64_t, backend_work> peer_totals_;
};

} // namespace bamboostream
