#pragma once

#include "bamboostream/src/Core/clock.h"

#include <iterator>
#include <list>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboostream {

/// The latest report of each of the other instances, from which their user keeps totals. Each entry
/// is handed to `change` with 1 when it is added and with -1 when it is removed, so that the totals
/// need not be added up for every use. Not thread-safe.
///
/// Example: `reports.replace(peer, entries, now, [&](const auto& e, int sign) { total += sign *
/// e.n;
/// });`
template <typename entry> class peer_reports {
public:
    struct report {
        std::string peer;
        time_point at;
        std::vector<entry> entries;
    };

    /// Reports that are older than `lifetime` are removed by `expire`.
    explicit peer_reports(duration lifetime) : lifetime_(lifetime) {}

    /// All reports, oldest first.
    const std::list<report>& all() const { return reports_; }

    template <typename changer> void expire(time_point now, changer change) {
        while (!reports_.empty() && now - reports_.front().at > lifetime_) {
            erase(reports_.begin(), change);
        }
    }

    /// Removes the report of `peer`, if there is one.
    template <typename changer> void remove(const std::string& peer, changer change) {
        if (const auto known = by_peer_.find(peer); known != by_peer_.end()) {
            erase(known->second, change);
        }
    }

    /// Replaces the report of `peer`.
    template <typename changer>
    void replace(const std::string& peer, std::span<const entry> entries, time_point now,
                 changer change) {
        remove(peer, change);
        for (const entry& added : entries) {
            change(added, 1);
        }
        reports_.push_back({peer, now, {entries.begin(), entries.end()}});
        by_peer_.emplace(peer, std::prev(reports_.end()));
    }

    /// Adds an entry to the report of `peer`; its next report replaces it.
    template <typename changer>
    void append(const std::string& peer, const entry& added, time_point now, changer change) {
        const auto [known, is_new] = by_peer_.try_emplace(peer);
        if (is_new) {
            reports_.push_back({peer, now, {}});
            known->second = std::prev(reports_.end());
        }
        known->second->entries.push_back(added);
        change(added, 1);
    }

private:
    using iterator = typename std::list<report>::iterator;

    template <typename changer> void erase(iterator old, changer& change) {
        for (const entry& removed : old->entries) {
            change(removed, -1);
        }
        by_peer_.erase(old->peer);
        reports_.erase(old);
    }

    duration lifetime_;
    std::list<report> reports_;
    std::unordered_map<std::string, iterator> by_peer_;
};

} // namespace bamboostream
