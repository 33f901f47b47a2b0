#pragma once

#include "bamboostream/src/Forwarding/forwarding_state.h"
#include "bamboostream/src/Links/peer_links.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <string>

namespace bamboostream::wire {
struct TunnelRequestT;
}

namespace bamboostream {

namespace internal {
struct open_tunnel;
}

/// Carries tunnels to backend servers for instances that can't reach them.
///
/// It connects directly only, so a tunnel never leads over a third instance. Each direction of a
/// tunnel buffers a few kilobytes; a slow reader stops the sender. When either side closes, the
/// other one is closed at once, and a reset is passed on as a reset. Lives on one thread.
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

    boost::asio::awaitable<void> serve(tunnel_ptr tunnel, std::unique_ptr<wire::FrameT> frame);
    boost::asio::awaitable<std::uint8_t> connect(tunnel_ptr tunnel,
                                                 const wire::TunnelRequestT& request);
    boost::asio::awaitable<void> idle_loop();

    boost::asio::io_context& context_;
    forwarding_state& forwarding_;
    std::set<tunnel_ptr> tunnels_;
};

} // namespace bamboostream
