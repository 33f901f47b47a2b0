#include "bamboostream/src/Http/http_connection.h"

#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Http/address.h"
#include "bamboostream/src/Http/transfer_coding.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace bamboostream {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr int first_final_status = 200;

auto token(beast::error_code& ec) {
    return asio::redirect_error(asio::use_awaitable, ec);
}

bool is_parse_error(const beast::error_code& ec) {
    return ec.category() == http::make_error_code(http::error::bad_method).category();
}

/// A server may respond before it has read a long request, and then read no further; the next
/// request on the connection would wait behind the unread rest until it timed out. A completed
/// write doesn't show that the server has read the request, because the kernel buffers up to a
/// megabyte. Requests up to this size fit into what servers read at once.
constexpr std::size_t max_reusable_request_bytes = 64 * 1024;
constexpr int send_buffer_bytes = 64 * 1024;

/// Bytes that a connection may read without waiting for its turn: what a response or the events of
/// an engine's step take, and the rate of a hundred streams. A hundred responses that arrive at
/// once delay others by this much each.
constexpr std::size_t burst_bytes = 16 * 1024;
constexpr std::size_t bytes_per_second = 256 * 1024;
/// Whatever handles the bytes makes up to six copies of them, so a hundred responses that arrive
/// faster than they are handled take some megabytes.
constexpr std::size_t bytes_per_read = 4 * 1024;

} // namespace

http_connection::http_connection(const asio::any_io_executor& executor)
    : socket_(executor), watchdog_(executor),
      buffer_(std::make_unique<std::array<char, 16 * 1024>>()),
      guard_(response_guard::of(executor)), limits_(guard_.limits()),
      at_once_(burst_bytes, bytes_per_second), turn_(executor) {}

http_connection::~http_connection() = default;

asio::awaitable<bool> http_connection::connect(std::string address, milliseconds timeout,
                                               http_failure& why, std::string local_address) {
    const auto endpoint = to_endpoint(address);
    address_ = address;
    if (!endpoint) {
        why.set(http_error::not_connected, "not an ip:port address: " + address);
        co_return false;
    }
    beast::error_code ec;
    if (!local_address.empty()) {
        bind_to(socket_, local_address, ec);
        if (ec) {
            why.set(http_error::not_connected, local_address + ": " + ec.message());
            co_return false;
        }
    }
    expire_at(monotonic_now() + timeout);
    co_await socket_.async_connect(*endpoint, token(ec));
    expire_never();
    if (ec || !socket_.is_open()) {
        why.set(http_error::not_connected, timed_out_ ? "connecting timed out" : ec.message());
        co_return false;
    }
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    socket_.non_blocking(true, ec);
    co_return true;
}

void http_connection::adopt_tunnel(asio::ip::tcp::socket socket, std::string carrier) {
    beast::error_code ec;
    socket_ = std::move(socket);
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    socket_.non_blocking(true, ec);
    carrier_ = std::move(carrier);
    address_ = carrier_;
    tunnel_.emplace();
}

void http_connection::start_parser() {
    parser_.emplace();
    // `check_limits` limits the body; the parser would refuse a longer one without telling which.
    parser_->body_limit(boost::none);
    parser_->header_limit(static_cast<std::uint32_t>(limits_.head_bytes));
    head_began_.reset();
    head_ended_.reset();
    folded_lines_ = {};
    parser_->eager(true);
    parser_->skip(head_only_);
}

std::array<asio::const_buffer, 2> http_connection::unwritten(std::size_t skipped) const {
    const std::string_view body = request_body_ ? *request_body_ : std::string_view{};
    const std::size_t of_head = std::min(skipped, request_bytes_.size());
    return {asio::buffer(request_bytes_) + of_head,
            asio::buffer(body.data(), body.size()) + (skipped - of_head)};
}

