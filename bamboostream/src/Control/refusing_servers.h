#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bamboostream {

/// A backend server and its address.
struct server_address {
    backend_id id;
    std::string address;
};

/// Backend servers that have refused a connection, until it is known whether their processes have
/// ended.
///
/// A refused connection proves nothing while no other server can be reached: either the network is
/// broken, or all servers have crashed within a short time. The question is kept until another
/// server is reached. If the server still refuses connections then, its process has ended.
///
/// Guarantees: bounded memory; a question that stays open is dropped after `max_age`. Not
/// thread-safe.
class refusing_servers {
public:
    using end_listener = std::function<void()>;

    /// Servers have restarted within this time. The evidence of a crash is of no use later, since
    /// the server may have crashed again.
    static constexpr std::chrono::seconds max_age{10};
    /// A partition neither begins nor ends for all servers in the same instant. A server that is
    /// reached sooner after the refusal does not show that the network works, and one that refuses
    /// sooner after that may still be affected.
    static constexpr milliseconds partition_spread{20};
    static constexpr std::size_t max_servers = 256;
    static constexpr std::size_t max_listeners = 4'096;

    /// Records that a connection was refused. `started` is the start stamp under which the server
    /// is registered; zero if unknown. Has no effect on a server that is known already, or if there
    /// are too many.
    void on_refused(const server_address& server, std::int64_t started, time_point now);
    /// Records that, as far as this instance can tell, the server's process has ended.
    void on_ended(const backend_id& server);
    /// Records that other instances agree, and calls the listeners that wait for it.
    void confirm_end(const backend_id& server);
    /// Records that the server accepts connections. Its listeners are dropped.
    void on_running(const backend_id& server) { erase(server); }
    /// Records that a server has responded to a request of this instance.
    void on_reached(const backend_id& server, time_point now);

    /// Calls `listener` once it is known that the process has ended; never if it runs or if that is
    /// not known in time. Has no effect if the server is not among those recorded.
    void await_end(const backend_id& server, end_listener listener);

    bool empty() const { return servers_.empty(); }
    /// Whether the server's process has ended, as far as this instance can tell.
    bool has_ended(const backend_id& server) const;
    /// The address under which the server refused connections; empty if it is not recorded.
    std::string address_of(const backend_id& server) const;
    /// Whether the server's refusals are known not to be caused by the network: another server was
    /// reached since, and a moment ago.
    bool is_network_proven(const backend_id& server, time_point now) const;
    /// A server whose process may have ended.
    struct open_question {
        server_address server;
        std::int64_t started = 0;
        bool has_listeners = false;
    };
    std::vector<open_question> open_questions() const;
    /// Whether other instances should be asked now; true again after a time that grows with each
    /// call that returned true.
    bool may_ask_others(const backend_id& server, time_point now);
    /// Drops questions that are too old, and ended servers of the same age that `is_listed` says
    /// are no longer registered.
    void expire(const std::function<bool(const backend_id&)>& is_listed, time_point now);
    std::size_t listeners() const { return listener_count_; }

private:
    struct record {
        std::string address;
        std::int64_t started = 0;
        time_point since{};
        bool ended = false;
        std::vector<end_listener> listeners;
        time_point ask_at{};
        duration ask_interval{};
    };
    void erase(const backend_id& server);

    std::map<backend_id, record> servers_;
    std::size_t listener_count_ = 0;
    backend_id reached_;
    time_point reached_at_{};
};

} // namespace bamboostream
