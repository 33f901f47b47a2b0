#include "bamboostream/src/Http/connection_exchange.h"

#include "bamboostream/src/Core/log_exception.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace bamboostream {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// Bytes that may be queued on a connection before `write` waits.
constexpr std::size_t write_buffer_limit = 64 * 1024;
/// Holds the longest head and the bytes that are read ahead; bodies pass through it.
constexpr std::size_t read_buffer_bytes = 1024 * 1024 + 64 * 1024;
/// Bytes of a caller's next requests that are read while the current response is pending. Beyond
/// that, TCP flow control holds the caller back.
constexpr std::size_t read_ahead_limit = 64 * 1024;
/// Cancelling has no effect on a read that has just completed, so it is repeated until the reading
/// coroutine has ended.
constexpr milliseconds cancel_retry_interval{2};

auto token(beast::error_code& ec) {
    return asio::redirect_error(asio::use_awaitable, ec);
}

std::string_view reason_phrase(int status) {
    const beast::string_view text = http::obsolete_reason(static_cast<http::status>(status));
    return {text.data(), text.size()};
}

} // namespace

caller_connection::caller_connection(asio::ip::tcp::socket socket)
    : stream(std::move(socket)), buffer(read_buffer_bytes) {}

connection_exchange::connection_exchange(std::shared_ptr<caller_connection> connection,
                                         http_request request, bool keep_alive,
                                         const http_limits& limits)
    : connection_(std::move(connection)), stream_(connection_->stream),
      read_ahead_(connection_->buffer),
      request_(std::make_shared<const http_request>(std::move(request))), keep_alive_(keep_alive),
      limits_(limits), write_drained_(stream_.get_executor()),
      watch_ended_(stream_.get_executor()) {}

void connection_exchange::abort() {
    beast::error_code ec;
    gone_ = true;
    stream_.socket().close(ec);
}

void connection_exchange::watch_caller(std::function<void()> on_disconnect) {
    on_disconnect_ = std::move(on_disconnect);
    watching_ = true;
    asio::co_spawn(
        stream_.get_executor(),
        [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->read_ahead(); },
        log_exception);
}

asio::awaitable<void> connection_exchange::stop_watching() {
    on_disconnect_ = nullptr;
    beast::error_code ec;
    while (watching_) {
        stream_.socket().cancel(ec);
        watch_ended_.expires_after(cancel_retry_interval);
        co_await watch_ended_.async_wait(token(ec));
    }
}

asio::awaitable<bool> connection_exchange::respond(int status, std::string_view content_type,
                                                   std::string body,
                                                   std::span<const http_field> fields) {
    if (!begin_head(status, content_type, fields)) {
        co_return false;
    }
    fmt::format_to(std::back_inserter(out_), "Content-Length: {}\r\n\r\n", body.size());
    if (request_->method != "HEAD") {
        out_ += body;
    }
    complete_ = true;
    co_return co_await flush();
}

asio::awaitable<bool> connection_exchange::begin_stream(int status, std::string_view content_type,
                                                        std::span<const http_field> fields) {
    if (!begin_head(status, content_type, fields)) {
        co_return false;
    }
    out_ += "Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n";
    co_return co_await flush();
}

asio::awaitable<bool> connection_exchange::begin_body(int status,
                                                      std::optional<std::uint64_t> length,
                                                      std::span<const http_field> fields) {
    if (!begin_head(status, {}, fields)) {
        co_return false;
    }
    chunked_ = !length;
    out_ += length ? fmt::format("Content-Length: {}\r\n\r\n", *length)
                   : "Transfer-Encoding: chunked\r\n\r\n";
    co_return co_await flush();
}

asio::awaitable<bool> connection_exchange::write(std::string_view bytes) {
    if (bytes.empty() || request_->method == "HEAD") {
        co_return !gone_;
    }
    if (!chunked_) {
        out_ += bytes;
        co_return co_await flush();
    }
    fmt::format_to(std::back_inserter(out_), "{:x}\r\n", bytes.size());
    out_ += bytes;
    out_ += "\r\n";
    co_return co_await flush();
}

asio::awaitable<bool> connection_exchange::end_stream() {
    out_ += chunked_ && request_->method != "HEAD" ? "0\r\n\r\n" : "";
    complete_ = true;
    co_return co_await flush();
}

asio::awaitable<void> connection_exchange::read_ahead() {
    beast::error_code ec;
    while (on_disconnect_ && read_ahead_.size() < read_ahead_limit) {
        const auto space = read_ahead_.prepare(read_ahead_step);
        const std::size_t count = co_await stream_.socket().async_read_some(space, token(ec));
        read_ahead_.commit(count);
        if (ec) {
            break;
        }
    }
    watching_ = false;
    watch_ended_.cancel();
    if (ec && ec != asio::error::operation_aborted && on_disconnect_) {
        gone_ = true;
        const auto on_disconnect = std::exchange(on_disconnect_, nullptr);
        on_disconnect();
    }
}

bool connection_exchange::begin_head(int status, std::string_view content_type,
                                     std::span<const http_field> fields) {
    if (std::exchange(begun_, true)) {
        abort();
        return false;
    }
    fmt::format_to(std::back_inserter(out_), "HTTP/1.1 {} {}\r\n", status, reason_phrase(status));
    if (!content_type.empty()) {
        fmt::format_to(std::back_inserter(out_), "Content-Type: {}\r\n", content_type);
    }
    for (const http_field& field : fields) {
        fmt::format_to(std::back_inserter(out_), "{}: {}\r\n", field.name, field.value);
    }
    out_ += keep_alive_ ? "Connection: keep-alive\r\n" : "Connection: close\r\n";
    return true;
}

asio::awaitable<bool> connection_exchange::flush() {
    while (flushing_ && out_.size() > write_buffer_limit && !gone_) {
        beast::error_code ec;
        write_drained_.expires_after(limits_.write_timeout);
        co_await write_drained_.async_wait(token(ec));
    }
    if (flushing_ || gone_) {
        co_return !gone_;
    }
    flushing_ = true;
    while (!out_.empty() && !gone_) {
        writing_.swap(out_);
        out_.clear();
        co_await write_all();
        writing_.clear();
        write_drained_.cancel();
    }
    flushing_ = false;
    co_return !gone_;
}

asio::awaitable<void> connection_exchange::write_all() {
    // Most writes fit into the socket buffer: try directly, without going through the reactor.
    beast::error_code ec;
    std::size_t done = stream_.socket().write_some(asio::buffer(writing_), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) {
        ec = {};
        done = 0;
    }
    if (!ec && done < writing_.size()) {
        stream_.expires_after(limits_.write_timeout);
        co_await asio::async_write(
            stream_, asio::buffer(writing_.data() + done, writing_.size() - done), token(ec));
        stream_.expires_never();
    }
    gone_ = gone_ || ec.failed();
}

} // namespace bamboostream
