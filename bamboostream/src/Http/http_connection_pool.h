#pragma once

#include "bamboostream/src/Http/http_connection.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace bamboostream {

/// Idle client connections by address, so that few requests have to open a new one. Not
/// thread-safe: all calls must be made on one thread.
class http_connection_pool {
public:
    /// The most recently used idle connection to `address` that has been idle for less than
    /// `max_idle`; null when there is none.
    std::shared_ptr<http_connection> take(const std::string& address, duration max_idle,
                                          time_point now);
    /// Keeps a connection for reuse when it can carry another exchange, and closes it otherwise.
    void give_back(const std::string& address, std::shared_ptr<http_connection> connection,
                   time_point now);
    /// Closes the idle connections to `address`.
    void drop(const std::string& address);
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
    std::unordered_map<std::string, std::deque<idle_connection>> idle_;
};

} // namespace bamboostream
