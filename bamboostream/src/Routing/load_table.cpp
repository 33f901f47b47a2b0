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

void load_table::remove_report(peer_report_list::iterator old) {
    for (const backend_work_entry& entry : old->entries) {
        adjust(peer_totals_, entry.backend, negated(entry.work));
    }
    report_by_peer_.erase(old->peer);
    peer_reports_.erase(old);
}

void load_table::expire(time_point now) {
    while (!peer_reports_.empty() && now - peer_reports_.front().at > peer_report_lifetime) {
        remove_report(peer_reports_.begin());
    }
}

void load_table::hear(const std::string& peer, std::span<const backend_work_entry> entries,
                      time_point now) {
    expire(now);
    if (const auto known = report_by_peer_.find(peer); known != report_by_peer_.end()) {
        remove_report(known->second);
    }
    for (const backend_work_entry& entry : entries) {
        adjust(peer_totals_, entry.backend, entry.work);
    }
    peer_reports_.push_back({peer, now, {entries.begin(), entries.end()}});
    report_by_peer_.emplace(peer, std::prev(peer_reports_.end()));
}

void load_table::add_expected(const std::string& peer, const backend_work_entry& entry,
                              time_point now) {
    expire(now);
    const auto [known, is_new] = report_by_peer_.try_emplace(peer);
    if (is_new) {
        peer_reports_.push_back({peer, now, {}});
        known->second = std::prev(peer_reports_.end());
    }
    known->second->entries.push_back(entry);
    adjust(peer_totals_, entry.backend, entry.work);
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
    for (const peer_report& from : peer_reports_) {
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
