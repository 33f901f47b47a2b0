#include "bamboostream/src/Contracts/server_check.h"

#include "bamboostream/src/Http/address.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

constexpr milliseconds connect_timeout{100};
/// How long an accepted connection is observed: an ending process closes its sockets within a few
/// milliseconds of each other.
constexpr milliseconds observation_time{20};
constexpr int max_attempts = 3;
constexpr milliseconds retry_delay{10};
constexpr milliseconds max_check_duration =
    max_attempts * (connect_timeout + observation_time + retry_delay);
/// How long it is shared that a process has ended: requests on one server lose their connections
/// within a few milliseconds of each other.
constexpr milliseconds result_lifetime{50};

/// Closes the socket after `limit`, unless it has been destroyed by then.
void close_after(asio::steady_timer& timer, const std::shared_ptr<asio::ip::tcp::socket>& socket,
                 duration limit) {
    timer.expires_after(limit);
    timer.async_wait([weak = std::weak_ptr(socket)](const boost::system::error_code& error) {
        const auto open = weak.lock();
        boost::system::error_code ignored;
        if (!error && open) {
            open->close(ignored);
        }
    });
}

/// Outcome of one connection attempt.
enum class probe_result : std::uint8_t { refused, no_answer, closed, held_open };

asio::awaitable<probe_result> probe_connection(asio::ip::tcp::endpoint endpoint,
                                               std::string local_address) {
    const auto executor = co_await asio::this_coro::executor;
    const auto socket = std::make_shared<asio::ip::tcp::socket>(executor);
    asio::steady_timer timer(executor);
    boost::system::error_code error;
    if (!local_address.empty()) {
        bind_to(*socket, local_address, error);
    }
    close_after(timer, socket, connect_timeout);
    co_await socket->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::connection_refused) {
        co_return probe_result::refused;
    }
    if (error == asio::error::connection_reset) {
        // It was accepted before.
        co_return probe_result::closed;
    }
    if (error) {
        co_return probe_result::no_answer;
    }
    close_after(timer, socket, observation_time);
    std::array<char, 1> byte{};
    co_await socket->async_read_some(asio::buffer(byte),
                                     asio::redirect_error(asio::use_awaitable, error));
    const bool closed_by_peer = error == asio::error::eof || error == asio::error::connection_reset;
    co_return closed_by_peer ? probe_result::closed : probe_result::held_open;
}

/// A process that is ending may accept a connection before it closes its listening socket, and a
/// process at its connection limit closes new connections at once. Further attempts tell the two
/// apart.
asio::awaitable<process_state> probe_process(std::string address, std::string local_address,
                                             process_state if_closed) {
    const auto endpoint = to_endpoint(address);
    if (!endpoint) {
        co_return process_state::unknown;
    }
    probe_result result = co_await probe_connection(*endpoint, local_address);
    for (int i = 1; i < max_attempts && result == probe_result::closed; ++i) {
        asio::steady_timer pause(co_await asio::this_coro::executor, retry_delay);
        co_await pause.async_wait(asio::use_awaitable);
        result = co_await probe_connection(*endpoint, local_address);
    }
    if (result == probe_result::refused) {
        co_return process_state::ended;
    }
    if (result == probe_result::closed) {
        co_return if_closed;
    }
    co_return result == probe_result::no_answer ? process_state::unknown : process_state::running;
}

} // namespace

std::string_view to_string(process_state state) {
    constexpr std::array<std::string_view, 3> names = {"running", "ended", "unknown"};
    return names.at(static_cast<std::size_t>(state));
}

asio::awaitable<process_state> server_check::check(backend_id id, std::string address) {
    std::erase_if(checks_, [now = monotonic_now()](const auto& item) {
        return item.second->complete && now >= item.second->valid_until;
    });
    if (const auto found = checks_.find(id); found != checks_.end()) {
        const std::shared_ptr<pending_check> other = found->second;
        boost::system::error_code cancelled;
        if (!other->complete) {
            co_await other->done.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
        }
        co_return other->state;
    }
    const auto own = std::make_shared<pending_check>(co_await asio::this_coro::executor);
    own->done.expires_after(max_check_duration);
    checks_[id] = own;
    own->state = co_await probe_process(std::move(address), local_address_, process_state::running);
    own->complete = true;
    own->valid_until =
        monotonic_now() + (own->state == process_state::ended ? result_lifetime : milliseconds(0));
    ended_servers_ += own->state == process_state::ended ? 1 : 0;
    own->done.cancel();
    co_return own->state;
}

asio::awaitable<process_state> server_check::check_now(std::string address) {
    co_return co_await probe_process(std::move(address), local_address_, process_state::unknown);
}

} // namespace bamboostream
