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

} // namespace

std::shared_ptr<http_connection> http_connection_pool::take(const std::string& address,
                                                            duration max_idle, time_point now) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& connections = found->second;
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
        return std::move(last.connection);
    }
    return nullptr;
}

void http_connection_pool::give_back(const std::string& address,
                                     std::shared_ptr<http_connection> connection, time_point now) {
    connection->expire_never();
    if (!connection->reusable()) {
        connection->close();
        return;
    }
    const milliseconds limit =
        connection->keep_alive_timeout().value_or(default_keep_alive_timeout);
    auto& connections = idle_[address];
    if (limit <= idle_margin || connections.size() >= max_idle_connections) {
        connection->close();
        return;
    }
    connection->watch_idle();
    connections.push_back({std::move(connection), now, now + limit - idle_margin});
}

void http_connection_pool::drop(const std::string& address) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return;
    }
    for (idle_connection& entry : found->second) {
        entry.connection->close();
    }
    idle_.erase(found);
}

void http_connection_pool::expire(time_point now) {
    for (auto& [address, connections] : idle_) {
        std::erase_if(connections, [now](idle_connection& entry) {
            const bool expired = now >= entry.until || !entry.connection->is_open();
            if (expired) {
                entry.connection->close();
            }
            return expired;
        });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t http_connection_pool::idle() const {
    std::size_t count = 0;
    for (const auto& [address, connections] : idle_) {
        count += connections.size();
    }
    return count;
}

} // namespace bamboostream
