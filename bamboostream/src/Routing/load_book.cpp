#include "bamboostream/src/Routing/load_book.h"

#include "bamboostream/src/Core/digest.h"

namespace bamboostream {

backend_work& backend_work::operator+=(const backend_work& other) {
    requests += other.requests;
    memory_tokens += other.memory_tokens;
    unread_tokens += other.unread_tokens;
    return *this;
}

std::uint64_t work_key(const backend_id& id) {
    return stable_hash(id.text());
}

void load_book::add(const backend_id& id, const backend_work& work) {
    own_[work_key(id)] += work;
}

void load_book::subtract(const backend_id& id, const backend_work& work) {
    const std::uint64_t key = work_key(id);
    backend_work& mine = own_[key];
    mine += {-work.requests, -work.memory_tokens, -work.unread_tokens};
    if (mine == backend_work{}) {
        own_.erase(key);
    }
}

void load_book::hear(const std::string& peer, std::span<const backend_work_entry> entries,
                     time_point now) {
    heard& from = peers_[peer];
    from.at = now;
    from.work.clear();
    for (const backend_work_entry& entry : entries) {
        from.work[entry.backend] = entry.work;
    }
    std::erase_if(peers_, [now](const auto& item) { return now - item.second.at > peer_validity; });
}

backend_work load_book::total(const backend_id& id, time_point now) const {
    backend_work sum;
    const std::uint64_t key = work_key(id);
    if (const auto mine = own_.find(key); mine != own_.end()) {
        sum += mine->second;
    }
    for (const auto& [peer, from] : peers_) {
        const auto found = from.work.find(key);
        if (found != from.work.end() && now - from.at <= peer_validity) {
            sum += found->second;
        }
    }
    return sum;
}

std::vector<backend_work_entry> load_book::own() const {
    std::vector<backend_work_entry> out;
    for (const auto& [key, work] : own_) {
        out.push_back({key, work});
    }
    return out;
}

} // namespace bamboostream
