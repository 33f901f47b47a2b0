#pragma once

#include "bamboostream/src/Http/byte_allowance.h"
#include "bamboostream/src/Http/growing_body.h"
#include "bamboostream/src/Http/http_client.h"
#include "bamboostream/src/Http/response_guard.h"
#include "bamboostream/src/Http/response_head.h"
#include "bamboostream/src/Http/socket_writer.h"
#include "bamboostream/src/Http/tunnel_records.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bamboostream {

/// A client connection that carries one exchange after another. Not thread-safe: all calls must be
/// made on one thread. Must be held by a shared pointer, because a request may still be being
/// written when the response is complete.
///
/// A connection can be reused only when the last response was framed, complete and not followed by
/// further bytes, the request was written completely, and neither side asked to close. Otherwise
/// surplus bytes would be taken for the response to the next request. After a HEAD request it isn't
/// reused either, since the length in the head of that response is not that of its body.
///
/// Example:
/// ```
/// auto connection = std::make_shared<http_connection>(executor);
/// if (co_await connection->connect(address, connect_timeout, why)) {
///     connection->send(std::move(bytes), false);
///     connection->expire_at(deadline);
///     if (co_await connection->read_head(why)) { … connection->read(into) … }
/// }
/// ```
class http_connection final : public http_stream,
                              public std::enable_shared_from_this<http_connection> {
public:
    explicit http_connection(const boost::asio::any_io_executor& executor);
    ~http_connection() override;
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// With `local_address`, an IP address of this machine, the connection is made from there.
    boost::asio::awaitable<bool> connect(std::string address, milliseconds timeout,
                                         http_failure& why, std::string local_address = {});
    /// Uses a tunnel to a backend server instead of a connection of its own. `carrier` is the
    /// instance at the other end of `socket`, which sends tunnel records.
    void adopt_tunnel(boost::asio::ip::tcp::socket socket, std::string carrier);
    /// The instance through which this connection is tunneled; empty if it is direct.
    const std::string& carrier() const { return carrier_; }
    /// The server's name in records of exceeded limits, instead of its address.
    void set_server_name(std::string name) { server_name_ = std::move(name); }
    /// Sets the limits of the responses that follow, instead of those of the `response_guard`.
    void set_limits(const response_limits& limits) { limits_ = limits; }
    const response_limits& limits() const { return limits_; }
    response_guard& guard() { return guard_; }
    /// Records that the response has exceeded a limit, and closes the connection.
    void exceed(response_limit limit) override;
    /// The limit that the response has exceeded, if any.
    response_limit exceeded() const { return exceeded_; }
    /// Whether bytes of the response have arrived within `span` before `now`.
    bool has_received_within(duration span, time_point now) const {
        return response_bytes_ > 0 && now - last_read_ <= span;
    }
    /// Whether bytes that belong to no response have arrived behind a complete one.
    bool has_surplus() const { return complete() && unparsed_bytes_ > 0 && !ended_by_close_; }
    /// Records such bytes, if there are any.
    void record_surplus();
    /// The length that the head of the response names, if any.
    std::optional<std::uint64_t> content_length() const;
    /// Starts an exchange: writes `bytes`, a serialized request, in the background, and after it
    /// `body`, if that isn't part of `bytes`. With `head_only` the response has no body whatever
    /// its head says (HEAD).
    void send(std::string bytes, bool head_only, std::shared_ptr<const std::string> body = nullptr);
    /// Reads the head of the response and skips interim responses (1xx). After `skip_response`, the
    /// head of the next response.
    boost::asio::awaitable<bool> read_head(http_failure& why);
    /// Reads the rest of a response that belongs to an earlier request and discards it. False, with
    /// the connection closed, if the next response can't be told from it: its body has no length,
    /// is longer than `max_bytes` or ends with the connection.
    boost::asio::awaitable<bool> skip_response(std::size_t max_bytes);
    /// Closes the connection at `when`; a read in progress fails.
    void expire_at(time_point when);
    void expire_never();

    int status() const override;
    std::string_view field(std::string_view name) const override;
    std::vector<http_field> fields() const;
    /// The values of a field that may be repeated, in order.
    std::vector<std::string_view> field_values(std::string_view name) const;
    boost::asio::awaitable<bool> read(std::string& into) override;
    bool complete() const override;
    /// Closes the connection; with a reset if its response is incomplete.
    void close() override;
    /// As `close`, for a request of which `is_unacknowledged` holds.
    void abandon_unacknowledged();

    /// True when any byte of the request may have been sent.
    bool any_sent() const { return any_sent_; }
    /// Whether the current request was sent `age` before `now` or earlier, and the peer's host has
    /// acknowledged none of it: its bytes are still here or on their way, and the network may
    /// deliver them at any later time. False where the system doesn't tell.
    bool is_unacknowledged(duration age, time_point now);
    /// True when the connection was closed by `expire_at`.
    bool timed_out() const { return timed_out_; }
    /// True when the response had no length and ended with the connection.
    bool ended_by_close() const { return ended_by_close_; }
    bool is_open() const { return socket_.is_open(); }
    /// True when this connection can carry another exchange.
    bool reusable() const;
    /// How long the server keeps an idle connection, if its response says so ("Keep-Alive").
    std::optional<seconds> keep_alive_timeout() const;
    /// Prevents that the connection carries another exchange.
    void forbid_reuse() { reuse_forbidden_ = true; }
    /// Whether the response whose head was read last is the first one on this connection, not
    /// counting interim responses.
    bool is_first_response() const { return responses_ == 1; }
    /// For an idle connection: closes it when the server closes it or sends anything.
    void watch_idle();
    void stop_watching();
    /// For an idle connection: whether the server has closed it or sent anything that `watch_idle`
    /// may not have handled yet. Such bytes belong to no request.
    bool has_input();

private:
    /// How many bytes of the request the kernel has taken.
    std::size_t written() const;
    /// The request without its first `skipped` bytes.
    std::array<boost::asio::const_buffer, 2> unwritten(std::size_t skipped) const;
    boost::asio::awaitable<void> write_remaining(std::size_t written);
    boost::asio::awaitable<void> read_once(boost::beast::error_code& ec);
    /// Whether the server, and not a failure of the connection, has ended the bytes it sent.
    boost::asio::awaitable<bool> ended_in_order();
    /// Completes a response that ends with its connection.
    void end_response(boost::beast::error_code& ec);
    /// Waits for this connection's turn if it has had bytes ready all the time.
    boost::asio::awaitable<void> await_turn();
    /// The limit that the response exceeds after `used` further bytes were parsed: `body_bytes` of
    /// the body and the rest of the head, or of the framing if `head_was_done`.
    response_limit check_limits(std::size_t used, std::size_t body_bytes, bool head_was_done);
    /// Reads after the parsed bytes; with a tunnel, only what its records contain.
    boost::asio::awaitable<std::size_t> read_payload(boost::beast::error_code& ec);
    void parse(std::size_t available, boost::beast::error_code& ec);
    void start_parser();
    /// Whether the head that was read last can be relied on.
    bool is_valid_head() const;
    bool response_closes() const;

    using parser = boost::beast::http::response_parser<growing_body>;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer watchdog_;
    std::optional<parser> parser_;
    /// In the head that is being read.
    folded_line_finder folded_lines_;
    std::string carrier_;
    std::optional<tunnel_record_decoder> tunnel_;
    std::unique_ptr<std::array<char, 16 * 1024>> buffer_;
    std::size_t unparsed_bytes_ = 0;
    std::string request_bytes_;
    /// Null once it has been written.
    std::shared_ptr<const std::string> request_body_;
    std::size_t request_size_ = 0;
    time_point sent_at_;
    /// How many bytes of the request were written at once; the writer writes the others.
    std::size_t written_at_once_ = 0;
    std::optional<socket_writer> writer_;
    /// The request is being written, or couldn't be written completely.
    bool request_incomplete_ = false;
    bool any_sent_ = false;
    bool timed_out_ = false;
    bool unacknowledged_ = false;
    bool head_only_ = false;
    bool ended_by_close_ = false;
    bool reuse_forbidden_ = false;
    /// Final responses whose heads were read.
    std::size_t responses_ = 0;
    response_guard& guard_;
    response_limits limits_;
    std::string address_;
    std::string server_name_;
    response_limit exceeded_ = response_limit::none;
    /// Of the current response, with its interim responses.
    std::size_t response_bytes_ = 0;
    std::size_t body_bytes_ = 0;
    std::size_t framing_bytes_ = 0;
    int interim_responses_ = 0;
    /// When the first byte of the current head arrived, and its end.
    std::optional<time_point> head_began_;
    std::optional<time_point> head_ended_;
    time_point last_read_;
    byte_allowance at_once_;
    boost::asio::steady_timer turn_;
};

} // namespace bamboostream
