#include "bamboostream/src/Membership/backend_registry.h"

#include <algorithm>
#include <utility>

namespace bamboostream {

namespace {

/// Entries that state the same end of a cold period yield ends that differ by how long the entries
/// took to arrive.
constexpr milliseconds max_arrival_difference{100};
/// The time in which a request that goes to a leaving server arrives, and by which an instance may
/// take its view of the store for newer than it is.
constexpr milliseconds max_arrival_time{300};
/// Longer than a move of a generation takes, after which nobody names a removed server any more.
constexpr seconds removal_memory{60};

bool has_become_cold(const registered_backend& known, const registered_backend& received,
                     time_point now) {
    return received.slow_until > std::max(now, known.slow_until + max_arrival_difference);
}

} // namespace

void backend_registry::update(const registered_backend& backend, time_point now) {
    const auto found = backends_.find(backend.id);
    const bool known = found != backends_.end();
    if (known && backend.started_ms < found->second.backend.started_ms) {
        return;
    }
    registered_backend received = backend;
    received.leaving = received.leaving || has_announced_leaving(backend);
    if (!known) {
        backends_.emplace(backend.id, record{received, std::nullopt});
        changes_.push_back({registry_event::joined, received});
    } else {
        const bool restarted = backend.started_ms > found->second.backend.started_ms;
        if (received.version.empty() && !restarted) {
            received.version = found->second.backend.version;
        }
        if (found->second.removal_due) {
            changes_.push_back({registry_event::kept, received});
        }
        const bool became_cold = has_become_cold(found->second.backend, received, now);
        found->second = {received, std::nullopt};
        if (restarted) {
            changes_.push_back({registry_event::restarted, received});
        } else if (became_cold) {
            changes_.push_back({registry_event::became_cold, received});
        }
    }
    const auto left = departures_.find(backend.id);
    if (received.leaving) {
        mark_leaving(backend.id, backend.started_ms);
    } else if (left != departures_.end() && !left->second.leaving_start) {
        departures_.erase(left);
    }
}

bool backend_registry::has_announced_leaving(const registered_backend& backend) const {
    const departure* left = find_departure(backend.id);
    return left != nullptr && left->leaving_start && backend.started_ms <= *left->leaving_start;
}

/// The departure wasn't in the store when the view of its entries was last confirmed.
departure backend_registry::make_departure() const {
    departure out;
    if (confirmed_until_) {
        out.copies_until = *confirmed_until_ + timing_.leaving_bound - max_arrival_time;
    }
    return out;
}

const departure* backend_registry::find_departure(const backend_id& id) const {
    const auto found = departures_.find(id);
    return found == departures_.end() ? nullptr : &found->second;
}

void backend_registry::mark_leaving(const backend_id& id) {
    const registered_backend* known = find(id);
    mark_leaving(id, known != nullptr ? known->started_ms : 0);
}

void backend_registry::mark_leaving(const backend_id& id, std::int64_t started_ms) {
    const auto found = backends_.find(id);
    if (found != backends_.end() && started_ms < found->second.backend.started_ms) {
        return;
    }
    departure& left = departures_.try_emplace(id, make_departure()).first->second;
    const bool restarted = left.leaving_start && *left.leaving_start < started_ms;
    const bool first = !left.leaving_start || restarted;
    if (restarted) {
        left = make_departure();
    }
    if (first) {
        left.leaving_start = started_ms;
    }
    if (found == backends_.end()) {
        return;
    }
    found->second.backend.leaving = true;
    if (first) {
        changes_.push_back({registry_event::leaving, found->second.backend});
    }
}

bool backend_registry::removals_deferred(time_point now) const {
    if (away_since_ && now - *away_since_ >= min_expiring_outage()) {
        return true;
    }
    return store_returned_ && now < *store_returned_ + return_grace;
}

void backend_registry::remove(const backend_id& id, time_point now) {
    const auto found = backends_.find(id);
    if (found == backends_.end()) {
        return;
    }
    if (removals_deferred(now) && !found->second.backend.leaving) {
        if (!found->second.removal_due) {
            changes_.push_back({registry_event::lapsed, found->second.backend});
        }
        found->second.removal_due = store_returned_.value_or(now) + return_grace;
        return;
    }
    erase(id);
}

void backend_registry::erase(const backend_id& id) {
    const auto found = backends_.find(id);
    changes_.push_back({registry_event::gone, found->second.backend});
    departures_.try_emplace(id, make_departure());
    backends_.erase(found);
}

void backend_registry::forget(const backend_id& id) {
    if (backends_.contains(id)) {
        erase(id);
    }
}

std::vector<backend_id> backend_registry::missing_from(const std::set<backend_id>& listed) const {
    std::vector<backend_id> missing;
    for (const auto& [id, record] : backends_) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    return missing;
}

bool backend_registry::has_lapsed(const backend_id& id) const {
    const auto found = backends_.find(id);
    return found != backends_.end() && found->second.removal_due;
}

milliseconds backend_registry::time_to_removal(const backend_id& id, time_point now) const {
    if (store_away() || !has_lapsed(id)) {
        return {};
    }
    const duration left = *backends_.at(id).removal_due - now;
    return std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(left));
}

