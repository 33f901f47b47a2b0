#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>

namespace bamboostream {

/// Writes to a socket of which another coroutine reads. A socket reports a reset to one operation
/// only: if that is a write, the next read returns the end of the stream, as if the peer had closed
/// the connection in order. `stop` tells the two apart. Not thread-safe; the socket must outlive
/// this object, and this object the coroutines that use it.
class socket_writer {
public:
    using buffers = std::array<boost::asio::const_buffer, 2>;

    explicit socket_writer(boost::asio::ip::tcp::socket& socket);

    /// Writes all bytes, unless an error occurs or has occurred, or `stop` is called. The bytes
    /// must stay where they are until this returns. Returns whether all were written.
    boost::asio::awaitable<bool> write(buffers bytes);
    bool writing() const { return writing_; }
    /// How many bytes were written in all.
    std::size_t written() const { return written_; }
    /// After the end of the peer's bytes: ends a write in progress. Returns whether the peer closed
    /// the connection in order, and not by a reset of which a write took the error.
    boost::asio::awaitable<bool> stop();

private:
    boost::asio::ip::tcp::socket& socket_;
    boost::asio::steady_timer ended_;
    /// The first error. Only that one tells a reset; later writes report a broken pipe.
    boost::system::error_code error_;
    std::size_t written_ = 0;
    bool writing_ = false;
    bool stopped_ = false;
};

} // namespace bamboostream
