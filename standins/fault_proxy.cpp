// A TCP proxy that injects network faults between two processes: it delays, stalls, discards,
// freezes and closes. Faults are set with `POST /control` on its --listen address.

#include "bamboostream/Contracts"
#include "standins/packet_filter.h"
#include "standins/standin_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

using namespace bamboostream;
namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

/// What happens to senders that are partitioned from the server.
enum class cut_manner : std::uint8_t {
    none,
    /// Their packets are discarded.
    silent,
    /// Their requests for connections are discarded.
    no_new_connections,
    /// Their connections are reset, and so are new ones.
    reset,
};

/// The manner with this name in commands; nothing if there is none.
std::optional<cut_manner> cut_manner_of(std::string_view name) {
    constexpr std::array<std::string_view, 4> names = {"none", "silent", "no_new_connections",
                                                       "reset"};
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? std::nullopt
                                : std::optional(static_cast<cut_manner>(found - names.begin()));
}

std::vector<std::string> split(std::string_view list) {
    std::vector<std::string> out;
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        out.emplace_back(list.substr(0, comma));
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return out;
}

/// Faults that are in effect for all connections.
struct proxy_faults {
    milliseconds delay{0};
    /// No bytes are forwarded in either direction until this is reset.
    bool stalled = false;
    /// Bytes from the server are discarded, so that responses are lost.
    bool lose_answers = false;
    /// Bytes to the server are discarded, so that requests are lost.
    bool lose_requests = false;
    /// New connections are closed immediately.
    bool refuse = false;
    /// Senders that are partitioned from the server, and how.
    std::vector<std::string> cut_off;
    cut_manner manner = cut_manner::none;
    /// A connection is closed after this many response bytes; 0 for never.
    std::int64_t cut_after = 0;
};

struct proxied_connection {
    proxied_connection(tcp::socket c, tcp::socket s) : client(std::move(c)), server(std::move(s)) {}
    tcp::socket client;
    tcp::socket server;
    std::int64_t response_bytes = 0;
    /// Nothing is forwarded any more, but the connection stays open, as with a lost peer.
    bool frozen = false;
    void close() {
        error_code ec;
        client.close(ec);
        server.close(ec);
    }
};

class proxy {
public:
    proxy(asio::io_context& context, std::string target)
        : context_(context), target_(std::move(target)), acceptor_(context) {}

    bool listen(const std::string& address, const std::string& announce_file) {
        error_code ec;
        const auto endpoint = to_endpoint(address);
        acceptor_.open(endpoint->protocol(), ec);
        acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
        acceptor_.bind(*endpoint, ec);
        if (!ec) {
            acceptor_.listen(asio::socket_base::max_listen_connections, ec);
        }
        if (ec) {
            log_event(events::listen_failed, "address={} reason={}", address, ec.message());
            return false;
        }
        standins::announce(announce_file, to_text(acceptor_.local_endpoint()));
        asio::co_spawn(context_, accept_loop(), asio::detached);
        return true;
    }

    asio::awaitable<void> control(http_exchange& exchange) {
        std::string why;
        const auto value = parse_json(exchange.request().body, why);
        if (value) {
            faults_.delay = milliseconds(number_at(*value, "delay_ms", faults_.delay.count()));
            faults_.stalled = number_at(*value, "stalled", faults_.stalled ? 1 : 0) != 0;
            faults_.lose_answers =
                number_at(*value, "lose_answers", faults_.lose_answers ? 1 : 0) != 0;
            faults_.lose_requests =
                number_at(*value, "lose_requests", faults_.lose_requests ? 1 : 0) != 0;
            faults_.refuse = number_at(*value, "refuse", faults_.refuse ? 1 : 0) != 0;
            faults_.cut_after = number_at(*value, "cut_after", faults_.cut_after);
            if (const auto manner = cut_manner_of(text_at(*value, "cut_manner"))) {
                cut_off(*manner, split(text_at(*value, "cut_off")));
            }
            if (number_at(*value, "freeze") != 0) {
                for (const auto& connection : connections_) {
                    connection->frozen = true;
                }
            }
            if (number_at(*value, "cut") != 0) {
                cut_all();
            }
            log_event(events::fault_set, "{}", exchange.request().body);
        }
        co_await exchange.respond_json(200, "{}");
    }

private:
    static auto token(error_code& ec) { return asio::redirect_error(asio::use_awaitable, ec); }

    bool is_cut_off(const tcp::socket& client) const {
        error_code ec;
        const auto remote = client.remote_endpoint(ec);
        return !ec && std::find(faults_.cut_off.begin(), faults_.cut_off.end(),
                                remote.address().to_string()) != faults_.cut_off.end();
    }

