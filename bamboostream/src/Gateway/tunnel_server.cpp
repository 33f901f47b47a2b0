#include "bamboostream/src/Gateway/tunnel_server.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Forwarding/backend_connection.h"
#include "bamboostream/src/Http/address.h"
#include "bamboostream/src/Links/frame_codec.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

auto token(error_code& ec) {
    return asio::redirect_error(asio::use_awaitable, ec);
}

constexpr std::string_view to_string(wire::TunnelResult result) {
    constexpr std::array<std::string_view, 5> names = {"connected", "refused", "no_answer",
                                                       "cut_off", "busy"};
    return names.at(static_cast<std::size_t>(result));
}

} // namespace

namespace internal {

/// One tunnel and its two connections.
struct open_tunnel {
    explicit open_tunnel(tcp::socket socket)
        : origin(std::move(socket)), server(origin.get_executor()), last_used(monotonic_now()) {}

    /// The connection of the instance that asked for the tunnel.
    tcp::socket origin;
    tcp::socket server;
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
            co_await asio::async_write(tunnel->server, asio::buffer(buffer.data(), count),
                                       token(ec));
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
    if (ec != asio::error::eof) {
        tunnel->reset_origin();
        co_return;
    }
    tunnel->server_ended = true;
    const std::string end = encode_tunnel_end();
    co_await asio::async_write(tunnel->origin, asio::buffer(end), token(ec));
    tunnel->origin.shutdown(tcp::socket::shutdown_send, ec);
    tunnel->server.close(ec);
}

} // namespace
} // namespace internal

void tunnel_server::start() {
    asio::co_spawn(context_, idle_loop(), asio::detached);
}

void tunnel_server::accept(tcp::socket origin, std::unique_ptr<wire::FrameT> frame) {
    asio::co_spawn(
        context_,
        serve(std::make_shared<internal::open_tunnel>(std::move(origin)), std::move(frame)),
        asio::detached);
}

asio::awaitable<std::uint8_t> tunnel_server::connect(tunnel_ptr tunnel,
                                                     const wire::TunnelRequestT& request) {
    const backend_id id(request.backend);
    const registered_backend* known = forwarding_.registry.find(id);
    if (forwarding_.leaving || tunnels_.size() >= max_tunnels) {
        co_return static_cast<std::uint8_t>(wire::TunnelResult::busy);
    }
    if (known == nullptr) {
        co_return static_cast<std::uint8_t>(wire::TunnelResult::no_answer);
    }
    const registered_backend server = *known;
    if (forwarding_.reachability.is_found_cut_off(server.service, id)) {
        co_return static_cast<std::uint8_t>(wire::TunnelResult::cut_off);
    }
    const auto endpoint = to_endpoint(server.address);
    error_code ec = asio::error::invalid_argument;
    if (endpoint) {
        ec = {};
        if (!forwarding_.outbound_address.empty()) {
            bind_to(tunnel->server, forwarding_.outbound_address, ec);
        }
        asio::steady_timer limit(context_, milliseconds(request.timeout_ms));
        limit.async_wait([tunnel](const error_code& expired) {
            error_code ignored;
            if (!expired) {
                tunnel->server.close(ignored);
            }
        });
        ++forwarding_.counters.new_connections;
        co_await tunnel->server.async_connect(*endpoint, token(ec));
    }
    if (!ec && tunnel->server.is_open()) {
        tunnel->server.set_option(tcp::no_delay(true), ec);
        tunnel->origin.set_option(tcp::no_delay(true), ec);
        record_direct_connection(forwarding_, server, monotonic_now());
        co_return static_cast<std::uint8_t>(wire::TunnelResult::connected);
    }
    const bool refused =
        ec == asio::error::connection_refused || ec == asio::error::connection_reset;
    co_return static_cast<std::uint8_t>(refused ? wire::TunnelResult::refused
                                                : wire::TunnelResult::no_answer);
}

asio::awaitable<void> tunnel_server::serve(tunnel_ptr tunnel, std::unique_ptr<wire::FrameT> frame) {
    const wire::TunnelRequestT& request = *frame->message.AsTunnelRequest();
    const auto result = static_cast<wire::TunnelResult>(co_await connect(tunnel, request));
    log_event(events::tunnel_requested, "request={} backend={} instance={} result={}",
              request.request, request.backend, frame->sender, to_string(result));
    wire::TunnelReplyT reply;
    reply.result = result;
    const std::string bytes = encode_frame(make_frame(reply));
    error_code ec;
    co_await asio::async_write(tunnel->origin, asio::buffer(bytes), token(ec));
    if (ec || result != wire::TunnelResult::connected) {
        tunnel->close();
        co_return;
    }
    tunnels_.insert(tunnel);
    ++forwarding_.counters.tunnels_carried;
    forwarding_.counters.open_tunnels = tunnels_.size();
    asio::co_spawn(context_, internal::forward_to_origin(tunnel), asio::detached);
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