void http_connection::send(std::string bytes, bool head_only,
                           std::shared_ptr<const std::string> body) {
    head_only_ = head_only;
    ended_by_close_ = false;
    any_sent_ = false;
    exceeded_ = response_limit::none;
    response_bytes_ = 0;
    body_bytes_ = 0;
    framing_bytes_ = 0;
    interim_responses_ = 0;
    request_bytes_ = std::move(bytes);
    request_body_ = std::move(body);
    request_size_ = request_bytes_.size() + (request_body_ ? request_body_->size() : 0);
    start_parser();
    beast::error_code ec;
    if (request_size_ > max_reusable_request_bytes) {
        // The kernel would keep megabytes of the body.
        socket_.set_option(asio::socket_base::send_buffer_size(send_buffer_bytes), ec);
    }
    std::size_t written = socket_.write_some(unwritten(0), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) {
        ec = {};
        written = 0;
    }
    any_sent_ = written > 0;
    sent_at_ = monotonic_now();
    written_at_once_ = written;
    writer_.reset();
    if (ec) {
        close();
        return;
    }
    if (written == request_size_) {
        request_body_ = nullptr;
    } else {
        request_incomplete_ = true;
        any_sent_ = true;
        asio::co_spawn(
            socket_.get_executor(),
            [self = shared_from_this(), written]() -> asio::awaitable<void> {
                co_await self->write_remaining(written);
            },
            log_exception);
    }
}

bool http_connection::is_unacknowledged(duration age, time_point now) {
    if (!is_open() || !any_sent_ || complete() || response_bytes_ > 0 || now - sent_at_ < age) {
        return false;
    }
    int unacknowledged = 0;
    const bool is_known = ::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
    return is_known && unacknowledged > 0 && static_cast<std::size_t>(unacknowledged) >= written();
}

std::size_t http_connection::written() const {
    if (!request_incomplete_) {
        return request_size_;
    }
    return written_at_once_ + (writer_ ? writer_->written() : 0);
}

asio::awaitable<void> http_connection::write_remaining(std::size_t written) {
    writer_.emplace(socket_);
    request_incomplete_ = !co_await writer_->write(unwritten(written));
    request_body_ = nullptr;
}

asio::awaitable<bool> http_connection::read_head(http_failure& why) {
    beast::error_code ec;
    do {
        if (parser_->is_header_done()) {
            const bool is_interim = status() < first_final_status;
            if (is_interim && ++interim_responses_ > limits_.interim_responses) {
                exceed(response_limit::interim_responses);
                ec = http::error::header_limit;
                break;
            }
            start_parser();
            if (unparsed_bytes_ > 0) {
                parse(unparsed_bytes_, ec);
            }
        }
        while (!ec && !parser_->is_header_done()) {
            co_await read_once(ec);
        }
        if (!ec && !is_valid_head()) {
            ec = http::error::bad_value;
        }
    } while (!ec && status() < first_final_status);
    if (ec) {
        why.set(is_parse_error(ec) ? http_error::malformed : http_error::broken,
                exceeded_ != response_limit::none
                    ? "limit exceeded: " + std::string(to_string(exceeded_))
                : timed_out_      ? "timed out"
                : unacknowledged_ ? "server acknowledged nothing of the request"
                                  : ec.message());
        close();
        co_return false;
    }
    ++responses_;
    co_return true;
}

bool http_connection::is_valid_head() const {
    return is_valid_status(status()) && !folded_lines_.found() &&
           has_known_coding(parser_->get()) && is_single_head(parser_->get());
}

asio::awaitable<bool> http_connection::skip_response(std::size_t max_bytes) {
    std::size_t bytes = 0;
    std::string ignored;
    const bool is_framed = parser_->is_done() || !parser_->need_eof();
    while (is_framed && bytes <= max_bytes && co_await read(ignored)) {
        bytes += ignored.size();
        ignored.clear();
    }
    if (!is_framed || bytes > max_bytes || !complete() || response_closes()) {
        close();
        co_return false;
    }
    body_bytes_ = 0;
    framing_bytes_ = 0;
    co_return true;
}

/// A tunnel whose carrier has ended must not look like the end of the server's connection, which
/// completes a response without a length.
asio::awaitable<std::size_t> http_connection::read_payload(beast::error_code& ec) {
    if (tunnel_ && tunnel_->ended()) {
        ec = asio::error::eof;
        co_return 0;
    }
    char* const begin = buffer_->data() + unparsed_bytes_;
    const std::size_t count = co_await socket_.async_read_some(
        asio::buffer(begin, std::min(buffer_->size() - unparsed_bytes_, bytes_per_read)),
        token(ec));
    if (!tunnel_) {
        co_return count;
    }
    const std::size_t decoded = tunnel_->decode({begin, count});
    if (ec == asio::error::eof || tunnel_->malformed()) {
        ec = asio::error::connection_reset;
    }
    co_return decoded;
}

