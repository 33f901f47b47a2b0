#pragma once

#include "bamboostream/src/Forwarding/forwarding_state.h"
#include "bamboostream/src/Links/peer_links.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <unordered_map>

namespace bamboostream::wire {
struct TunnelReplyT;
struct TunnelRequestT;
} // namespace bamboostream::wire

namespace bamboostream {

namespace internal {
struct open_tunnel;
struct control_connections;
} // namespace internal

/// Carries tunnels to backend servers for instances that can't reach them.
///
/// It connects directly only, so a tunnel never leads over a third instance. Each direction of a
/// tunnel buffers a few kilobytes; a slow reader stops the sender. When either side closes, the
/// other one is closed at once, and a reset is passed on as a reset.
///
/// When it can't connect to a server, it tries others of the same service, so that its reply tells
/// a server that is down from a network failure of its own. Lives on one thread.
class tunnel_server {
public:
    tunnel_server(boost::asio::io_context& context, forwarding_state& forwarding)
        : context_(context), forwarding_(forwarding) {}

    /// Starts closing tunnels on which nothing has been sent for a long time.
    void start();
    /// Handles the connection on which another instance has asked for a tunnel.
    void accept(boost::asio::ip::tcp::socket origin, std::unique_ptr<wire::FrameT> frame);

private:
    using tunnel_ptr = std::shared_ptr<internal::open_tunnel>;
    using control_ptr = std::shared_ptr<internal::control_connections>;

    boost::asio::awaitable<void> serve(tunnel_ptr tunnel, std::unique_ptr<wire::FrameT> frame);
    /// Connects to the server; `reply` tells whether it has.
    boost::asio::awaitable<void> connect(tunnel_ptr tunnel, const wire::TunnelRequestT& request,
                                         wire::TunnelReplyT& reply);
    /// Connections to other servers of the service, which are in progress or have begun since
    /// `began`. Null if there are no others.
    control_ptr control_for(const registered_backend& failed, time_point began);
    boost::asio::awaitable<void> connect_to_control(control_ptr control, registered_backend server);
    /// Whether this instance has connected to a server of the service since `began`.
    bool reached_since(const service_id& service, time_point began) const;
    boost::asio::awaitable<void> idle_loop();

    boost::asio::io_context& context_;
    forwarding_state& forwarding_;
    std::set<tunnel_ptr> tunnels_;
    /// The latest ones, by service.
    std::unordered_map<service_id, control_ptr> controls_;
};

} // namespace bamboostream
