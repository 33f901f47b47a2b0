#include "bamboostream/src/Http/socket_writer.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bamboostream {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

socket_writer::socket_writer(asio::ip::tcp::socket& socket)
    : socket_(socket), ended_(socket.get_executor(), asio::steady_timer::time_point::max()) {}

asio::awaitable<bool> socket_writer::write(buffers bytes) {
    writing_ = true;
    while (!error_ && !stopped_ && asio::buffer_size(bytes) > 0) {
        std::size_t count = co_await socket_.async_write_some(
            bytes, asio::redirect_error(asio::use_awaitable, error_));
        written_ += count;
        for (asio::const_buffer& part : bytes) {
            const std::size_t of_part = std::min(count, part.size());
            part += of_part;
            count -= of_part;
        }
    }
    writing_ = false;
    ended_.cancel();
    co_return asio::buffer_size(bytes) == 0;
}

/// After a close in order, the kernel reports a reset as a broken pipe.
asio::awaitable<bool> socket_writer::stop() {
    error_code ignored;
    stopped_ = true;
    while (writing_) {
        socket_.cancel(ignored);
        co_await ended_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return !error_ || error_ == asio::error::operation_aborted ||
        error_ == asio::error::broken_pipe;
}

} // namespace bamboostream
