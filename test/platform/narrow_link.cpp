#include "test/platform/narrow_link.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Http/address.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace bamboostream::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

/// Number of bytes forwarded at a time.
constexpr std::size_t packet_bytes = 4 * 1024;
/// Socket buffers are small, so that senders that exceed the speed of the link experience
/// backpressure.
constexpr int socket_buffer_bytes = 16 * 1024;

auto token(error_code& ec) {
    return asio::redirect_error(asio::use_awaitable, ec);
}

void limit_buffers(tcp::socket& socket) {
    error_code ec;
    socket.set_option(asio::socket_base::receive_buffer_size(socket_buffer_bytes), ec);
    socket.set_option(asio::socket_base::send_buffer_size(socket_buffer_bytes), ec);
}

} // namespace

narrow_link::narrow_link(asio::io_context& context, std::string target, double megabits_per_second)
    : state_(std::make_shared<link_state>(link_state{megabits_per_second * 1e6 / 8.0})),
      acceptor_(std::make_shared<tcp::acceptor>(context)) {
    std::string why;
    auto acceptor = listen_on(context, "127.0.0.1:0", why);
    *acceptor_ = std::move(acceptor.value());
    acceptor_->set_option(asio::socket_base::receive_buffer_size(socket_buffer_bytes));
    address_ = to_text(acceptor_->local_endpoint());
    asio::co_spawn(context, accept_all(acceptor_, state_, std::move(target)), asio::detached);
}

narrow_link::~narrow_link() {
    error_code ec;
    acceptor_->close(ec);
}

asio::awaitable<void> narrow_link::accept_all(std::shared_ptr<tcp::acceptor> acceptor,
                                              std::shared_ptr<link_state> shared,
                                              std::string target) {
    error_code ec;
    while (true) {
        auto client = std::make_shared<tcp::socket>(acceptor->get_executor());
        co_await acceptor->async_accept(*client, token(ec));
        if (ec) {
            co_return;
        }
        asio::co_spawn(acceptor->get_executor(), connect(std::move(client), shared, target),
                       asio::detached);
    }
}

asio::awaitable<void> narrow_link::connect(socket_ptr client, std::shared_ptr<link_state> shared,
                                           std::string target) {
    error_code ec;
    auto server = std::make_shared<tcp::socket>(client->get_executor());
    co_await server->async_connect(to_endpoint(target).value(), token(ec));
    if (ec) {
        client->close(ec);
        co_return;
    }
    for (const socket_ptr& socket : {client, server}) {
        limit_buffers(*socket);
        socket->set_option(tcp::no_delay(true), ec);
    }
    asio::co_spawn(client->get_executor(), forward_bytes(client, server, shared), asio::detached);
    co_await forward_bytes(server, client, shared);
}

asio::awaitable<void> narrow_link::forward_bytes(socket_ptr from, socket_ptr to,
                                                 std::shared_ptr<link_state> shared) {
    error_code ec;
    std::array<char, packet_bytes> packet{};
    while (true) {
        const std::size_t count = co_await from->async_read_some(asio::buffer(packet), token(ec));
        if (ec) {
            break;
        }
        const std::chrono::duration<double> transfer_time(static_cast<double>(count) /
                                                          shared->bytes_per_second);
        shared->free_at = std::max(shared->free_at, monotonic_now()) +
                          std::chrono::duration_cast<duration>(transfer_time);
        shared->carried += count;
        while (shared->carried > shared->max_bytes && from->is_open()) {
            co_await pause_for(milliseconds(50));
        }
        co_await pause_for(shared->free_at - monotonic_now());
        co_await asio::async_write(*to, asio::buffer(packet.data(), count), token(ec));
        if (ec) {
            break;
        }
    }
    from->close(ec);
    to->close(ec);
}

} // namespace bamboostream::test