void backend_registry::update_all(std::span<const registered_backend> entries,
                                  std::span<const backend_id> unreadable, time_point now) {
    std::set<backend_id> listed(unreadable.begin(), unreadable.end());
    for (const registered_backend& backend : entries) {
        listed.insert(backend.id);
        update(backend, now);
    }
    for (const backend_id& id : missing_from(listed)) {
        remove(id, now);
    }
}

void backend_registry::update_from_peer(std::span<const peer_backend> entries, time_point now) {
    const bool knows_nothing = empty();
    std::set<backend_id> listed;
    for (const peer_backend& entry : entries) {
        listed.insert(entry.backend.id);
        if (!entry.lapsed) {
            update(entry.backend, now);
        } else if (knows_nothing) {
            update(entry.backend, now);
            const bool is_due_known = entry.removal_in > milliseconds(0);
            backends_.at(entry.backend.id).removal_due =
                now + (is_due_known ? std::min(entry.removal_in, return_grace) : return_grace);
        } else {
            remove(entry.backend.id, now);
        }
    }
    for (const backend_id& id : missing_from(listed)) {
        erase(id);
    }
}

void backend_registry::store_failed(time_point since) {
    away_since_ = away_since_.value_or(since);
}

void backend_registry::store_answered(time_point now) {
    const auto since = std::exchange(away_since_, std::nullopt);
    if (!since || now - *since < min_expiring_outage()) {
        return;
    }
    store_returned_ = now;
    for (auto& [id, record] : backends_) {
        if (record.removal_due) {
            record.removal_due = now + return_grace;
        }
    }
}

void backend_registry::expire(time_point now) {
    if (store_away()) {
        return;
    }
    std::erase_if(departures_, [now](const auto& item) {
        const departure& left = item.second;
        return !left.leaving_start && left.copies_until &&
               now > *left.copies_until + removal_memory;
    });
    for (const registered_backend& known : all()) {
        const auto& due = backends_.at(known.id).removal_due;
        if (due && now >= *due) {
            erase(known.id);
        }
    }
}

bool backend_registry::takes_work(const registered_backend& backend) const {
    return !backend.leaving && !cordoned_.contains(backend.failure_domain);
}

bool backend_registry::takes_work(const backend_id& id) const {
    const registered_backend* known = find(id);
    return known != nullptr && takes_work(*known);
}

std::vector<const registered_backend*> backend_registry::usable(const service_id& service) const {
    std::vector<const registered_backend*> out;
    for (const auto& [id, record] : backends_) {
        if (record.backend.service == service && takes_work(record.backend)) {
            out.push_back(&record.backend);
        }
    }
    return out;
}

const registered_backend* backend_registry::find(const backend_id& id) const {
    const auto found = backends_.find(id);
    return found == backends_.end() ? nullptr : &found->second.backend;
}

std::string_view backend_registry::describe(const backend_id& id) const {
    const registered_backend* known = find(id);
    if (known == nullptr) {
        return find_departure(id) != nullptr ? "gone" : "unknown";
    }
    if (known->leaving) {
        return "leaving";
    }
    if (has_lapsed(id)) {
        return "lapsed";
    }
    return takes_work(*known) ? "listed" : "cordoned";
}

std::vector<registered_backend> backend_registry::page_after(const backend_id& after,
                                                             std::size_t limit) const {
    std::vector<registered_backend> out;
    for (auto it = backends_.upper_bound(after); it != backends_.end() && out.size() < limit;
         ++it) {
        out.push_back(it->second.backend);
    }
    return out;
}

std::vector<registered_backend> backend_registry::all() const {
    std::vector<registered_backend> out;
    for (const auto& [id, record] : backends_) {
        out.push_back(record.backend);
    }
    return out;
}

std::vector<registry_change> backend_registry::take_changes() {
    return std::exchange(changes_, {});
}

} // namespace bamboostream
