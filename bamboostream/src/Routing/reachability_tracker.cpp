#include "bamboostream/src/Routing/reachability_tracker.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// One server may fail in a way that only some instances notice. Two are evidence of a failure in
/// this instance's own network.
constexpr std::ptrdiff_t min_servers = 2;
/// Network failures last for seconds, and a check that gets no answer takes 0.4 s.
constexpr milliseconds check_period{500};
/// Interval between checks after one that succeeded: the other servers can probably be reached too.
constexpr milliseconds check_period_after_success{20};

} // namespace

bool reachability_tracker::on_connected(const service_id& service, const backend_id& server,
                                        time_point now) {
    last_connected_[service] = now;
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return false;
    }
    service_state& state = found->second;
    const bool was_cut_off = state.cut_off;
    state.servers.erase(server);
    std::erase_if(state.servers, [](const auto& entry) { return entry.second.assumed; });
    state.cut_off = false;
    state.last_connected = now;
    state.next_check = now + check_period_after_success;
    if (state.servers.empty()) {
        services_.erase(found);
    }
    return was_cut_off;
}

bool reachability_tracker::on_reached_by_peer(const service_id& service, const backend_id& server,
                                              std::span<const registered_backend* const> usable,
                                              time_point now) {
    service_state& state = services_[service];
    if (state.servers.empty()) {
        state.next_check = now + check_period;
    }
    if (server_state& found = state.servers[server]; found.since == time_point{} || found.assumed) {
        found = {now, now, false};
    }
    const auto found_since =
        std::count_if(state.servers.begin(), state.servers.end(), [&state](const auto& entry) {
            return !entry.second.assumed && entry.second.since > state.last_connected;
        });
    if (state.cut_off || found_since < min_servers) {
        return false;
    }
    state.cut_off = true;
    for (const registered_backend* other : usable) {
        state.servers.try_emplace(other->id, server_state{now, {}, true});
    }
    return true;
}

void reachability_tracker::forget(const service_id& service, const backend_id& server) {
    const auto found = services_.find(service);
    if (found != services_.end()) {
        found->second.servers.erase(server);
        if (found->second.servers.empty()) {
            services_.erase(found);
        }
    }
}

bool reachability_tracker::is_cut_off(const service_id& service, const backend_id& server) const {
    const auto found = services_.find(service);
    return found != services_.end() &&
           (found->second.cut_off || found->second.servers.contains(server));
}

bool reachability_tracker::is_found_cut_off(const service_id& service,
                                            const backend_id& server) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return false;
    }
    const auto known = found->second.servers.find(server);
    return known != found->second.servers.end() && !known->second.assumed;
}

bool reachability_tracker::is_cut_off(const service_id& service) const {
    const auto found = services_.find(service);
    return found != services_.end() && found->second.cut_off;
}

time_point reachability_tracker::last_connected(const service_id& service) const {
    const auto found = last_connected_.find(service);
    return found == last_connected_.end() ? time_point::min() : found->second;
}

std::size_t reachability_tracker::servers_cut_off(const service_id& service) const {
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.servers.size();
}

std::size_t reachability_tracker::servers_cut_off() const {
    std::size_t count = 0;
    for (const auto& [service, state] : services_) {
        count += state.servers.size();
    }
    return count;
}

std::vector<reachability_tracker::check> reachability_tracker::take_due_checks(time_point now) {
    std::vector<check> out;
    for (auto& [service, state] : services_) {
        if (now < state.next_check || state.servers.empty()) {
            continue;
        }
        const auto least_recent = std::min_element(
            state.servers.begin(), state.servers.end(),
            [](const auto& a, const auto& b) { return a.second.checked < b.second.checked; });
        least_recent->second.checked = now;
        state.next_check = now + check_period;
        out.push_back({service, least_recent->first});
    }
    return out;
}

} // namespace bamboostream