asio::awaitable<void> http_connection::read_once(beast::error_code& ec) {
    co_await await_turn();
    const std::size_t count = co_await read_payload(ec);
    last_read_ = monotonic_now();
    at_once_.use(count, last_read_);
    if (ec == asio::error::eof) {
        const bool in_order = co_await ended_in_order();
        ec = in_order ? ec : asio::error::connection_reset;
    }
    if (ec == asio::error::eof && parser_->got_some() && !parser_->is_done()) {
        end_response(ec);
    } else if (!ec) {
        parse(unparsed_bytes_ + count, ec);
    }
}

/// The end of a tunnel is that of the server's connection, whatever happens to the connection to
/// the carrier.
asio::awaitable<bool> http_connection::ended_in_order() {
    if (tunnel_ || !writer_) {
        co_return true;
    }
    co_return co_await writer_->stop();
}

void http_connection::end_response(beast::error_code& ec) {
    ec = {};
    ended_by_close_ = true;
    // A server that ends a response with its connection announces that. Without it, a success
    // that ends before its body was cut off.
    const bool is_cut = parser_->is_header_done() && status() / 100 == 2 && body_bytes_ == 0 &&
                        parser_->get().keep_alive();
    if (!is_cut) {
        parser_->put_eof(ec);
    }
    if (!ec && !parser_->is_done()) {
        ec = asio::error::eof;
    }
}

asio::awaitable<void> http_connection::await_turn() {
    const time_point now = monotonic_now();
    if (at_once_.use(0, now)) {
        co_return;
    }
    const time_point turn = guard_.claim_turn(now);
    if (turn > now) {
        beast::error_code ignored;
        turn_.expires_at(turn);
        co_await turn_.async_wait(token(ignored));
    }
}

void http_connection::exceed(response_limit limit) {
    if (exceeded_ == response_limit::none) {
        exceeded_ = limit;
        guard_.record(server_name_.empty() ? address_ : server_name_, address_, limit,
                      response_bytes_, monotonic_now());
    }
    close();
}

response_limit http_connection::check_limits(std::size_t used, std::size_t body_bytes,
                                             bool head_was_done) {
    response_bytes_ += used;
    if (!parser_->is_header_done()) {
        head_began_ = head_began_.value_or(last_read_);
        return last_read_ - *head_began_ > limits_.head_time ? response_limit::head_time
                                                             : response_limit::none;
    }
    head_ended_ = head_ended_.value_or(last_read_);
    body_bytes_ += body_bytes;
    framing_bytes_ += head_was_done ? used - body_bytes : 0;
    const auto length = parser_->content_length();
    if (body_bytes_ > limits_.body_bytes ||
        (!parser_->is_done() && length && *length > limits_.body_bytes)) {
        return response_limit::body_bytes;
    }
    if (framing_bytes_ > limits_.framing_bytes + limits_.framing_per_body_byte * body_bytes_) {
        return response_limit::framing_bytes;
    }
    const seconds for_bytes(body_bytes_ / limits_.min_body_bytes_per_second);
    const bool late =
        limits_.body_time && last_read_ - *head_ended_ > *limits_.body_time + for_bytes;
    return late && !parser_->is_done() ? response_limit::body_time : response_limit::none;
}

void http_connection::parse(std::size_t available, beast::error_code& ec) {
    const bool head_was_done = parser_->is_header_done();
    const std::size_t body_before = parser_->get().body().size();
    std::size_t used = 0;
    while (used < available && !parser_->is_done()) {
        const std::size_t taken =
            parser_->put(asio::const_buffer(buffer_->data() + used, available - used), ec);
        used += taken;
        if (ec == http::error::need_more) {
            ec = {};
            break;
        }
        if (ec || taken == 0) {
            break;
        }
    }
    if (!head_was_done) {
        folded_lines_.append({buffer_->data(), used});
    }
    unparsed_bytes_ = available - used;
    std::copy(buffer_->begin() + static_cast<std::ptrdiff_t>(used),
              buffer_->begin() + static_cast<std::ptrdiff_t>(available), buffer_->begin());
    if (!ec && unparsed_bytes_ == buffer_->size()) {
        ec = http::error::header_limit;
    }
    response_limit limit =
        check_limits(used, parser_->get().body().size() - body_before, head_was_done);
    if (ec == http::error::header_limit) {
        limit =
            parser_->is_header_done() ? response_limit::framing_bytes : response_limit::head_bytes;
    }
    if (limit != response_limit::none) {
        ec = http::error::header_limit;
        exceed(limit);
    }
}

