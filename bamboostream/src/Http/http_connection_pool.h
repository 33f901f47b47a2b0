#pragma once

#include "bamboostream/src/Http/http_connection.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace bamboostream {

/// Idle client connections by address, so that a request seldom pays for a new one. Lives on one
/// thread.
class http_connection_pool {
public:
    /// The most recently used idle connection to `address` that has been idle for less than
    /// `max_idle`; null when there is none.
    std::shared_ptr<http_connection> take(const std::string& address, duration max_idle,
                                          time_point now);
    /// Keeps a connection for later when it is fit for another exchange, else closes it.
    void give_back(const std::string& address, std::shared_ptr<http_connection> connection,
                   time_point now);
    /// Closes the idle connections to `address`.
    void drop(const std::string& address);
    /// Closes connections that nobody will take again.
    void expire(time_point now);
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
