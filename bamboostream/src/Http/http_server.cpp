#include "bamboostream/src/Http/http_server.h"

#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Http/address.h"
#include "bamboostream/src/Http/connection_exchange.h"
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

constexpr milliseconds accept_retry_delay{10};
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
