#include "bamboostream/src/Limits/cold_start_limit.h"

#include "bamboostream/src/Core/digest.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace bamboostream {

namespace {

/// Requests that are sent within one second arrive within one, give or take a slow connection.
constexpr milliseconds window{1'250};
/// An instance that has just started knows few others, and one that has just become the owner of a
/// service may share that view with few. Membership spreads within a second.
constexpr milliseconds settling_time{2'000};
constexpr seconds sighting_memory{60};
/// Parts of the bound.
constexpr double owner_part = 0.5;
constexpr double deputy_part = 0.2;
constexpr double stand_in_part = 0.1;
constexpr double peer_part = 0.6;
/// Of a part that is shared by turns: the turns of two seconds may fall into one, and some second
/// has more of them than the mean.
constexpr double turn_part = 0.3;

double part_of(sender_role role) {
    switch (role) {
    case sender_role::owner:
        return owner_part;
    case sender_role::standby:
        return deputy_part;
    case sender_role::fallback:
        return stand_in_part;
    case sender_role::peer:
        break;
    }
    return peer_part;
}

bool is_alone(sender_role role) {
    return role == sender_role::owner || role == sender_role::standby;
}

} // namespace

void cold_start_limit::update_instance_count(std::size_t live, time_point now) {
    if (!first_noted_) {
        first_noted_ = now;
    }
    live_ = live;
    while (!sightings_.empty() && now - sightings_.front().at > sighting_memory) {
        sightings_.pop_front();
    }
    while (!sightings_.empty() && sightings_.back().live <= live) {
        sightings_.pop_back();
    }
    sightings_.push_back({now, live});
}

std::size_t cold_start_limit::most_instances() const {
    return sightings_.empty() ? live_ : std::max(live_, sightings_.front().live);
}

void cold_start_limit::update_role(const service_id& service, sender_role role, time_point now) {
    const auto [held, is_new] = roles_.try_emplace(service, held_role{role, now});
    if (!is_new && held->second.role != role) {
        held->second = {role, now};
    }
}

sender_role cold_start_limit::role(const service_id& service, time_point now) const {
    const auto held = roles_.find(service);
    const bool settled = held != roles_.end() && now - held->second.since >= settling_time;
    return settled && 2 * live_ > most_instances() ? held->second.role : sender_role::fallback;
}

std::size_t cold_start_limit::sent_lately(const backend_id& server, time_point now) {
    const auto found = sent_.find(server);
    if (found == sent_.end()) {
        return 0;
    }
    std::deque<time_point>& times = found->second;
    while (!times.empty() && now - times.front() >= window) {
        times.pop_front();
    }
    const std::size_t count = times.size();
    if (count == 0) {
        sent_.erase(found);
    }
    return count;
}

bool cold_start_limit::has_turn(const backend_id& server, double probability,
                                time_point now) const {
    const auto second = std::chrono::floor<seconds>(now.time_since_epoch()).count();
    const std::uint64_t drawn =
        stable_hash(server.text(), self_ + static_cast<std::uint64_t>(second));
    constexpr auto most = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return static_cast<double>(drawn) < probability * most;
}

bool cold_start_limit::may_send(const backend_id& server, double per_second, sender_role role,
                                time_point now) {
    if (!rules_ || per_second <= 0.0) {
        return true;
    }
    if (!first_noted_ || now - *first_noted_ < settling_time) {
        return false;
    }
    const double bound = std::floor(per_second * rules_->factor + rules_->slack);
    const double part = bound * part_of(role);
    const double own = is_alone(role) ? part : part / static_cast<double>(most_instances());
    const auto sent = static_cast<double>(sent_lately(server, now));
    if (own >= 1.0) {
        return sent + 1.0 <= own;
    }
    if (is_alone(role)) {
        return false;
    }
    return sent < 1.0 && has_turn(server, own * turn_part, now);
}

void cold_start_limit::record_send(const backend_id& server, time_point now) {
    sent_lately(server, now);
    sent_[server].push_back(now);
}

} // namespace bamboostream
