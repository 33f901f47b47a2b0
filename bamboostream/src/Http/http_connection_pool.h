#pragma once

#include "bamboostream/src/Http/http_connection.h"

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// How a connection reaches its server.
enum class connection_path : std::uint8_t { direct, tunneled };

/// The client connections by address: the idle ones, so that few requests have to open a new one,
/// and those in use. Direct connections and tunnels to the same server are kept apart. Not
/// thread-safe: all calls must be made on one thread.
class http_connection_pool {
public:
    /// The most recently used idle connection to `address` that has been idle for less than
    /// `max_idle`; null when there is none. One on which bytes have arrived since its last response
    /// is closed.
    std::shared_ptr<http_connection> take(const std::string& address, duration max_idle,
                                          time_point now,
                                          connection_path path = connection_path::direct);
    /// Keeps a connection for reuse when it can carry another exchange, and closes it otherwise.
    void give_back(const std::string& address, std::shared_ptr<http_connection> connection,
                   time_point now);
    /// Registers a new connection, which `abandon_unacknowledged` then finds while it is in use.
    void add(const std::string& address, const std::shared_ptr<http_connection>& connection);
    /// Closes the connections to `address` whose request was sent `age` before `now` or earlier and
    /// hasn't been acknowledged by the server's host. Returns their number.
    std::size_t abandon_unacknowledged(const std::string& address, duration age, time_point now);
    /// Closes the idle connections to `address`.
    void drop(const std::string& address);
    /// Closes the idle direct connections to `address`.
    void drop_direct(const std::string& address);
    /// Closes the idle tunnels whose carrier is not among `carriers`.
    void drop_tunnels_except(std::span<const std::string> carriers);
    /// Closes connections that have been idle for too long, and forgets those that were closed.
    void expire(time_point now);
    /// Number of idle connections.
    std::size_t idle() const;

private:
    struct idle_connection {
        std::shared_ptr<http_connection> connection;
        time_point since;
        time_point until;
    };
    /// Closes and removes the connections for which `is_dropped` returns true.
    template <typename predicate>
    static void drop_if(std::deque<idle_connection>& connections, predicate is_dropped);

    /// Per address and path, the most recently used connection last.
    std::unordered_map<std::string, std::array<std::deque<idle_connection>, 2>> idle_;
    /// All connections, in use or not. Closed ones are removed in `expire`.
    std::unordered_map<std::string, std::vector<std::weak_ptr<http_connection>>> open_;
};

} // namespace bamboostream
