#include "bamboostream/src/Http/http_server.h"

#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Http/address.h"
#include "bamboostream/src/Http/memory_budget.h"
#include "bamboostream/src/Http/transfer_coding.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <exception>
#include <fmt/format.h>

namespace bamboostream {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace internal {

/// State that the server and its connections share.
struct http_server_state {
    std::vector<asio::io_context*> contexts;
    http_limits limits;
    http_handler handler;
    std::optional<tcp::acceptor> acceptor;
    std::atomic<std::size_t> open_exchanges{0};
    std::atomic<std::size_t> connections{0};
    std::size_t next_context = 0;
};

} // namespace internal

namespace {

/// Bytes that may be queued on a connection before `write` waits.
constexpr std::size_t write_buffer_limit = 64 * 1024;
constexpr milliseconds accept_retry_delay{10};
/// Holds the longest head and the bytes that are read ahead; bodies pass through it.
constexpr std::size_t read_buffer_bytes = 1024 * 1024 + 64 * 1024;
/// Bytes of a caller's next requests that are read while the current response is pending. Beyond
/// that, TCP flow control holds the caller back.
constexpr std::size_t read_ahead_limit = 64 * 1024;
constexpr std::size_t read_ahead_step = 4 * 1024;
/// Cancelling has no effect on a read that has just completed, so it is repeated until the reading
/// coroutine has ended.
constexpr milliseconds cancel_retry_interval{2};
/// A request waits so long for the memory of its body.
constexpr milliseconds room_poll_interval{20};
constexpr int max_room_polls = 5;
/// Callers whose bodies were refused come back spread over this time. A body is held for as long as
/// its request takes, typically a second.
constexpr double min_retry_s = 0.5;
constexpr double max_retry_s = 1.5;
constexpr int retry_steps = 8;
/// A caller's bytes that the kernel keeps while nothing reads them.
constexpr int receive_buffer_bytes = 64 * 1024;
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

auto token(beast::error_code& ec) {
    return asio::redirect_error(asio::use_awaitable, ec);
}

std::string_view reason_phrase(int status) {
    const beast::string_view text = http::obsolete_reason(static_cast<http::status>(status));
    return {text.data(), text.size()};
}

http_request to_request(http::request<http::string_body> from) {
    http_request out;
    out.method = std::string(from.method_string());
    out.target = std::string(from.target());
    const std::size_t query_separator = std::min(out.target.find('?'), out.target.size());
    out.path = out.target.substr(0, query_separator);
    out.query = query_separator < out.target.size() ? out.target.substr(query_separator + 1)
                                                    : std::string{};
    for (const auto& field : from) {
        out.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    out.body = std::move(from.body());
    return out;
}

std::string error_body(std::string_view code, std::string_view message) {
    return fmt::format(R"({{"error":{{"code":"{}","message":"{}"}}}})", code, message);
}

/// A connection to a caller, and bytes of its next request.
struct caller_connection {
    explicit caller_connection(tcp::socket socket) : stream(std::move(socket)) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{read_buffer_bytes};
};

/// The exchange over one Beast connection. The coroutine that reads ahead shares its ownership.
class connection_exchange final : public http_exchange,
                                  public std::enable_shared_from_this<connection_exchange> {
public:
    connection_exchange(std::shared_ptr<caller_connection> connection, http_request request,
                        bool keep_alive, const http_limits& limits)
        : connection_(std::move(connection)), stream_(connection_->stream),
          read_ahead_(connection_->buffer),
          request_(std::make_shared<const http_request>(std::move(request))),
          keep_alive_(keep_alive), limits_(limits), write_drained_(stream_.get_executor()),
          watch_ended_(stream_.get_executor()) {}

    const http_request& request() const override { return *request_; }
    std::shared_ptr<const std::string> shared_body() const override {
        return {request_, &request_->body};
    }
    asio::any_io_executor executor() override { return stream_.get_executor(); }
    bool caller_gone() const override { return gone_; }
    bool keep_alive() const { return keep_alive_ && !gone_ && complete_; }
    void close_after_response() override { keep_alive_ = false; }

    void abort() override {
        beast::error_code ec;
        gone_ = true;
        stream_.socket().close(ec);
    }

    void watch_caller(std::function<void()> on_disconnect) override {
        on_disconnect_ = std::move(on_disconnect);
        watching_ = true;
        asio::co_spawn(
            stream_.get_executor(),
            [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->read_ahead(); },
            log_exception);
    }

    /// Stops reading ahead, so that the connection can read the next request.
    asio::awaitable<void> stop_watching() {
        on_disconnect_ = nullptr;
        beast::error_code ec;
        while (watching_) {
            stream_.socket().cancel(ec);
            watch_ended_.expires_after(cancel_retry_interval);
            co_await watch_ended_.async_wait(token(ec));
        }
    }

    asio::awaitable<bool> respond(int status, std::string_view content_type, std::string body,
                                  std::span<const http_field> fields) override {
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

    asio::awaitable<bool> begin_stream(int status, std::string_view content_type,
                                       std::span<const http_field> fields) override {
        if (!begin_head(status, content_type, fields)) {
            co_return false;
        }
        out_ += "Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n";
        co_return co_await flush();
    }

    asio::awaitable<bool> begin_body(int status, std::optional<std::uint64_t> length,
                                     std::span<const http_field> fields) override {
        if (!begin_head(status, {}, fields)) {
            co_return false;
        }
        chunked_ = !length;
        out_ += length ? fmt::format("Content-Length: {}\r\n\r\n", *length)
                       : "Transfer-Encoding: chunked\r\n\r\n";
        co_return co_await flush();
    }

    asio::awaitable<bool> write(std::string_view bytes) override {
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

    asio::awaitable<bool> end_stream() override {
        out_ += chunked_ && request_->method != "HEAD" ? "0\r\n\r\n" : "";
        complete_ = true;
        co_return co_await flush();
    }

private:
    /// Bytes that arrive meanwhile belong to the caller's next request and stay in the connection's
    /// buffer.
    asio::awaitable<void> read_ahead() {
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

    /// Appends the head of the response. After another one has begun, the caller would take the
    /// head for a part of that response's body: then the connection is closed instead.
    bool begin_head(int status, std::string_view content_type, std::span<const http_field> fields) {
        if (std::exchange(begun_, true)) {
            abort();
            return false;
        }
        fmt::format_to(std::back_inserter(out_), "HTTP/1.1 {} {}\r\n", status,
                       reason_phrase(status));
        if (!content_type.empty()) {
            fmt::format_to(std::back_inserter(out_), "Content-Type: {}\r\n", content_type);
        }
        for (const http_field& field : fields) {
            fmt::format_to(std::back_inserter(out_), "{}: {}\r\n", field.name, field.value);
        }
        out_ += keep_alive_ ? "Connection: keep-alive\r\n" : "Connection: close\r\n";
        return true;
    }

    /// Writes the queued bytes. While another coroutine is writing, this one leaves its bytes in
    /// the queue and waits only when the queue is long, so that a heartbeat never delays a token.
    asio::awaitable<bool> flush() {
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

    asio::awaitable<void> write_all() {
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

    std::shared_ptr<caller_connection> connection_;
    beast::tcp_stream& stream_;
    beast::flat_buffer& read_ahead_;
    std::shared_ptr<const http_request> request_;
    bool keep_alive_;
    http_limits limits_;
    asio::steady_timer write_drained_;
    asio::steady_timer watch_ended_;
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

struct request_error {
    int status = 0;
    std::string_view code;
    std::string_view message;
};

request_error to_request_error(beast::error_code ec) {
    if (ec == http::error::body_limit) {
        return {413, "body_too_large", "the request body is over the limit"};
    }
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        return {431, "head_too_large", "the request head is over the limit"};
    }
    if (ec == beast::error::timeout) {
        return {408, "request_timeout", "the request did not arrive in time"};
    }
    return {400, "malformed_request", "the request is not valid HTTP/1.1"};
}

bool is_normal_close(beast::error_code ec) {
    return ec == http::error::end_of_stream || ec == asio::error::eof ||
           ec == asio::error::connection_reset || ec == asio::error::operation_aborted;
}

/// Counts an exchange as open for as long as this object exists.
class open_exchange {
public:
    explicit open_exchange(std::atomic<std::size_t>& count) : count_(count) { ++count_; }
    ~open_exchange() { --count_; }
    open_exchange(const open_exchange&) = delete;
    open_exchange& operator=(const open_exchange&) = delete;

private:
    std::atomic<std::size_t>& count_;
};

class connection {
public:
    connection(std::shared_ptr<internal::http_server_state> server, tcp::socket socket)
        : server_(std::move(server)),
          caller_(std::make_shared<caller_connection>(std::move(socket))), stream_(caller_->stream),
          buffer_(caller_->buffer) {
        ++server_->connections;
    }
    ~connection() { --server_->connections; }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    asio::awaitable<void> run() {
        beast::error_code ec;
        stream_.socket().set_option(tcp::no_delay(true), ec);
        stream_.socket().non_blocking(true, ec);
        bool first = true;
        while (co_await serve_one(first)) {
            first = false;
        }
        stream_.socket().shutdown(tcp::socket::shutdown_both, ec);
    }

private:
    using request_parser = http::request_parser<http::string_body>;

    asio::awaitable<bool> serve_one(bool first) {
        bool arrives = true;
        if (!first) {
            arrives = co_await await_request();
        }
        if (!arrives) {
            co_return false;
        }
        // Those in force when the request arrives.
        const http_limits limits = server_->limits;
        std::optional<request_parser> parser(std::in_place);
        parser->header_limit(static_cast<std::uint32_t>(limits.head_bytes));
        parser->body_limit(limits.body_bytes);
        beast::error_code ec;
        stream_.expires_after(limits.head_timeout);
        co_await http::async_read_header(stream_, buffer_, *parser, token(ec));
        if (!ec && !has_known_coding(parser->get())) {
            ec = http::error::bad_transfer_encoding;
        }
        body_reservation memory(memory_budget::of(stream_.get_executor()));
        bool has_room = true;
        if (!ec) {
            stream_.expires_after(limits.head_timeout);
            has_room = co_await read_body(*parser, memory, ec);
        }
        if (!has_room) {
            co_await refuse_body(*parser);
            co_return false;
        }
        const bool no_bytes_received = buffer_.size() == 0 && !parser->got_some();
        stream_.expires_never();
        if (ec && (is_normal_close(ec) || (ec == beast::error::timeout && no_bytes_received))) {
            co_return false;
        }
        if (ec) {
            co_await respond_error(to_request_error(ec));
            co_return false;
        }
        const bool keep_alive = parser->get().keep_alive();
        const auto exchange = std::make_shared<connection_exchange>(
            caller_, to_request(parser->release()), keep_alive, limits);
        parser.reset();
        const open_exchange counted(server_->open_exchanges);
        const bool handled = co_await handle(*exchange);
        co_await exchange->stop_watching();
        if (!handled) {
            exchange->close_after_response();
            co_await exchange->respond_json(
                500, error_body("internal_error", "the request could not be handled"));
        }
        co_return exchange->keep_alive();
    }

    /// Waits for the first bytes of the next request; false if the connection ends before.
    asio::awaitable<bool> await_request() {
        beast::error_code ec;
        if (buffer_.size() == 0) {
            stream_.expires_after(server_->limits.idle_timeout);
            const std::size_t count =
                co_await stream_.async_read_some(buffer_.prepare(read_ahead_step), token(ec));
            buffer_.commit(count);
        }
        co_return !ec;
    }

    /// Runs the handler; false if it has thrown.
    asio::awaitable<bool> handle(http_exchange& exchange) {
        try {
            co_await server_->handler(exchange);
            co_return true;
        } catch (const std::exception&) {
            log_exception(std::current_exception());
            co_return false;
        }
    }

    /// Reserves memory for the body, waiting for it a moment, and reads the body. Returns false if
    /// there is no room.
    asio::awaitable<bool> read_body(request_parser& parser, body_reservation& memory,
                                    beast::error_code& ec) {
        const std::size_t length = parser.content_length().value_or(0);
        bool has_room = memory.raise(length);
        asio::steady_timer pause(stream_.get_executor());
        for (int tries = 0; !has_room && tries < max_room_polls; ++tries) {
            pause.expires_after(room_poll_interval);
            co_await pause.async_wait(token(ec));
            has_room = memory.raise(length);
        }
        if (has_room && length > 0 && awaits_continue(parser)) {
            co_await asio::async_write(stream_, asio::buffer(continue_response), token(ec));
        }
        while (has_room && !ec && !parser.is_done()) {
            co_await http::async_read_some(stream_, buffer_, parser, token(ec));
            // A body without a length takes twice its bytes while its buffer grows.
            has_room = parser.content_length() || memory.raise(2 * parser.get().body().size());
        }
        co_return has_room;
    }

    static bool awaits_continue(const request_parser& parser) {
        return beast::iequals(parser.get()[http::field::expect], "100-continue");
    }

    /// Responds "not run" and discards the body: closing the connection before it has arrived would
    /// reset it, and the caller might not see the response.
    asio::awaitable<void> refuse_body(request_parser& parser) {
        memory_budget& budget = memory_budget::of(stream_.get_executor());
        budget.count_refusal();
        log_event(events::request_body_refused, "length={} reserved_bytes={}",
                  parser.content_length().value_or(0), budget.reserved());
        const auto step = static_cast<double>(budget.refused_requests() % retry_steps);
        const http_field retry_after{
            "Retry-After",
            fmt::format("{:.2f}", min_retry_s + step * (max_retry_s - min_retry_s) / retry_steps)};
        connection_exchange exchange(caller_, {}, false, server_->limits);
        co_await exchange.respond(503, "application/json", error_body("not_run", "no memory"),
                                  {&retry_after, 1});
        beast::error_code ec;
        const bool sends_body = !awaits_continue(parser);
        parser.get().body().clear();
        stream_.expires_after(server_->limits.head_timeout);
        while (sends_body && !ec && !parser.is_done()) {
            co_await http::async_read_some(stream_, buffer_, parser, token(ec));
            parser.get().body().clear();
        }
        stream_.expires_never();
    }

    asio::awaitable<void> respond_error(request_error failure) {
        connection_exchange exchange(caller_, {}, false, server_->limits);
        co_await exchange.respond(failure.status, "application/json",
                                  error_body(failure.code, failure.message), {});
    }

    std::shared_ptr<internal::http_server_state> server_;
    std::shared_ptr<caller_connection> caller_;
    beast::tcp_stream& stream_;
    beast::flat_buffer& buffer_;
};

asio::awaitable<void> run_connection(std::shared_ptr<internal::http_server_state> server,
                                     tcp::socket socket) {
    connection accepted(std::move(server), std::move(socket));
    co_await accepted.run();
}

asio::awaitable<void> accept_loop(std::shared_ptr<internal::http_server_state> server) {
    while (server->acceptor && server->acceptor->is_open()) {
        asio::io_context& context =
            *server->contexts[server->next_context++ % server->contexts.size()];
        tcp::socket socket(context);
        beast::error_code ec;
        co_await server->acceptor->async_accept(socket, token(ec));
        if (ec == asio::error::operation_aborted) {
            co_return;
        }
        if (ec || server->connections >= server->limits.connections) {
            asio::steady_timer pause(co_await asio::this_coro::executor, accept_retry_delay);
            co_await pause.async_wait(token(ec));
            continue;
        }
        asio::co_spawn(context, run_connection(server, std::move(socket)), log_exception);
    }
}

} // namespace

asio::awaitable<bool> http_exchange::respond_json(int status, std::string body,
                                                  std::span<const http_field> fields) {
    return respond(status, "application/json", std::move(body), fields);
}

http_server::http_server(std::vector<asio::io_context*> contexts, http_limits limits,
                         http_handler handler)
    : state_(std::make_shared<internal::http_server_state>()) {
    state_->contexts = std::move(contexts);
    state_->limits = limits;
    state_->handler = std::move(handler);
}

http_server::~http_server() {
    stop_accepting();
}

std::optional<std::string> http_server::listen(std::string_view address, std::string& why) {
    auto acceptor = listen_on(*state_->contexts.front(), address, why);
    if (!acceptor) {
        return std::nullopt;
    }
    std::string bound = to_text(acceptor->local_endpoint());
    // Accepted connections inherit it.
    beast::error_code ignored;
    acceptor->set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
    state_->acceptor = std::move(acceptor);
    asio::co_spawn(*state_->contexts.front(), accept_loop(state_), log_exception);
    return bound;
}

void http_server::stop_accepting() {
    asio::post(*state_->contexts.front(), [state = state_] {
        if (state->acceptor) {
            beast::error_code ec;
            state->acceptor->close(ec);
        }
    });
}

void http_server::set_limits(const http_limits& limits) {
    state_->limits = limits;
}

std::size_t http_server::open_exchanges() const {
    return state_->open_exchanges;
}

} // namespace bamboostream
