#include "test/platform/scripted_backend.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Http/address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <sys/socket.h>

namespace bamboostream::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

auto token(error_code& ec) {
    return asio::redirect_error(asio::use_awaitable, ec);
}

std::string field_of(const std::string& head, const std::string& name) {
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

} // namespace

std::string scripted_connection::field(const std::string& name) const {
    return field_of(request_, name);
}

asio::awaitable<void> scripted_connection::send(std::string bytes) {
    if (send_failed_) {
        co_return;
    }
    error_code ec;
    co_await asio::async_write(socket_, asio::buffer(bytes), token(ec));
    send_failed_ = ec.failed();
}

asio::awaitable<void> scripted_connection::pause(int ms) {
    co_await pause_for(milliseconds(ms));
}

asio::awaitable<void> scripted_connection::wait_for_close() {
    error_code ec;
    char byte = 0;
    while (!ec) {
        co_await socket_.async_read_some(asio::buffer(&byte, 1), token(ec));
    }
}

bool scripted_connection::is_closed() const {
    char byte = 0;
    const auto count = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void scripted_connection::close() {
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_both, ec);
    socket_.close(ec);
}

void scripted_connection::reset() {
    error_code ec;
    socket_.set_option(asio::socket_base::linger(true, 0), ec);
    socket_.close(ec);
}

scripted_backend::scripted_backend(asio::io_context& context, backend_script script)
    : context_(context), script_(std::move(script)),
      acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      address_(to_text(acceptor_.local_endpoint())) {
    asio::co_spawn(context_, accept(), asio::detached);
}

void scripted_backend::stop() {
    error_code ec;
    acceptor_.close(ec);
}

void scripted_backend::end_process() {
    stop();
    for (tcp::socket* socket : *open_) {
        error_code ec;
        socket->shutdown(tcp::socket::shutdown_both, ec);
        socket->close(ec);
    }
}

bool scripted_backend::discard_packets_from(const std::vector<std::string>& sources,
                                            standins::discarded_packets which) {
    bool done = standins::discard_packets(acceptor_.native_handle(), sources, which);
    for (tcp::socket* socket : *open_) {
        done = standins::discard_packets(socket->native_handle(), sources, which) && done;
    }
    return done;
}

void scripted_backend::answer_before_the_body() {
    reads_bodies_ = false;
    // With a small receive buffer, most of a long body remains unsent at the sender.
    acceptor_.set_option(asio::socket_base::receive_buffer_size(4'096));
}

asio::awaitable<void> scripted_backend::accept() {
    error_code ec;
    while (acceptor_.is_open()) {
        tcp::socket socket(context_);
        co_await acceptor_.async_accept(socket, token(ec));
        if (ec) {
            co_return;
        }
        ++connections_;
        if (!greeting_.empty()) {
            co_await asio::async_write(socket, asio::buffer(greeting_), token(ec));
        }
        asio::co_spawn(context_, serve(std::move(socket), connections_), asio::detached);
    }
}

asio::awaitable<void> scripted_backend::serve(tcp::socket socket, int number) {
    error_code ec;
    std::string buffer;
    open_->insert(&socket);
    const auto forget = [open = open_](tcp::socket* closed) { open->erase(closed); };
    const std::unique_ptr<tcp::socket, decltype(forget)> listed(&socket, forget);
    while (socket.is_open()) {
        const std::size_t head = co_await asio::async_read_until(
            socket, asio::dynamic_buffer(buffer), "\r\n\r\n", token(ec));
        if (ec) {
            ++closed_;
            co_return;
        }
        const std::string length = field_of(buffer.substr(0, head), "Content-Length");
        const std::size_t request_size = head + (length.empty() ? 0 : std::stoul(length));
        if (reads_bodies_ && buffer.size() < request_size) {
            co_await asio::async_read(socket, asio::dynamic_buffer(buffer),
                                      asio::transfer_exactly(request_size - buffer.size()),
                                      token(ec));
        }
        requests_.push_back(buffer.substr(0, request_size));
        buffer.erase(0, request_size);
        scripted_connection connection(socket, number, requests_.back(), [this] { end_process(); });
        co_await script_(connection);
        if (connection.send_failed()) {
            closed_ += socket.is_open() ? 1 : 0;
            co_return;
        }
        if (!reads_bodies_) {
            co_await connection.wait_for_close();
            ++closed_;
            co_return;
        }
    }
}

} // namespace bamboostream::test
