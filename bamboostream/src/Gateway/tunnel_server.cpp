#include "bamboostream/src/Gateway/tunnel_server.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Forwarding/backend_connection.h"
#include "bamboostream/src/Http/address.h"
#include "bamboostream/src/Http/socket_writer.h"
#include "bamboostream/src/Links/frame_codec.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string_view>
#include <vector>

namespace bamboostream {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

/// Each tunnel takes two file descriptors and some 20 KB.
constexpr std::size_t max_tunnels = 512;
constexpr std::size_t buffer_size = 8 * 1024;
/// Longer than any request waits and than any idle connection is kept. Only a tunnel whose other
/// instance has vanished without closing it is idle for longer.
constexpr seconds max_idle{60};
constexpr seconds idle_check_period{5};
/// A connection to a server takes a few milliseconds. If one takes longer, the network may be
/// broken, and connections to other servers are tried.
constexpr milliseconds control_delay{20};
constexpr milliseconds control_timeout{80};
/// Another server may be down as well.
constexpr std::size_t max_controls = 2;

auto token(error_code& ec) {
    return asio::redirect_error(asio::use_awaitable, ec);
}

constexpr std::string_view to_string(wire::TunnelResult result) {
    constexpr std::array<std::string_view, 6> names = {"connected", "refused", "no_answer",
                                                       "cut_off",   "busy",    "leaving"};
    return names.at(static_cast<std::size_t>(result));
}

constexpr std::string_view to_string(wire::ServiceReach service) {
    constexpr std::array<std::string_view, 3> names = {"unknown", "reached", "not_reached"};
    return names.at(static_cast<std::size_t>(service));
}

} // namespace

namespace internal {

/// Connections to servers of one service, which show whether this instance reaches it.
struct control_connections {
    explicit control_connections(asio::io_context& context) : done(context, time_point::max()) {}

    time_point began = monotonic_now();
    std::size_t open = 0;
    bool complete = false;
    /// Cancelled when a connection has succeeded or all have failed.
    asio::steady_timer done;
};

/// One tunnel and its two connections.
struct open_tunnel {
    explicit open_tunnel(tcp::socket socket)
        : origin(std::move(socket)), server(origin.get_executor()), to_server(server),
          last_used(monotonic_now()) {}

    /// The connection of the instance that asked for the tunnel.
    tcp::socket origin;
    tcp::socket server;
    socket_writer to_server;
    time_point last_used;
    bool server_ended = false;

    /// The server gets nothing that is still on its way, like from the origin itself.
    void close() {
        error_code ec;
        if (!server_ended) {
            server.set_option(asio::socket_base::linger(true, 0), ec);
        }
        origin.close(ec);
        server.close(ec);
    }
    /// A response that the server broke off must not look complete.
    void reset_origin() {
        error_code ec;
        origin.set_option(asio::socket_base::linger(true, 0), ec);
        close();
    }
};

namespace {

asio::awaitable<void> forward_to_server(std::shared_ptr<open_tunnel> tunnel) {
    std::vector<char> buffer(buffer_size);
    error_code ec;
    while (!ec) {
        const std::size_t count =
            co_await tunnel->origin.async_read_some(asio::buffer(buffer), token(ec));
        tunnel->last_used = monotonic_now();
        if (!ec && !tunnel->server_ended) {
            // After an error, what the server has sent before is still read, up to its end.
            const socket_writer::buffers bytes{asio::buffer(buffer.data(), count)};
            co_await tunnel->to_server.write(bytes);
        }
        if (tunnel->server_ended && tunnel->origin.is_open() && ec != asio::error::eof) {
            ec = {};
        }
    }
    tunnel->close();
}

asio::awaitable<void> forward_to_origin(std::shared_ptr<open_tunnel> tunnel) {
    std::vector<char> buffer(buffer_size);
    error_code ec;
    while (!ec) {
        const std::size_t count =
            co_await tunnel->server.async_read_some(asio::buffer(buffer), token(ec));
        tunnel->last_used = monotonic_now();
        if (!ec) {
            const std::string record = encode_tunnel_record({buffer.data(), count});
            co_await asio::async_write(tunnel->origin, asio::buffer(record), token(ec));
        }
    }
    // From here on, nothing more is written to the server.
    tunnel->server_ended = ec == asio::error::eof;
    const bool in_order = co_await tunnel->to_server.stop();
    if (!tunnel->server_ended || !in_order) {
        tunnel->reset_origin();
        co_return;
    }
    const std::string end = encode_tunnel_end();
    co_await asio::async_write(tunnel->origin, asio::buffer(end), token(ec));
    tunnel->origin.shutdown(tcp::socket::shutdown_send, ec);
    tunnel->server.close(ec);
}

} // namespace
} // namespace internal

void tunnel_server::start() {
    asio::co_spawn(context_, idle_loop(), log_exception);
}

void tunnel_server::accept(tcp::socket origin, std::unique_ptr<wire::FrameT> frame) {
    asio::co_spawn(
        context_,
        serve(std::make_shared<internal::open_tunnel>(std::move(origin)), std::move(frame)),
        log_exception);
}

bool tunnel_server::reached_since(const service_id& service, time_point began) const {
    return forwarding_.reachability.last_connected(service) >= began;
}

asio::awaitable<void> tunnel_server::connect_to_control(control_ptr control,
                                                        registered_backend server) {
    const auto connection = std::make_shared<http_connection>(context_.get_executor());
    http_failure ignored;
    ++forwarding_.counters.new_connections;
    const bool connected = co_await connection->connect(server.address, control_timeout, ignored,
                                                        forwarding_.outbound_address);
    connection->close();
    if (connected) {
        record_direct_connection(forwarding_, server, monotonic_now());
    }
    --control->open;
    if (connected || control->open == 0) {
        control->complete = true;
        control->done.cancel();
    }
}

