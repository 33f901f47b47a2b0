#include "bamboostream/src/Http/http_connection_pool.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// For servers that don't announce how long they keep an idle connection; they commonly keep it for
/// 5 s or more.
constexpr seconds default_keep_alive_timeout{4};
/// A request that is in transit when the server closes the connection is lost; this margin covers
/// the transit time.
constexpr milliseconds idle_margin{500};
/// Per address. Idle connections beyond what a burst needs only occupy file descriptors.
constexpr std::size_t max_idle_connections = 64;

connection_path path_of(const http_connection& connection) {
    return connection.carrier().empty() ? connection_path::direct : connection_path::tunneled;
}

} // namespace

std::shared_ptr<http_connection> http_connection_pool::take(const std::string& address,
                                                            duration max_idle, time_point now,
                                                            connection_path path) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& connections = found->second.at(static_cast<std::size_t>(path));
    while (!connections.empty()) {
        idle_connection last = std::move(connections.back());
        connections.pop_back();
        if (!last.connection->is_open() || now >= last.until) {
            last.connection->close();
            continue;
        }
        if (now - last.since >= max_idle) {
            connections.push_back(std::move(last));
            return nullptr;
        }
        last.connection->stop_watching();
        if (last.connection->has_input()) {
            last.connection->close();
            continue;
        }
        return std::move(last.connection);
    }
    return nullptr;
}

void http_connection_pool::give_back(const std::string& address,
                                     std::shared_ptr<http_connection> connection, time_point now) {
    connection->expire_never();
    if (!connection->reusable()) {
        connection->record_surplus();
        connection->close();
        return;
    }
    const milliseconds limit =
        connection->keep_alive_timeout().value_or(default_keep_alive_timeout);
    auto& connections = idle_[address].at(static_cast<std::size_t>(path_of(*connection)));
    if (limit <= idle_margin || connections.size() >= max_idle_connections) {
        connection->close();
        return;
    }
    connection->watch_idle();
    connections.push_back({std::move(connection), now, now + limit - idle_margin});
}

void http_connection_pool::add(const std::string& address,
                               const std::shared_ptr<http_connection>& connection) {
    open_[address].push_back(connection);
}

std::size_t http_connection_pool::abandon_unacknowledged(const std::string& address, duration age,
                                                         time_point now) {
    const auto found = open_.find(address);
    if (found == open_.end()) {
        return 0;
    }
    std::size_t count = 0;
    for (const auto& entry : found->second) {
        const auto connection = entry.lock();
        if (connection && connection->is_unacknowledged(age, now)) {
            connection->abandon_unacknowledged();
            ++count;
        }
    }
    return count;
}

template <typename predicate>
void http_connection_pool::drop_if(std::deque<idle_connection>& connections, predicate is_dropped) {
    std::erase_if(connections, [&](idle_connection& entry) {
        const bool dropped = is_dropped(entry);
        if (dropped) {
            entry.connection->close();
        }
        return dropped;
    });
}

void http_connection_pool::drop(const std::string& address) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return;
    }
    for (auto& connections : found->second) {
        drop_if(connections, [](const idle_connection&) { return true; });
    }
    idle_.erase(found);
}

void http_connection_pool::drop_direct(const std::string& address) {
    if (const auto found = idle_.find(address); found != idle_.end()) {
        drop_if(found->second.at(static_cast<std::size_t>(connection_path::direct)),
                [](const idle_connection&) { return true; });
    }
}

void http_connection_pool::drop_tunnels_except(std::span<const std::string> carriers) {
    for (auto& [address, by_path] : idle_) {
        drop_if(by_path.at(static_cast<std::size_t>(connection_path::tunneled)),
                [carriers](const idle_connection& entry) {
                    return std::find(carriers.begin(), carriers.end(),
                                     entry.connection->carrier()) == carriers.end();
                });
    }
}

void http_connection_pool::expire(time_point now) {
    for (auto& [address, by_path] : idle_) {
        for (auto& connections : by_path) {
            drop_if(connections, [now](const idle_connection& entry) {
                return now >= entry.until || !entry.connection->is_open();
            });
        }
    }
    for (auto& [address, connections] : open_) {
        std::erase_if(connections, [](const auto& entry) {
            const auto connection = entry.lock();
            return !connection || !connection->is_open();
        });
    }
    std::erase_if(open_, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(idle_, [](const auto& entry) {
        return std::all_of(entry.second.begin(), entry.second.end(),
                           [](const auto& connections) { return connections.empty(); });
    });
}

std::size_t http_connection_pool::idle() const {
    std::size_t count = 0;
    for (const auto& [address, by_path] : idle_) {
        for (const auto& connections : by_path) {
            count += connections.size();
        }
    }
    return count;
}

} // namespace bamboostream
