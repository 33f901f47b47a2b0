#include "bamboostream/src/Limits/cold_start_limit.h"

#include "bamboostream/src/Core/digest.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace bamboostream {

namespace {

/// One second, plus a margin: slow connections spread the arrival of requests that were sent within
/// one second.
constexpr milliseconds window{1'250};
/// An instance that has just started knows few others, and few others may know yet of the new owner
/// of a service. Membership changes reach all instances within a second.
constexpr milliseconds settling_time{2'000};
/// Share of the limit that each role gets.
constexpr double owner_share = 0.5;
constexpr double standby_share = 0.2;
constexpr double fallback_share = 0.1;
constexpr double peer_share = 0.6;
/// How much of a share is used when instances take turns: the turns of two consecutive seconds may
/// fall into one sliding window, and some seconds have more turns than the mean.
constexpr double turn_utilization = 0.3;

double share_of(sender_role role) {
    switch (role) {
    case sender_role::owner:
        return owner_share;
    case sender_role::standby:
        return standby_share;
    case sender_role::fallback:
        return fallback_share;
    case sender_role::peer:
        break;
    }
    return peer_share;
}

/// Whether one instance at a time has the role, so that it needn't divide the share.
bool is_exclusive(sender_role role) {
    return role == sender_role::owner || role == sender_role::standby;
}

} // namespace

void cold_start_limit::update_instance_count(std::size_t live, time_point now) {
    if (!first_update_) {
        first_update_ = now;
    }
    instances_.update(live, now);
}

void cold_start_limit::update_role(const service_id& service, sender_role role, time_point now) {
    const auto [held, is_new] = roles_.try_emplace(service, role_entry{role, now});
    if (!is_new && held->second.role != role) {
        held->second = {role, now};
    }
}

sender_role cold_start_limit::role(const service_id& service, time_point now) const {
    const auto held = roles_.find(service);
    const bool settled = held != roles_.end() && now - held->second.since >= settling_time;
    return settled && 2 * instances_.live() > instances_.max_recent() ? held->second.role
                                                                      : sender_role::fallback;
}

std::size_t cold_start_limit::sent_in_window(const backend_id& server, time_point now) {
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
    if (!first_update_ || now - *first_update_ < settling_time) {
        return false;
    }
    const double bound = std::floor(per_second * rules_->factor + rules_->slack);
    const double part = bound * share_of(role);
    const double own =
        is_exclusive(role) ? part : part / static_cast<double>(instances_.max_recent());
    const auto sent = static_cast<double>(sent_in_window(server, now));
    if (own >= 1.0) {
        return sent + 1.0 <= own;
    }
    if (is_exclusive(role)) {
        return false;
    }
    return sent < 1.0 && has_turn(server, own * turn_utilization, now);
}

void cold_start_limit::record_send(const backend_id& server, time_point now) {
    sent_in_window(server, now);
    sent_[server].push_back(now);
}

} // namespace bamboostream
