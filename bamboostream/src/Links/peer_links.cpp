#include "bamboostream/src/Links/peer_links.h"

#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Http/address.h"
#include "bamboostream/src/Links/frame_codec.h"
#include "bamboostream/src/Links/generated/wire_generated.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <unordered_map>

namespace bamboostream {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

constexpr milliseconds connect_timeout{400};
constexpr milliseconds reconnect_delay{100};

auto token(error_code& ec) {
    return asio::redirect_error(asio::use_awaitable, ec);
}

} // namespace

namespace internal {

/// A call that waits for its reply. `completion` is cancelled when the call ends early.
struct pending_call {
    pending_call(asio::io_context& context, std::string to)
        : completion(context), peer(std::move(to)) {}
    asio::steady_timer completion;
    std::string peer;
    std::unique_ptr<wire::FrameT> reply;
    /// Why the connection failed; `none` if it didn't.
    link_error connect_error = link_error::none;
};

/// One TCP connection to or from a peer.
struct peer_connection {
    peer_connection(tcp::socket s) : socket(std::move(s)), wake(socket.get_executor()) {}
    tcp::socket socket;
    asio::steady_timer wake;
    std::deque<std::string> queue;
    bool open = true;

    void close_socket() {
        error_code ec;
        open = false;
        socket.close(ec);
        wake.cancel();
    }
};
using connection_ptr = std::shared_ptr<peer_connection>;

/// The outbound connection to one peer; the object survives reconnects.
struct outbound_peer {
    std::string address;
    connection_ptr connection;
    std::deque<std::string> unsent_frames;
    bool connecting = false;
    time_point last_failure{};
};

struct peer_links_state : std::enable_shared_from_this<peer_links_state> {
    peer_links_state(asio::io_context& c, frame_handler h) : context(c), handler(std::move(h)) {}

    asio::io_context& context;
    frame_handler handler;
    tunnel_handler tunnels;
    instance_id self;
    std::optional<tcp::acceptor> acceptor;
    std::unordered_map<std::string, std::shared_ptr<outbound_peer>> peers;
    std::vector<std::weak_ptr<peer_connection>> accepted;
    std::unordered_map<std::uint64_t, std::shared_ptr<pending_call>> calls;
    std::uint64_t next_correlation = 1;
    link_traffic traffic;
    bool closed = false;

    void enqueue(peer_connection& connection, std::string bytes) {
        if (connection.queue.size() >= max_queued_frames) {
            ++traffic.dropped_frames;
            return;
        }
        traffic.queued_bytes += bytes.size();
        connection.queue.push_back(std::move(bytes));
        connection.wake.cancel();
    }

    void send_to(const std::string& address, std::string bytes) {
        auto& peer = peers[address];
        if (!peer) {
            peer = std::make_shared<outbound_peer>();
            peer->address = address;
        }
        if (peer->connection && peer->connection->open) {
            enqueue(*peer->connection, std::move(bytes));
            return;
        }
        if (peer->unsent_frames.size() >= max_queued_frames) {
            ++traffic.dropped_frames;
            peer->unsent_frames.pop_front();
        }
        peer->unsent_frames.push_back(std::move(bytes));
        if (!peer->connecting && !closed) {
            peer->connecting = true;
            asio::co_spawn(context, connect(shared_from_this(), peer), log_exception);
        }
    }

    /// Tries to connect once. When the peer can't be reached, its unsent frames are dropped: every
    /// sender either repeats its message or has its own timeout.
    static asio::awaitable<void> connect(std::shared_ptr<peer_links_state> links,
                                         std::shared_ptr<outbound_peer> peer) {
        error_code ec;
        const time_point now = monotonic_now();
        if (now - peer->last_failure < reconnect_delay) {
            asio::steady_timer pause(links->context, reconnect_delay);
            co_await pause.async_wait(token(ec));
        }
        auto socket = std::make_shared<tcp::socket>(links->context);
        asio::steady_timer limit(links->context, connect_timeout);
        limit.async_wait([socket](error_code expired) {
            if (!expired) {
                error_code ignored;
                socket->close(ignored);
            }
        });
        const auto endpoint = to_endpoint(peer->address);
        ec = asio::error::invalid_argument;
        if (endpoint) {
            co_await socket->async_connect(*endpoint, token(ec));
        }
        limit.cancel();
        peer->connecting = false;
        if (ec || links->closed || !socket->is_open()) {
            peer->last_failure = monotonic_now();
            links->traffic.dropped_frames += peer->unsent_frames.size();
            peer->unsent_frames.clear();
            links->fail_pending_calls(peer->address, ec == asio::error::connection_refused
                                                         ? link_error::refused
                                                         : link_error::not_connected);
            co_return;
        }
        peer->connection = std::make_shared<peer_connection>(std::move(*socket));
        for (std::string& bytes : peer->unsent_frames) {
            links->enqueue(*peer->connection, std::move(bytes));
        }
        peer->unsent_frames.clear();
        links->start(peer->connection);
    }

