#include "bamboostream/src/Gateway/tunnel_client.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Forwarding/backend_connection.h"
#include "bamboostream/src/Http/address.h"
#include "bamboostream/src/Links/frame_codec.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <iterator>
#include <unordered_set>

namespace bamboostream {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

/// Time for one carrier, which connects to the server within a few milliseconds. Callers that wait
/// for 0.6 s have the time for three.
constexpr milliseconds carrier_timeout{150};
/// The carrier answers this much before that, so that its answer arrives in time.
constexpr milliseconds answer_margin{30};
constexpr std::size_t max_carriers_per_tunnel = 3;
/// An instance that does not carry tunnels now is asked again after this time.
constexpr milliseconds carrier_pause{1'000};
/// An instance that got no answer from a server is asked for that server again after this time.
constexpr milliseconds no_answer_pause{2'500};
/// As above after a refused connection. Either the server's process has ended, or the carrier's own
/// network refuses connections, so another instance is asked as well.
constexpr milliseconds refused_pause{500};
/// A carrier that has connected within this time is preferred.
constexpr seconds connected_lately{5};
/// Interval at which due checks are looked up while a server is cut off.
constexpr milliseconds check_loop_period{50};
/// A reply is much smaller than this.
constexpr std::uint32_t max_reply_bytes = 4'096;

auto token(error_code& ec) {
    return asio::redirect_error(asio::use_awaitable, ec);
}

carrier_answer from_wire(wire::TunnelResult result) {
    switch (result) {
    case wire::TunnelResult::connected:
        return carrier_answer::connected;
    case wire::TunnelResult::refused:
        return carrier_answer::refused;
    case wire::TunnelResult::no_answer:
        return carrier_answer::no_answer;
    case wire::TunnelResult::cut_off:
        return carrier_answer::cut_off;
    default:
        return carrier_answer::busy;
    }
}

/// Connects to another instance and asks it for a tunnel. On `connected`, `socket` is the tunnel.
asio::awaitable<carrier_answer> request_tunnel(std::shared_ptr<tcp::socket> socket,
                                               std::string carrier, wire::FrameT request,
                                               milliseconds timeout) {
    const auto endpoint = to_endpoint(carrier);
    if (!endpoint) {
        co_return carrier_answer::no_reply;
    }
    asio::steady_timer limit(co_await asio::this_coro::executor, timeout);
    limit.async_wait([weak = std::weak_ptr(socket)](const error_code& expired) {
        const auto open = weak.lock();
        error_code ignored;
        if (!expired && open) {
            open->close(ignored);
        }
    });
    error_code ec;
    co_await socket->async_connect(*endpoint, token(ec));
    const std::string frame = encode_frame(request);
    if (!ec) {
        co_await asio::async_write(*socket, asio::buffer(frame), token(ec));
    }
    std::array<unsigned char, 4> head{};
    if (!ec) {
        co_await asio::async_read(*socket, asio::buffer(head), token(ec));
    }
    const std::uint32_t length = ec ? 0 : decode_length(head);
    if (length == 0 || length > max_reply_bytes) {
        co_return carrier_answer::no_reply;
    }
    std::string body(length, '\0');
    co_await asio::async_read(*socket, asio::buffer(body), token(ec));
    limit.cancel();
    const auto reply = ec ? nullptr : decode_frame(body);
    if (!reply || reply->message.type != wire::Message::TunnelReply || !socket->is_open()) {
        co_return carrier_answer::no_reply;
    }
    co_return from_wire(reply->message.AsTunnelReply()->result);
}

/// `asked` has the address, answer and milliseconds of each instance.
void log_carriers_asked(const std::string& request_id, const registered_backend& server,
                        std::string_view asked) {
    log_event(events::carriers_asked, "request={} service={} backend={} carriers={}", request_id,
              server.service.text(), server.id.text(), asked.empty() ? "none" : asked);
}

} // namespace

void tunnel_client::start() {
    asio::co_spawn(context_, check_loop(), asio::detached);
}

void tunnel_client::expire(time_point now) {
    std::erase_if(failed_until_, [now](const auto& item) { return now >= item.second; });
    std::erase_if(carriers_, [now](const auto& item) {
        return now >= item.second.excluded_until &&
               now >= item.second.last_connected + connected_lately;
    });
}

std::vector<std::string> tunnel_client::carriers_for(const backend_id& server, time_point now) {
    /// How much an instance is preferred: lower is better.
    struct candidate {
        int rank = 0;
        std::string peer;
    };
    constexpr int not_connected_lately = 2;
    constexpr int other_failure_domain = 1;
    expire(now);
    const std::vector<std::string> near_list =
        membership_.usable_peers_in(membership_.own_failure_domain().text());
    const std::unordered_set<std::string> near(near_list.begin(), near_list.end());
    std::vector<candidate> candidates;
    for (const std::string& peer : membership_.usable_peers()) {
        const auto known = carriers_.find(peer);
        const bool excluded = known != carriers_.end() && now < known->second.excluded_until;
        if (excluded || failed_until_.contains(std::pair(peer, server))) {
            continue;
        }
        const bool connected =
            known != carriers_.end() && now < known->second.last_connected + connected_lately;
        candidates.push_back({(connected ? 0 : not_connected_lately) +
                                  (near.contains(peer) ? 0 : other_failure_domain),
                              peer});
    }
    std::shuffle(candidates.begin(), candidates.end(), forwarding_.random);
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const candidate& a, const candidate& b) { return a.rank < b.rank; });
    std::vector<std::string> out;
    for (candidate& it : candidates) {
        out.push_back(std::move(it.peer));
    }
    return out;
}

