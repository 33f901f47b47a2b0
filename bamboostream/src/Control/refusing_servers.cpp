#include "bamboostream/src/Control/refusing_servers.h"

#include <algorithm>
#include <utility>

namespace bamboostream {

namespace {

/// How recently another server must have been reached for a refusal to be no fault of the network.
constexpr milliseconds proof_lifetime{50};
constexpr milliseconds first_ask_interval{50};
constexpr milliseconds max_ask_interval{1'000};

} // namespace

void refusing_servers::on_refused(const server_address& server, std::int64_t started,
                                  time_point now) {
    if (servers_.size() >= max_servers) {
        return;
    }
    const auto [place, added] = servers_.try_emplace(server.id);
    if (added) {
        place->second.address = server.address;
        place->second.started = started;
        place->second.since = now;
        place->second.ask_at = now + first_ask_interval;
        place->second.ask_interval = first_ask_interval;
    }
}

void refusing_servers::on_ended(const backend_id& server) {
    const auto found = servers_.find(server);
    if (found != servers_.end() && !std::exchange(found->second.ended, true)) {
        found->second.ask_at = time_point::min();
        found->second.ask_interval = first_ask_interval;
    }
}

void refusing_servers::confirm_end(const backend_id& server) {
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    found->second.ended = true;
    const std::vector<end_listener> listeners = std::exchange(found->second.listeners, {});
    listener_count_ -= listeners.size();
    for (const end_listener& listener : listeners) {
        listener();
    }
}

void refusing_servers::on_reached(const backend_id& server, time_point now) {
    reached_ = server;
    reached_at_ = now;
    // An ending process may still accept a connection, so the others are checked again.
    if (has_ended(server)) {
        erase(server);
    }
}

void refusing_servers::await_end(const backend_id& server, end_listener listener) {
    const auto found = servers_.find(server);
    if (found == servers_.end() || listener_count_ >= max_listeners) {
        return;
    }
    ++listener_count_;
    found->second.listeners.push_back(std::move(listener));
}

bool refusing_servers::has_ended(const backend_id& server) const {
    const auto found = servers_.find(server);
    return found != servers_.end() && found->second.ended;
}

std::string refusing_servers::address_of(const backend_id& server) const {
    const auto found = servers_.find(server);
    return found == servers_.end() ? std::string() : found->second.address;
}

bool refusing_servers::is_network_proven(const backend_id& server, time_point now) const {
    const auto found = servers_.find(server);
    return found != servers_.end() && reached_ != server &&
           reached_at_ >= found->second.since + partition_spread &&
           now - reached_at_ <= proof_lifetime;
}

std::vector<refusing_servers::open_question> refusing_servers::open_questions() const {
    std::vector<open_question> out;
    for (const auto& [id, it] : servers_) {
        if (!it.ended || !it.listeners.empty()) {
            out.push_back({{id, it.address}, it.started, !it.listeners.empty()});
        }
    }
    return out;
}

bool refusing_servers::may_ask_others(const backend_id& server, time_point now) {
    const auto found = servers_.find(server);
    if (found == servers_.end() || now < found->second.ask_at) {
        return false;
    }
    found->second.ask_at = now + found->second.ask_interval;
    found->second.ask_interval =
        std::min<duration>(2 * found->second.ask_interval, max_ask_interval);
    return true;
}

void refusing_servers::expire(const std::function<bool(const backend_id&)>& is_listed,
                              time_point now) {
    for (auto it = servers_.begin(); it != servers_.end();) {
        const auto next = std::next(it);
        const bool open = !it->second.ended || !it->second.listeners.empty();
        if (now >= it->second.since + max_age && (open || !is_listed(it->first))) {
            erase(backend_id(it->first));
        }
        it = next;
    }
}

void refusing_servers::erase(const backend_id& server) {
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
        listener_count_ -= found->second.listeners.size();
        servers_.erase(found);
    }
}

} // namespace bamboostream
