#include "bamboostream/src/Forwarding/backend_connection.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// A connection within a region takes a few milliseconds; a lost packet is retransmitted after a
/// second. A shorter timeout detects a dead server early, and trying another one is safe because
/// nothing has been sent.
constexpr milliseconds connect_timeout{400};
/// A direct connection that takes longer than this competes with a tunnel. It leaves callers that
/// wait for 0.6 s the time for both and for their response.
constexpr milliseconds tunnel_delay{100};

/// A request that the server's host hasn't acknowledged for this long is held by the network.
constexpr milliseconds min_unacknowledged{100};

/// A direct connection and a tunnel to the same server; the first to be established is used.
struct connection_race {
    explicit connection_race(const asio::any_io_executor& executor) : changed(executor) {}

    asio::steady_timer changed;
    /// Null until they are established.
    std::shared_ptr<http_connection> direct;
    std::shared_ptr<http_connection> tunnel;
    bool direct_failed = false;
    bool tunnel_failed = false;
    /// One of them is in use, or the time is over: the other one is closed when it is established.
    bool decided = false;
    http_failure direct_failure;

    bool is_open() const { return !direct && !tunnel && !(direct_failed && tunnel_failed); }
};

asio::awaitable<void> connect_directly(forwarding_state& state,
                                       std::shared_ptr<connection_race> race,
                                       registered_backend server, milliseconds timeout) {
    const auto connection = std::make_shared<http_connection>(co_await asio::this_coro::executor);
    ++state.counters.new_connections;
    const bool connected = co_await connection->connect(
        server.address, timeout, race->direct_failure, state.outbound_address);
    if (!connected) {
        ++(connection->timed_out() ? state.counters.connects_timed_out
                                   : state.counters.connects_refused);
        race->direct_failed = true;
    } else {
        record_direct_connection(state, server, monotonic_now());
        if (race->decided) {
            connection->close();
        } else {
            race->direct = connection;
        }
    }
    race->changed.cancel();
}

asio::awaitable<void> connect_through_peer(forwarding_state& state,
                                           std::shared_ptr<connection_race> race,
                                           registered_backend server, std::string request_id,
                                           time_point until) {
    tunnel_failure why;
    auto connection = co_await state.tunnels->open(server, std::move(request_id), until, why);
    if (connection && race->decided) {
        connection->close();
    } else if (connection) {
        race->tunnel = std::move(connection);
    }
    race->tunnel_failed = !race->tunnel;
    race->changed.cancel();
}

/// From now on, new connections to the server go through other instances. Idle direct ones may be
/// dead without a sign of it.
void record_cut_off(forwarding_state& state, const registered_backend& server,
                    const std::string& carrier, time_point now) {
    const auto usable = state.registry.usable(server.service);
    if (state.reachability.on_reached_by_peer(server.service, server.id, usable, now)) {
        log_event(events::service_cut_off, "service={} backend={} carrier={} usable={}",
                  server.service.text(), server.id.text(), carrier, usable.size());
        for (const registered_backend* other : usable) {
            state.connections.drop_direct(other->address);
        }
    }
    state.connections.drop_direct(server.address);
    state.tunnels->start_checks();
}

asio::awaitable<backend_connection> open_tunnel(forwarding_state& state, registered_backend server,
                                                connection_request wanted, http_failure& why) {
    backend_connection out;
    const time_point now = monotonic_now();
    out.connection =
        state.connections.take(server.address, wanted.max_idle, now, connection_path::tunneled);
    out.reused = out.connection != nullptr;
    if (!out.reused) {
        tunnel_failure failure;
        out.connection = co_await state.tunnels->open(
            server, wanted.request_id, std::min(wanted.deadline, now + connect_timeout), failure);
        why.set(http_error::not_connected, failure.text);
    }
    co_return out;
}

asio::awaitable<backend_connection> open_first(forwarding_state& state, registered_backend server,
                                               connection_request wanted, http_failure& why) {
    const auto executor = co_await asio::this_coro::executor;
    const auto race = std::make_shared<connection_race>(executor);
    const time_point now = monotonic_now();
    const time_point limit = std::min(wanted.deadline, now + connect_timeout);
    asio::co_spawn(executor,
                   connect_directly(state, race, server,
                                    std::chrono::duration_cast<milliseconds>(limit - now)),
                   log_exception);
    co_await wait_on(race->changed, std::min(limit, now + tunnel_delay));
    race->tunnel_failed = state.tunnels == nullptr;
    if (race->is_open() && !race->tunnel_failed) {
        asio::co_spawn(executor,
                       connect_through_peer(state, race, server, wanted.request_id, limit),
                       log_exception);
    }
    while (race->is_open() && monotonic_now() < limit) {
        co_await wait_on(race->changed, limit);
    }
    race->decided = true;
    backend_connection out;
    out.connection = race->direct ? race->direct : race->tunnel;
    if (race->direct && race->tunnel) {
        race->tunnel->close();
    } else if (race->tunnel) {
        record_cut_off(state, server, race->tunnel->carrier(), monotonic_now());
    } else if (!race->direct) {
        why.set(http_error::not_connected,
                race->direct_failed ? race->direct_failure.text : "connecting timed out");
    }
    co_return out;
}

asio::awaitable<backend_connection> take_or_open(forwarding_state& state, registered_backend server,
                                                 connection_request wanted, http_failure& why) {
    backend_connection out;
    if (state.tunnels != nullptr && state.reachability.is_cut_off(server.service, server.id)) {
        out = co_await open_tunnel(state, server, wanted, why);
        if (out.connection || state.reachability.is_found_cut_off(server.service, server.id)) {
            co_return out;
        }
    }
    out.connection = state.connections.take(server.address, wanted.max_idle, monotonic_now());
    out.reused = out.connection != nullptr;
    if (!out.reused) {
        out = co_await open_first(state, std::move(server), std::move(wanted), why);
    }
    co_return out;
}

} // namespace

asio::awaitable<backend_connection> open_backend_connection(forwarding_state& state,
                                                            registered_backend server,
                                                            connection_request wanted,
                                                            http_failure& why) {
    const std::string address = server.address;
    backend_connection out =
        co_await take_or_open(state, std::move(server), std::move(wanted), why);
    if (out.connection && !out.reused) {
        state.connections.add(address, out.connection);
    }
    co_return out;
}

asio::awaitable<void> abandon_held_requests(forwarding_state& state, registered_backend server) {
    const departure* left = state.registry.find_departure(server.id);
    const time_point now = monotonic_now();
    const time_point last_send = left != nullptr ? left->copies_until.value_or(now) : now;
    co_await pause_for(std::max(duration{}, last_send - now) + min_unacknowledged);
    state.connections.abandon_unacknowledged(server.address, min_unacknowledged, monotonic_now());
}

void record_direct_connection(forwarding_state& state, const registered_backend& server,
                              time_point now) {
    if (state.reachability.on_connected(server.service, server.id, now)) {
        log_event(events::service_reachable, "service={} backend={}", server.service.text(),
                  server.id.text());
    }
}

asio::awaitable<void> check_direct_connection(forwarding_state& state, registered_backend server) {
    const auto connection = std::make_shared<http_connection>(co_await asio::this_coro::executor);
    http_failure ignored;
    ++state.counters.new_connections;
    const bool connected = co_await connection->connect(server.address, connect_timeout, ignored,
                                                        state.outbound_address);
    if (connected) {
        record_direct_connection(state, server, monotonic_now());
    }
    connection->close();
}

} // namespace bamboostream