tunnel_server::control_ptr tunnel_server::control_for(const registered_backend& failed,
                                                      time_point began) {
    const auto found = controls_.find(failed.service);
    if (found != controls_.end() && (!found->second->complete || found->second->began >= began)) {
        return found->second;
    }
    std::vector<const registered_backend*> others = forwarding_.registry.usable(failed.service);
    std::erase_if(others, [&failed](const auto* other) { return other->id == failed.id; });
    if (others.empty()) {
        return nullptr;
    }
    std::shuffle(others.begin(), others.end(), forwarding_.random);
    others.resize(std::min(others.size(), max_controls));
    auto control = std::make_shared<internal::control_connections>(context_);
    control->open = others.size();
    controls_[failed.service] = control;
    for (const registered_backend* other : others) {
        asio::co_spawn(context_, connect_to_control(control, *other), log_exception);
    }
    return control;
}

asio::awaitable<void> tunnel_server::connect(tunnel_ptr tunnel, const wire::TunnelRequestT& request,
                                             wire::TunnelReplyT& reply) {
    const backend_id id(request.backend);
    const registered_backend* known = forwarding_.registry.find(id);
    reply.load_permille = static_cast<std::uint16_t>(tunnels_.size() * 1'000 / max_tunnels);
    if (forwarding_.leaving || tunnels_.size() >= max_tunnels) {
        reply.result = wire::TunnelResult::busy;
        co_return;
    }
    const departure* left = forwarding_.registry.find_departure(id);
    if (left != nullptr && left->leaving_start && (known == nullptr || known->leaving) &&
        !left->accepts_copies(monotonic_now())) {
        reply.result = wire::TunnelResult::leaving;
        reply.started_ms = *left->leaving_start;
        co_return;
    }
    if (known == nullptr) {
        co_return;
    }
    const registered_backend server = *known;
    if (forwarding_.reachability.is_found_cut_off(server.service, id)) {
        reply.result = wire::TunnelResult::cut_off;
        reply.service = forwarding_.reachability.is_cut_off(server.service)
                            ? wire::ServiceReach::not_reached
                            : wire::ServiceReach::unknown;
        co_return;
    }
    const auto endpoint = to_endpoint(server.address);
    if (!endpoint) {
        co_return;
    }
    const time_point began = monotonic_now();
    error_code ec;
    if (!forwarding_.outbound_address.empty()) {
        bind_to(tunnel->server, forwarding_.outbound_address, ec);
    }
    asio::steady_timer limit(context_, began + milliseconds(request.timeout_ms));
    limit.async_wait([tunnel](const error_code& expired) {
        error_code ignored;
        if (!expired) {
            tunnel->server.close(ignored);
        }
    });
    asio::steady_timer control_due(context_, began + control_delay);
    control_due.async_wait([this, server, began](const error_code& cancelled) {
        if (!cancelled) {
            control_for(server, began);
        }
    });
    ++forwarding_.counters.new_connections;
    co_await tunnel->server.async_connect(*endpoint, token(ec));
    control_due.cancel();
    if (!ec && tunnel->server.is_open()) {
        tunnel->server.set_option(tcp::no_delay(true), ec);
        tunnel->origin.set_option(tcp::no_delay(true), ec);
        record_direct_connection(forwarding_, server, monotonic_now());
        reply.result = wire::TunnelResult::connected;
        co_return;
    }
    if (ec == asio::error::connection_refused || ec == asio::error::connection_reset) {
        reply.result = wire::TunnelResult::refused;
    }
    if (!reached_since(server.service, began)) {
        const control_ptr control = control_for(server, began);
        if (!control) {
            co_return;
        }
        if (!control->complete) {
            co_await control->done.async_wait(token(ec));
        }
    }
    reply.service = reached_since(server.service, began) ? wire::ServiceReach::reached
                                                         : wire::ServiceReach::not_reached;
}

asio::awaitable<void> tunnel_server::serve(tunnel_ptr tunnel, std::unique_ptr<wire::FrameT> frame) {
    const wire::TunnelRequestT& request = *frame->message.AsTunnelRequest();
    wire::TunnelReplyT reply;
    co_await connect(tunnel, request, reply);
    log_event(events::tunnel_requested,
              "request={} backend={} known={} view_age_ms={:.0f} instance={} result={} service={} "
              "load_permille={}",
              request.request, request.backend,
              forwarding_.registry.describe(backend_id(request.backend)),
              to_milliseconds(forwarding_.entries_view.age(monotonic_now())), frame->sender,
              to_string(reply.result), to_string(reply.service), reply.load_permille);
    const std::string bytes = encode_frame(make_frame(reply));
    error_code ec;
    co_await asio::async_write(tunnel->origin, asio::buffer(bytes), token(ec));
    if (ec || reply.result != wire::TunnelResult::connected) {
        tunnel->close();
        co_return;
    }
    tunnels_.insert(tunnel);
    ++forwarding_.counters.tunnels_carried;
    forwarding_.counters.open_tunnels = tunnels_.size();
    asio::co_spawn(context_, internal::forward_to_origin(tunnel), log_exception);
    co_await internal::forward_to_server(tunnel);
    tunnels_.erase(tunnel);
    forwarding_.counters.open_tunnels = tunnels_.size();
}

asio::awaitable<void> tunnel_server::idle_loop() {
    while (true) {
        co_await pause_for(idle_check_period);
        const time_point now = monotonic_now();
        for (const tunnel_ptr& tunnel : tunnels_) {
            if (now - tunnel->last_used > max_idle) {
                tunnel->close();
            }
        }
    }
}

} // namespace bamboostream