std::optional<std::uint64_t> http_connection::content_length() const {
    const auto length = parser_->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

void http_connection::record_surplus() {
    if (has_surplus()) {
        exceed(response_limit::surplus_bytes);
    }
}

int http_connection::status() const {
    return static_cast<int>(parser_->get().result_int());
}

std::string_view http_connection::field(std::string_view name) const {
    const auto found = parser_->get().find(beast::string_view(name.data(), name.size()));
    return found == parser_->get().end()
               ? std::string_view{}
               : std::string_view(found->value().data(), found->value().size());
}

std::vector<std::string_view> http_connection::field_values(std::string_view name) const {
    std::vector<std::string_view> out;
    const auto range = parser_->get().equal_range(beast::string_view(name.data(), name.size()));
    for (auto it = range.first; it != range.second; ++it) {
        out.emplace_back(it->value().data(), it->value().size());
    }
    return out;
}

std::vector<http_field> http_connection::fields() const {
    std::vector<http_field> out;
    for (const auto& field : parser_->get()) {
        out.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return out;
}

asio::awaitable<bool> http_connection::read(std::string& into) {
    beast::error_code ec;
    while (parser_->get().body().empty() && !parser_->is_done() && !ec) {
        co_await read_once(ec);
    }
    into += parser_->get().body();
    const bool any = !parser_->get().body().empty();
    parser_->get().body().clear();
    if (ec) {
        close();
    }
    co_return any;
}

bool http_connection::complete() const {
    return parser_ && parser_->is_done();
}

void http_connection::expire_at(time_point when) {
    watchdog_.expires_at(when);
    watchdog_.async_wait([weak = weak_from_this()](const beast::error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self) {
            self->timed_out_ = true;
            self->close();
        }
    });
}

void http_connection::expire_never() {
    watchdog_.cancel();
}

/// Bytes of an abandoned request that the network still holds would be delivered after the close,
/// seconds later at times, and the server would run the request. A reset discards them.
void http_connection::close() {
    beast::error_code ec;
    watchdog_.cancel();
    turn_.cancel();
    if (any_sent_ && !complete()) {
        socket_.set_option(asio::socket_base::linger(true, 0), ec);
    }
    socket_.close(ec);
}

void http_connection::abandon_unacknowledged() {
    unacknowledged_ = true;
    close();
}

bool http_connection::response_closes() const {
    return !parser_->get().keep_alive() || ended_by_close_;
}

bool http_connection::reusable() const {
    const bool request_consumed = request_size_ <= max_reusable_request_bytes;
    if (reuse_forbidden_ || head_only_ ||
        (tunnel_ && (tunnel_->ended() || !tunnel_->at_boundary()))) {
        return false;
    }
    return socket_.is_open() && complete() && unparsed_bytes_ == 0 && !request_incomplete_ &&
           request_consumed && !response_closes();
}

std::optional<seconds> http_connection::keep_alive_timeout() const {
    constexpr std::string_view name = "timeout=";
    const std::string_view text = field("Keep-Alive");
    const std::size_t at = text.find(name);
    int value = 0;
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(at + name.size());
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return parsed.ec == std::errc{} ? std::optional(seconds(value)) : std::nullopt;
}

void http_connection::watch_idle() {
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [weak = weak_from_this()](const beast::error_code& ec) {
                           const auto self = weak.lock();
                           if (!ec && self) {
                               self->close();
                           }
                       });
}

void http_connection::stop_watching() {
    beast::error_code ec;
    socket_.cancel(ec);
}

bool http_connection::has_input() {
    beast::error_code ec;
    char byte = 0;
    socket_.read_some(asio::buffer(&byte, 1), ec);
    return ec != asio::error::would_block && ec != asio::error::try_again;
}

} // namespace bamboostream
