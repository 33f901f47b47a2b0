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

/// What goes over the link at a time.
constexpr std::size_t packet_bytes = 4 * 1024;
/// What waits inside each socket is as little as the system allows, so that whoever sends faster
/// than the link carries notices.
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

narrow_link::narrow_link(asio::io_context& context, std::string target, double megabits_a_second)
    : line_(std::make_shared<line>(line{megabits_a_second * 1e6 / 8.0})),
      acceptor_(std::make_shared<tcp::acceptor>(context)) {
    std::string why;
    auto acceptor = listen_on(context, "127.0.0.1:0", why);
    *acceptor_ = std::move(acceptor.value());
    acceptor_->set_option(asio::socket_base::receive_buffer_size(socket_buffer_bytes));
    address_ = to_text(acceptor_->local_endpoint());
    asio::co_spawn(context, accept_all(acceptor_, line_, std::move(target)), asio::detached);
}

narrow_link::~narrow_link() {
    error_code ec;
    acceptor_->close(ec);
}

asio::awaitable<void> narrow_link::accept_all(std::shared_ptr<tcp::acceptor> acceptor,
                                              std::shared_ptr<line> shared, std::string target) {
    error_code ec;
    while (true) {
        auto near = std::make_shared<tcp::socket>(acceptor->get_executor());
        co_await acceptor->async_accept(*near, token(ec));
        if (ec) {
            co_return;
        }
        asio::co_spawn(acceptor->get_executor(), connect(std::move(near), shared, target),
                       asio::detached);
    }
}

asio::awaitable<void> narrow_link::connect(socket_ptr near, std::shared_ptr<line> shared,
                                           std::string target) {
    error_code ec;
    auto far = std::make_shared<tcp::socket>(near->get_executor());
    co_await far->async_connect(to_endpoint(target).value(), token(ec));
    if (ec) {
        near->close(ec);
        co_return;
    }
    for (const socket_ptr& socket : {near, far}) {
        limit_buffers(*socket);
        socket->set_option(tcp::no_delay(true), ec);
    }
    asio::co_spawn(near->get_executor(), carry(near, far, shared), asio::detached);
    co_await carry(far, near, shared);
}

asio::awaitable<void> narrow_link::carry(socket_ptr from, socket_ptr to,
                                         std::shared_ptr<line> shared) {
    error_code ec;
    std::array<char, packet_bytes> packet{};
    while (true) {
        const std::size_t count = co_await from->async_read_some(asio::buffer(packet), token(ec));
        if (ec) {
            break;
        }
        const std::chrono::duration<double> needs(static_cast<double>(count) /
                                                  shared->bytes_a_second);
        shared->free_from = std::max(shared->free_from, monotonic_now()) +
                            std::chrono::duration_cast<duration>(needs);
        shared->carried += count;
        while (shared->carried > shared->most && from->is_open()) {
            co_await pause_for(milliseconds(50));
        }
        co_await pause_for(shared->free_from - monotonic_now());
        co_await asio::async_write(*to, asio::buffer(packet.data(), count), token(ec));
        if (ec) {
            break;
        }
    }
    from->close(ec);
    to->close(ec);
}

} // namespace bamboostream::test
