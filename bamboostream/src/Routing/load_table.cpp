#include "bamboostream/src/Routing/load_table.h"

#include "bamboostream/src/Core/digest.h"

#include <algorithm>

namespace bamboostream {

namespace {

backend_work negated(const backend_work& work) {
    return {-work.requests, -work.memory_tokens, -work.unread_tokens};
}

/// Adds `change` to the entry of one server and removes the entry when it becomes zero.
void adjust(std::unordered_map<std::uint64_t, backend_work>& sums, std::uint64_t key,
            const backend_work& change) {
    const auto entry = sums.try_emplace(key).first;
    entry->second += change;
    if (entry->second == backend_work{}) {
        sums.erase(entry);
    }
}

backend_work find_work(const std::unordered_map<std::uint64_t, backend_work>& sums,
                       std::uint64_t key) {
    const auto found = sums.find(key);
    return found == sums.end() ? backend_work{} : found->second;
}

} // namespace

backend_work& backend_work::operator+=(const backend_work& other) {
    requests += other.requests;
    memory_tokens += other.memory_tokens;
    unread_tokens += other.unread_tokens;
    return *this;
}

std::uint64_t backend_hash(const backend_id& id) {
    return stable_hash(id.text());
}

void load_table::add(const backend_id& id, const backend_work& work) {
    adjust(local_work_, backend_hash(id), work);
}

void load_table::subtract(const backend_id& id, const backend_work& work) {
    adjust(local_work_, backend_hash(id), negated(work));
}

void load_table::adjust_peers(const backend_work_entry& change, int sign) {
    adjust(peer_totals_, change.backend, sign > 0 ? change.work : negated(change.work));
}

void load_table::expire(time_point now) {
    peer_reports_.expire(now, [this](const auto& change, int sign) { adjust_peers(change, sign); });
}

void load_table::hear(const std::string& peer, std::span<const backend_work_entry> entries,
                      time_point now) {
    expire(now);
    peer_reports_.replace(peer, entries, now,
                          [this](const auto& change, int sign) { adjust_peers(change, sign); });
}

void load_table::add_expected(const std::string& peer, const backend_work_entry& entry,
                              time_point now) {
    expire(now);
    peer_reports_.append(peer, entry, now,
                         [this](const auto& change, int sign) { adjust_peers(change, sign); });
}

backend_work load_table::total(std::uint64_t server_hash, time_point now) {
    expire(now);
    backend_work sum = find_work(local_work_, server_hash);
    sum += find_work(peer_totals_, server_hash);
    return sum;
}

std::vector<std::string> load_table::peers_reporting(const backend_id& id, time_point now) {
    expire(now);
    const std::uint64_t key = backend_hash(id);
    std::vector<std::string> out;
    for (const auto& from : peer_reports_.all()) {
        if (std::any_of(from.entries.begin(), from.entries.end(),
                        [key](const backend_work_entry& e) { return e.backend == key; })) {
            out.push_back(from.peer);
        }
    }
    return out;
}

std::vector<backend_work_entry> load_table::own() const {
    std::vector<backend_work_entry> out;
    for (const auto& [key, work] : local_work_) {
        out.push_back({key, work});
    }
    return out;
}

} // namespace bamboostream