    /// Fails the calls to a peer that can't be reached, so that a dead instance is noticed without
    /// waiting for a timeout.
    void fail_pending_calls(const std::string& address, link_error why) {
        for (const auto& [correlation, call] : calls) {
            if (call->peer == address) {
                call->connect_error = why;
                call->completion.cancel();
            }
        }
    }

    void start(const connection_ptr& connection) {
        error_code ec;
        connection->socket.set_option(tcp::no_delay(true), ec);
        asio::co_spawn(context, write_loop(shared_from_this(), connection), log_exception);
        asio::co_spawn(context, read_loop(shared_from_this(), connection), log_exception);
    }

    static asio::awaitable<void> write_loop(std::shared_ptr<peer_links_state> links,
                                            connection_ptr connection) {
        error_code ec;
        std::string batch;
        while (connection->open) {
            if (connection->queue.empty()) {
                connection->wake.expires_at(time_point::max());
                co_await connection->wake.async_wait(token(ec));
                continue;
            }
            batch.clear();
            for (const std::string& frame : connection->queue) {
                batch += frame;
            }
            links->traffic.frames_sent += connection->queue.size();
            links->traffic.bytes_sent += batch.size();
            connection->queue.clear();
            co_await asio::async_write(connection->socket, asio::buffer(batch), token(ec));
            links->traffic.queued_bytes -= batch.size();
            if (ec) {
                connection->close_socket();
            }
        }
        for (const std::string& frame : connection->queue) {
            links->traffic.queued_bytes -= frame.size();
        }
    }

    static asio::awaitable<void> read_loop(std::shared_ptr<peer_links_state> links,
                                           connection_ptr connection) {
        error_code ec;
        std::array<unsigned char, 4> head{};
        std::string body;
        while (connection->open) {
            co_await asio::async_read(connection->socket, asio::buffer(head), token(ec));
            if (ec) {
                break;
            }
            const std::uint32_t length = decode_length(head);
            if (length == 0 || length > max_frame_bytes) {
                links->report_bad_frame(*connection, "length");
                break;
            }
            body.resize(length);
            co_await asio::async_read(connection->socket, asio::buffer(body), token(ec));
            if (ec) {
                break;
            }
            links->traffic.bytes_received += head.size() + length;
            ++links->traffic.frames_received;
            auto frame = decode_frame(body);
            if (!frame) {
                links->report_bad_frame(*connection, "content");
                break;
            }
            if (frame->message.type == wire::Message::TunnelRequest) {
                if (links->tunnels) {
                    links->tunnels(std::move(connection->socket), std::move(frame));
                }
                break;
            }
            links->dispatch(connection, std::move(frame), length);
        }
        connection->close_socket();
    }

    void report_bad_frame(peer_connection& connection, std::string_view part) {
        ++traffic.bad_frames;
        error_code ec;
        const auto remote = connection.socket.remote_endpoint(ec);
        log_event(events::peer_frame_bad, "peer={} part={}", ec ? "?" : to_text(remote), part);
    }

    void deliver_reply(std::unique_ptr<wire::FrameT> frame, std::uint32_t length) {
        const auto found = calls.find(frame->correlation);
        if (found == calls.end()) {
            ++traffic.late_replies;
            traffic.late_reply_bytes += length;
            return;
        }
        found->second->reply = std::move(frame);
        found->second->completion.cancel();
    }