    static void reset(tcp::socket& client) {
        error_code ec;
        client.set_option(asio::socket_base::linger(true, 0), ec);
        client.close(ec);
    }

    void cut_off(cut_manner manner, std::vector<std::string> senders) {
        faults_.manner = manner;
        faults_.cut_off = std::move(senders);
        const bool filters =
            manner == cut_manner::silent || manner == cut_manner::no_new_connections;
        const auto which = manner == cut_manner::no_new_connections
                               ? standins::discarded_packets::connection_requests
                               : standins::discarded_packets::all;
        const auto sources = filters ? faults_.cut_off : std::vector<std::string>{};
        bool applied = standins::discard_packets(acceptor_.native_handle(), sources, which);
        for (const auto& connection : connections_) {
            applied =
                standins::discard_packets(connection->client.native_handle(), sources, which) &&
                applied;
            if (manner == cut_manner::reset && is_cut_off(connection->client)) {
                reset(connection->client);
                connection->close();
            }
        }
        if (!applied) {
            log_event(events::fault_set, "packets are not discarded on all connections");
        }
    }

    void cut_all() {
        for (const auto& connection : connections_) {
            connection->close();
        }
        connections_.clear();
    }

    asio::awaitable<void> accept_loop() {
        error_code ec;
        while (true) {
            tcp::socket client(context_);
            co_await acceptor_.async_accept(client, token(ec));
            if (ec == asio::error::operation_aborted) {
                co_return;
            }
            if (!ec && faults_.manner == cut_manner::reset && is_cut_off(client)) {
                reset(client);
            } else if (!ec && !faults_.refuse) {
                asio::co_spawn(context_, serve(std::move(client)), asio::detached);
            }
        }
    }

    asio::awaitable<void> serve(tcp::socket client) {
        error_code ec;
        tcp::socket server(context_);
        co_await server.async_connect(*to_endpoint(target_), token(ec));
        if (ec) {
            co_return;
        }
        client.set_option(tcp::no_delay(true), ec);
        server.set_option(tcp::no_delay(true), ec);
        auto connection =
            std::make_shared<proxied_connection>(std::move(client), std::move(server));
        connections_.insert(connection);
        asio::co_spawn(context_, forward(connection, connection->client, connection->server, false),
                       asio::detached);
        asio::co_spawn(context_, forward(connection, connection->server, connection->client, true),
                       asio::detached);
    }

    asio::awaitable<void> pause(milliseconds time) {
        asio::steady_timer timer(context_, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<void> forward(std::shared_ptr<proxied_connection> connection, tcp::socket& from,
                                  tcp::socket& to, bool from_server) {
        std::array<char, 16384> buffer{};
        error_code ec;
        while (true) {
            const std::size_t count =
                co_await from.async_read_some(asio::buffer(buffer), token(ec));
            if (ec) {
                break;
            }
            if (faults_.delay.count() > 0) {
                co_await pause(faults_.delay);
            }
            while ((faults_.stalled || connection->frozen) && to.is_open()) {
                co_await pause(milliseconds(20));
            }
            if (from_server ? faults_.lose_answers : faults_.lose_requests) {
                continue;
            }
            co_await asio::async_write(to, asio::buffer(buffer.data(), count), token(ec));
            if (ec) {
                break;
            }
            connection->response_bytes += from_server ? static_cast<std::int64_t>(count) : 0;
            if (faults_.cut_after > 0 && connection->response_bytes >= faults_.cut_after) {
                break;
            }
        }
        connection->close();
        connections_.erase(connection);
    }

    asio::io_context& context_;
    std::string target_;
    tcp::acceptor acceptor_;
    proxy_faults faults_;
    std::set<std::shared_ptr<proxied_connection>> connections_;
};

} // namespace

int main(int argc, char** argv) {
    standins::standin_options options;
    std::string target;
    std::string proxy_listen = "127.0.0.1:0";
    std::string proxy_file;
    settings s("fault-proxy", "TCP proxy that misbehaves on command");
    standins::add_standin_settings(s, options);
    s.address("target", &target, "Where connections go", true);
    s.address("proxy-listen", &proxy_listen, "Address that is proxied; --listen takes commands");
    s.text("proxy-announce-file", &proxy_file, "File to write the proxied address to");
    if (s.parse(argc, argv) != settings_outcome::run) {
        return s.exit_code();
    }
    asio::io_context context;
    proxy serving(context, target);
    if (!serving.listen(proxy_listen, proxy_file)) {
        return exit_code_unavailable;
    }
    return standins::run_standin(
        context, options, [&](http_exchange& exchange) { return serving.control(exchange); });
}
