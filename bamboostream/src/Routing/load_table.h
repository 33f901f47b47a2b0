#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// Work that is under way at one backend server.
struct backend_work {
    int requests = 0;
    /// Cache memory that generations hold or are expected to hold, in tokens.
    std::int64_t memory_tokens = 0;
    /// Prompt tokens of generations that have not sent an event yet: what a new one queues behind.
    std::int64_t unread_tokens = 0;

    backend_work& operator+=(const backend_work& other);
    bool operator==(const backend_work&) const = default;
};

/// Work by backend server. The server is named by the hash of its id, which is the same on every
/// instance: instances tell each other their work several times a second, and ids as text would
/// make two thirds of the bytes.
struct backend_work_entry {
    std::uint64_t backend = 0;
    backend_work work;
};

/// The name of a backend server in work entries.
std::uint64_t backend_hash(const backend_id& id);

/// What is under way at the backend servers: this instance's own work to the moment, and what the
/// other instances told of theirs a moment ago. Together they are fresher than the reports of the
/// backend servers, and they cost no status check.
///
/// The sum at each server is kept as tellings come in, since it is asked for every candidate of
/// every choice, and adding up all instances each time would take as long as all else together.
class load_table {
public:
    /// Work that a dead instance told of is forgotten after this: its requests are cut by then.
    static constexpr milliseconds peer_report_lifetime{2'000};

    void add(const backend_id& id, const backend_work& work);
    void subtract(const backend_id& id, const backend_work& work);
    /// Replaces what `peer` told before.
    void hear(const std::string& peer, std::span<const backend_work_entry> entries, time_point now);
    /// Adds work that `peer` is about to have, until it tells again.
    void add_expected(const std::string& peer, const backend_work_entry& entry, time_point now);
    /// All work at one server.
    backend_work total(const backend_id& id, time_point now);
    /// The instances that have told of work at one server.
    std::vector<std::string> peers_reporting(const backend_id& id, time_point now);
    /// This instance's own work, for the others.
    std::vector<backend_work_entry> own() const;

private:
    struct heard {
        std::string peer;
        time_point at;
        std::vector<backend_work_entry> entries;
    };
    using told_list = std::list<heard>;

    void forget(told_list::iterator old);
    void expire(time_point now);

    std::unordered_map<std::uint64_t, backend_work> own_;
    /// What the others told, the longest ago first.
    told_list told_;
    std::unordered_map<std::string, told_list::iterator> by_peer_;
    /// The sums of what the others told.
    std::unordered_map<std::uint64_t, backend_work> sums_;
};

} // namespace bamboostream
