#pragma once

#include "bamboostream/src/Http/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <string>

namespace bamboostream {

/// A connection to a caller.
struct caller_connection {
    explicit caller_connection(boost::asio::ip::tcp::socket socket);

    boost::beast::tcp_stream stream;
    /// Bytes that have arrived and belong to no request yet.
    boost::beast::flat_buffer buffer;
};

/// Bytes that are asked for in one read while none are expected.
inline constexpr std::size_t read_ahead_step = 4 * 1024;

/// One request on a connection to a caller. The coroutine that reads ahead shares its ownership, so
/// it must be held by a shared pointer.
class connection_exchange final : public http_exchange,
                                  public std::enable_shared_from_this<connection_exchange> {
public:
    connection_exchange(std::shared_ptr<caller_connection> connection, http_request request,
                        bool keep_alive, const http_limits& limits);

    const http_request& request() const override { return *request_; }
    std::shared_ptr<const std::string> shared_body() const override {
        return {request_, &request_->body};
    }
    boost::asio::any_io_executor executor() override { return stream_.get_executor(); }
    bool caller_gone() const override { return gone_; }
    /// Whether the connection can carry another request.
    bool keep_alive() const { return keep_alive_ && !gone_ && complete_; }
    void close_after_response() override { keep_alive_ = false; }
    void abort() override;
    void watch_caller(std::function<void()> on_disconnect) override;
    /// Stops reading ahead, so that the connection can read the next request.
    boost::asio::awaitable<void> stop_watching();
    boost::asio::awaitable<bool> respond(int status, std::string_view content_type,
                                         std::string body,
                                         std::span<const http_field> fields) override;
    boost::asio::awaitable<bool> begin_stream(int status, std::string_view content_type,
                                              std::span<const http_field> fields) override;
    boost::asio::awaitable<bool> begin_body(int status, std::optional<std::uint64_t> length,
                                            std::span<const http_field> fields) override;
    boost::asio::awaitable<bool> write(std::string_view bytes) override;
    boost::asio::awaitable<bool> end_stream() override;

private:
    /// Bytes that arrive meanwhile belong to the caller's next request and stay in the connection's
    /// buffer.
    boost::asio::awaitable<void> read_ahead();
    /// Appends the head of the response. After another one has begun, the caller would take the
    /// head for a part of that response's body: then the connection is closed instead.
    bool begin_head(int status, std::string_view content_type, std::span<const http_field> fields);
    /// Writes the queued bytes. While another coroutine is writing, this one leaves its bytes in
    /// the queue and waits only when the queue is long, so that a heartbeat never delays a token.
    boost::asio::awaitable<bool> flush();
    boost::asio::awaitable<void> write_all();

    std::shared_ptr<caller_connection> connection_;
    boost::beast::tcp_stream& stream_;
    boost::beast::flat_buffer& read_ahead_;
    std::shared_ptr<const http_request> request_;
    bool keep_alive_;
    http_limits limits_;
    boost::asio::steady_timer write_drained_;
    boost::asio::steady_timer watch_ended_;
    std::function<void()> on_disconnect_;
    bool watching_ = false;
    std::string out_;
    std::string writing_;
    bool flushing_ = false;
    bool gone_ = false;
    bool begun_ = false;
    bool complete_ = false;
    bool chunked_ = true;
};

} // namespace bamboostream