    void dispatch(const connection_ptr& connection, std::unique_ptr<wire::FrameT> frame,
                  std::uint32_t length) {
        if (frame->reply) {
            deliver_reply(std::move(frame), length);
            return;
        }
        asio::co_spawn(context, handle_request(shared_from_this(), connection, std::move(frame)),
                       log_exception);
    }

    static asio::awaitable<void> handle_request(std::shared_ptr<peer_links_state> links,
                                                connection_ptr connection,
                                                std::unique_ptr<wire::FrameT> frame) {
        const std::uint64_t correlation = frame->correlation;
        auto reply = co_await links->handler(std::move(frame));
        if (!reply || correlation == 0 || !connection->open) {
            co_return;
        }
        reply->correlation = correlation;
        reply->reply = true;
        links->set_sender(*reply);
        links->enqueue(*connection, encode_frame(*reply));
    }

    void set_sender(wire::FrameT& frame) const {
        frame.sender = self.address;
        frame.sender_start_stamp = self.start_stamp;
    }

    static asio::awaitable<void> accept_loop(std::shared_ptr<peer_links_state> links) {
        error_code ec;
        while (!links->closed) {
            tcp::socket socket(links->context);
            co_await links->acceptor->async_accept(socket, token(ec));
            if (ec == asio::error::operation_aborted) {
                co_return;
            }
            if (ec) {
                asio::steady_timer pause(links->context, reconnect_delay);
                co_await pause.async_wait(token(ec));
                continue;
            }
            auto connection = std::make_shared<peer_connection>(std::move(socket));
            std::erase_if(links->accepted, [](const auto& weak) { return weak.expired(); });
            links->accepted.push_back(connection);
            links->start(connection);
        }
    }
};

} // namespace internal

peer_links::peer_links(asio::io_context& context, frame_handler handler)
    : state_(std::make_shared<internal::peer_links_state>(context, std::move(handler))) {}

peer_links::~peer_links() {
    close();
}

std::optional<std::string> peer_links::listen(std::string_view address, std::string& why) {
    auto acceptor = listen_on(state_->context, address, why);
    if (!acceptor) {
        return std::nullopt;
    }
    std::string bound = to_text(acceptor->local_endpoint());
    state_->acceptor = std::move(acceptor);
    asio::co_spawn(state_->context, internal::peer_links_state::accept_loop(state_), log_exception);
    return bound;
}

void peer_links::on_tunnel_request(tunnel_handler handler) {
    state_->tunnels = std::move(handler);
}

void peer_links::set_identity(instance_id self) {
    state_->self = std::move(self);
}

void peer_links::send(const std::string& peer, wire::FrameT frame) {
    state_->set_sender(frame);
    state_->send_to(peer, encode_frame(frame));
}

void peer_links::send_to_each(std::span<const std::string> peers, wire::FrameT frame) {
    state_->set_sender(frame);
    const std::string bytes = encode_frame(frame);
    for (const std::string& peer : peers) {
        state_->send_to(peer, bytes);
    }
}

asio::awaitable<std::unique_ptr<wire::FrameT>>
peer_links::call(std::string peer, wire::FrameT frame, milliseconds timeout, link_failure& why) {
    auto state = state_;
    const std::uint64_t correlation = state->next_correlation++;
    frame.correlation = correlation;
    state->set_sender(frame);
    auto pending = std::make_shared<internal::pending_call>(state->context, peer);
    pending->completion.expires_after(timeout);
    state->calls.emplace(correlation, pending);
    state->send_to(peer, encode_frame(frame));
    error_code ec;
    co_await pending->completion.async_wait(token(ec));
    state->calls.erase(correlation);
    if (!pending->reply) {
        why.set(pending->connect_error != link_error::none ? pending->connect_error
                                                           : link_error::timed_out,
                "no reply from " + peer);
    }
    co_return std::move(pending->reply);
}

link_traffic peer_links::traffic() const {
    return state_->traffic;
}

void peer_links::close() {
    state_->closed = true;
    error_code ec;
    if (state_->acceptor) {
        state_->acceptor->close(ec);
    }
    for (const auto& [address, peer] : state_->peers) {
        if (peer->connection) {
            peer->connection->close_socket();
        }
    }
    for (const auto& weak : state_->accepted) {
        if (const auto connection = weak.lock()) {
            connection->close_socket();
        }
    }
}

} // namespace bamboostream
