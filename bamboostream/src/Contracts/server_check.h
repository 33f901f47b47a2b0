#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace bamboostream {

/// What is known about the process that listens on an address.
enum class process_state : std::uint8_t {
    running,
    ended,
    /// No response: the machine may be down, frozen or unreachable.
    unknown,
};

/// The name of a state in log lines.
std::string_view to_string(process_state state);

/// Checks whether the process of a backend server has ended, after a connection to it broke.
///
/// When a process has ended, its machine refuses connections at once, while the server's entry
/// stays in the registry for seconds. A machine that is down or unreachable refuses nothing, so the
/// state is unknown. Requests that lose their connections at the same time share one check; only a
/// result that can't change any more, that the process has ended, is also shared afterwards. Not
/// thread-safe: all calls must be made on one thread.
///
/// Example: `if (co_await checks.check(id, address) == process_state::ended) …`
class server_check {
public:
    /// Sets the IP address from which connections are made; empty to let the system choose.
    void set_local_address(std::string ip) { local_address_ = std::move(ip); }
    /// Takes about 20 ms for a running process, less for one that has ended, and at most 0.4 s.
    boost::asio::awaitable<process_state> check(backend_id id, std::string address);
    /// As above, but never shares a check with anyone. A server that accepts connections and closes
    /// them at once counts as unknown: a device in the network may do that.
    boost::asio::awaitable<process_state> check_now(std::string address);
    /// Number of checks that found a server ended. Requests that share a check count once.
    std::uint64_t ended_servers() const { return ended_servers_; }

private:
    struct pending_check {
        explicit pending_check(const boost::asio::any_io_executor& executor) : done(executor) {}
        process_state state = process_state::unknown;
        bool complete = false;
        /// The result is shared until then.
        time_point valid_until{};
        boost::asio::steady_timer done;
    };

    std::map<backend_id, std::shared_ptr<pending_check>> checks_;
    std::string local_address_;
    std::uint64_t ended_servers_ = 0;
};

} // namespace bamboostream
