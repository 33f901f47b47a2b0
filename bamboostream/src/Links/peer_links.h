#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/failure.h"
#include "bamboostream/src/Core/identities.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace bamboostream::wire {
struct FrameT;
}

namespace bamboostream {

/// Why a call to another instance returned no reply. `refused`: the machine of the other instance
/// refused the connection, since no process accepts any there.
enum class link_error : std::uint8_t { none, not_connected, refused, timed_out };
using link_failure = failure<link_error>;

/// Counters of the traffic between instances. docs/CAPACITY.md gives the budget for it.
struct link_traffic {
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bad_frames = 0;
    std::uint64_t dropped_frames = 0;
    /// Replies that arrived after their call had timed out.
    std::uint64_t late_replies = 0;
    std::uint64_t late_reply_bytes = 0;
    /// Bytes queued on open connections at present.
    std::uint64_t queued_bytes = 0;
};

/// Maximum length of a frame from a peer. A greater length means that the peer is corrupted or
/// speaks another protocol.
inline constexpr std::uint32_t max_frame_bytes = 16 * 1024 * 1024;
/// Maximum number of frames queued for one connection. Further frames are dropped and counted,
/// since senders repeat every message that matters.
inline constexpr std::size_t max_queued_frames = 4096;

/// Handles a frame from a peer and returns the reply, or null for none.
using frame_handler = std::function<boost::asio::awaitable<std::unique_ptr<wire::FrameT>>(
    std::unique_ptr<wire::FrameT>)>;

/// Takes over a connection from a peer on which a tunnel was requested, with the request.
using tunnel_handler =
    std::function<void(boost::asio::ip::tcp::socket, std::unique_ptr<wire::FrameT>)>;

namespace internal {
struct peer_links_state;
}

/// The connections of one instance to its peers: one per peer, opened on first use, carrying framed
/// FlatBuffers over TCP with a bounded send queue. Not thread-safe: all calls must be made on the
/// control thread.
class peer_links {
public:
    peer_links(boost::asio::io_context& context, frame_handler handler);
    ~peer_links();
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    /// Accepts peers on `address` and returns the bound address with the port in use; nothing, with
    /// the reason in `why`, when it can't be bound.
    std::optional<std::string> listen(std::string_view address, std::string& why);
    /// Sets the sender of all frames. Must be called before the first message.
    void set_identity(instance_id self);
    /// Sets the handler of connections on which a peer asks for a tunnel; without one they are
    /// closed.
    void on_tunnel_request(tunnel_handler handler);
    /// Sends a message without expecting a reply. It may be lost.
    void send(const std::string& peer, wire::FrameT frame);
    /// Sends a message to several peers, encoding it once.
    void send_to_each(std::span<const std::string> peers, wire::FrameT frame);
    /// Sends a message and waits for the reply, at most `timeout`; null, with the reason in `why`,
    /// when none arrives.
    boost::asio::awaitable<std::unique_ptr<wire::FrameT>>
    call(std::string peer, wire::FrameT frame, milliseconds timeout, link_failure& why);
    link_traffic traffic() const;
    /// Closes all connections and stops accepting.
    void close();

private:
    std::shared_ptr<internal::peer_links_state> state_;
};

} // namespace bamboostream
