#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/failure.h"
#include "bamboostream/src/Core/identities.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
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

/// Why a message to another instance brought no reply.
enum class link_error : std::uint8_t { none, not_connected, timed_out };
using link_failure = failure<link_error>;

/// Counters of the traffic between instances, for the control budget of docs/CAPACITY.md.
struct link_traffic {
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bad_frames = 0;
    std::uint64_t dropped_frames = 0;
    /// Replies that nobody waited for any more.
    std::uint64_t late_replies = 0;
    std::uint64_t late_reply_bytes = 0;
    /// What waits on open connections now.
    std::uint64_t queued_bytes = 0;
};

/// The longest frame accepted from a peer. A longer length means a damaged or foreign peer.
inline constexpr std::uint32_t max_frame_bytes = 16 * 1024 * 1024;
/// Frames that may wait for one connection; more are dropped and counted, since every sender
/// repeats what matters.
inline constexpr std::size_t max_queued_frames = 4096;

/// Answers a frame from a peer; gives the reply's message or nothing.
using frame_handler = std::function<boost::asio::awaitable<std::unique_ptr<wire::FrameT>>(
    std::unique_ptr<wire::FrameT>)>;

namespace internal {
struct peer_links_state;
}

/// The connections of one instance to the others: one a peer, dialled when first needed, framed
/// FlatBuffers over TCP with a bounded queue. Lives on the control thread.
class peer_links {
public:
    peer_links(boost::asio::io_context& context, frame_handler handler);
    ~peer_links();
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    /// Accepts peers on `address`; the result is the address with the port in use.
    std::optional<std::string> listen(std::string_view address, std::string& why);
    /// Sets what every frame says of its sender. Must be called before the first message.
    void set_identity(instance_id self);
    /// Sends without expecting a reply.
    void send(const std::string& peer, wire::FrameT frame);
    /// The same to several peers; the frame is encoded once.
    void send_to_each(std::span<const std::string> peers, wire::FrameT frame);
    /// Sends and waits for the reply, at most `timeout`.
    boost::asio::awaitable<std::unique_ptr<wire::FrameT>>
    call(std::string peer, wire::FrameT frame, milliseconds timeout, link_failure& why);
    link_traffic traffic() const;
    /// Closes all connections and stops accepting.
    void close();

private:
    std::shared_ptr<internal::peer_links_state> state_;
};

} // namespace bamboostream