asio::awaitable<std::shared_ptr<http_connection>> tunnel_client::open(registered_backend server,
                                                                      std::string request_id,
                                                                      time_point until,
                                                                      tunnel_failure& why) {
    why.set(tunnel_error::unavailable, "no other instance reaches the server");
    std::vector<std::string> carriers = carriers_for(server.id, monotonic_now());
    carriers.resize(std::min(carriers.size(), max_carriers_per_tunnel));
    std::string asked;
    for (const std::string& carrier : carriers) {
        const milliseconds left = std::min(
            carrier_timeout, std::chrono::duration_cast<milliseconds>(until - monotonic_now()));
        if (left <= answer_margin) {
            break;
        }
        wire::TunnelRequestT request;
        request.backend = server.id.text();
        request.request = request_id;
        request.timeout_ms = static_cast<std::uint32_t>((left - answer_margin).count());
        const auto socket = std::make_shared<tcp::socket>(context_);
        wire::FrameT frame = make_frame(std::move(request));
        frame.sender = membership_.own_address();
        const time_point asked_at = monotonic_now();
        const carrier_answer answer =
            co_await request_tunnel(socket, carrier, std::move(frame), left);
        const time_point now = monotonic_now();
        forwarding_.counters.count(answer);
        fmt::format_to(std::back_inserter(asked), "{}{}:{}:{:.0f}", asked.empty() ? "" : ",",
                       carrier, to_string(answer), to_milliseconds(now - asked_at));
        if (answer == carrier_answer::connected) {
            if (asked.find(',') != std::string::npos) {
                log_carriers_asked(request_id, server, asked);
            }
            carriers_[carrier].last_connected = now;
            ++forwarding_.counters.tunnels_opened;
            auto connection = std::make_shared<http_connection>(context_.get_executor());
            connection->adopt_tunnel(std::move(*socket), carrier);
            co_return connection;
        }
        if (answer == carrier_answer::refused) {
            why.text = "refused at another instance, too";
            failed_until_[std::pair(carrier, server.id)] = now + refused_pause;
        } else if (answer == carrier_answer::no_answer) {
            failed_until_[std::pair(carrier, server.id)] = now + no_answer_pause;
        } else {
            carriers_[carrier] = {now + carrier_pause, {}};
        }
    }
    log_carriers_asked(request_id, server, asked);
    co_return nullptr;
}

asio::awaitable<void> tunnel_client::check_loop() {
    while (true) {
        if (forwarding_.reachability.servers_cut_off() == 0) {
            co_await wait_on(wake_, time_point::max());
        }
        for (const reachability_tracker::check& due :
             forwarding_.reachability.take_due_checks(monotonic_now())) {
            const registered_backend* server = forwarding_.registry.find(due.server);
            if (server == nullptr) {
                forwarding_.reachability.forget(due.service, due.server);
            } else {
                asio::co_spawn(context_, check_direct_connection(forwarding_, *server),
                               asio::detached);
            }
        }
        forwarding_.connections.drop_tunnels_except(membership_.usable_peers());
        co_await pause_for(check_loop_period);
    }
}

} // namespace bamboostream
