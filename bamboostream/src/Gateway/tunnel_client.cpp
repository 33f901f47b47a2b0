#include "bamboostream/src/Gateway/tunnel_client.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Forwarding/backend_connection.h"
#include "bamboostream/src/Http/address.h"
#include "bamboostream/src/Links/frame_codec.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
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

/// Longest time in which a carrier connects to the server, which takes a few milliseconds.
constexpr milliseconds carrier_timeout{100};
/// The carrier answers this much before the end of the search, so that its answer arrives in time.
constexpr milliseconds answer_margin{30};
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
    case wire::TunnelResult::leaving:
        return carrier_answer::leaving;
    default:
        return carrier_answer::busy;
    }
}

carrier_reply from_wire(const wire::TunnelReplyT& reply) {
    carrier_reply out;
    out.answer = from_wire(reply.result);
    out.service = reply.service == wire::ServiceReach::reached       ? service_reach::reached
                  : reply.service == wire::ServiceReach::not_reached ? service_reach::not_reached
                                                                     : service_reach::unknown;
    out.load = reply.load_permille / 1'000.0;
    out.leaving_start = reply.started_ms;
    return out;
}

/// Connects to another instance and asks it for a tunnel. On `connected`, `socket` is the tunnel.
asio::awaitable<carrier_reply> request_tunnel(std::shared_ptr<tcp::socket> socket,
                                              std::string carrier, wire::FrameT request,
                                              time_point until) {
    const auto endpoint = to_endpoint(carrier);
    if (!endpoint) {
        co_return carrier_reply{};
    }
    asio::steady_timer limit(co_await asio::this_coro::executor, until);
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
        co_return carrier_reply{};
    }
    std::string body(length, '\0');
    co_await asio::async_read(*socket, asio::buffer(body), token(ec));
    limit.cancel();
    const auto reply = ec ? nullptr : decode_frame(body);
    if (!reply || reply->message.type != wire::Message::TunnelReply || !socket->is_open()) {
        co_return carrier_reply{};
    }
    co_return from_wire(*reply->message.AsTunnelReply());
}

constexpr std::string_view describe(service_reach service) {
    switch (service) {
    case service_reach::reached:
        return "+service_reached";
    case service_reach::not_reached:
        return "+service_not_reached";
    default:
        return "";
    }
}

} // namespace

namespace internal {

/// A search and what it has found out.
struct tunnel_search {
    tunnel_search(asio::io_context& context, registered_backend wanted, std::string request,
                  time_point limit)
        : server(std::move(wanted)), request_id(std::move(request)), until(limit),
          changed(context) {
        state.service = server.service;
        state.server = server.id;
        state.server_domain = server.failure_domain.text();
    }

    registered_backend server;
    std::string request_id;
    time_point until;
    carrier_search state;
    std::shared_ptr<http_connection> tunnel;
    bool over = false;
    /// Of each instance that has answered: its address, what was known of it, its answer, and
    /// milliseconds.
    std::string answers;
    /// Cancelled by each answer.
    asio::steady_timer changed;
};

} // namespace internal

void tunnel_client::start() {
    asio::co_spawn(context_, check_loop(), log_exception);
}

std::span<const carrier_candidate> tunnel_client::candidates() {
    const member_table& members = membership_.members();
    if (candidates_revision_ != members.revision()) {
        candidates_revision_ = members.revision();
        candidates_.clear();
        for (const member_facts& member : members.usable()) {
            if (member.id.address != membership_.own_address()) {
                candidates_.push_back({member.id.address, member.failure_domain.text(),
                                       static_cast<double>(std::max(member.capacity, 1U))});
            }
        }
    }
    return candidates_;
}

void tunnel_client::wake_searches(const service_id& service) {
    for (const search_ptr& it : searches_) {
        if (it->state.service == service) {
            it->changed.cancel();
        }
    }
}

asio::awaitable<void> tunnel_client::ask(search_ptr search, carrier_candidate carrier,
                                         std::string known) {
    const time_point began = monotonic_now();
    const auto left = std::chrono::duration_cast<milliseconds>(search->until - began);
    wire::TunnelRequestT request;
    request.backend = search->server.id.text();
    request.request = search->request_id;
    request.timeout_ms = static_cast<std::uint32_t>(
        std::clamp(left - answer_margin, milliseconds(1), carrier_timeout).count());
    const auto socket = std::make_shared<tcp::socket>(context_);
    wire::FrameT frame = make_frame(std::move(request));
    frame.sender = membership_.own_address();
    const carrier_reply reply =
        co_await request_tunnel(socket, carrier.address, std::move(frame), search->until);
    const time_point now = monotonic_now();
    selector_.record(search->state, carrier, reply, now);
    forwarding_.counters.count(reply.answer);
    fmt::format_to(std::back_inserter(search->answers), "{}{}/{}/{}{}/{:.0f}",
                   search->answers.empty() ? "" : ",", carrier.address, known,
                   to_string(reply.answer), describe(reply.service), to_milliseconds(now - began));
    if (reply.answer == carrier_answer::connected) {
        if (search->over || search->tunnel) {
            error_code ignored;
            socket->close(ignored);
        } else {
            search->tunnel = std::make_shared<http_connection>(context_.get_executor());
            search->tunnel->adopt_tunnel(std::move(*socket), carrier.address);
        }
        wake_searches(search->state.service);
    } else if (reply.answer == carrier_answer::leaving) {
        forwarding_.registry.mark_leaving(search->server.id, reply.leaving_start);
        if (forwarding_.on_registry_change) {
            forwarding_.on_registry_change();
        }
    }
    search->changed.cancel();
}

asio::awaitable<void> tunnel_client::run(search_ptr search) {
    while (!search->tunnel && search->until - monotonic_now() > answer_margin) {
        for (const chosen_carrier& it :
             selector_.choose(search->state, candidates(), monotonic_now())) {
            asio::co_spawn(context_, ask(search, *it.carrier, std::string(it.known)),
                           log_exception);
        }
        if (carrier_selector::is_exhausted(search->state)) {
            break;
        }
        co_await wait_on(search->changed, std::min(search->until, search->state.next_round));
    }
    // Answers may still arrive, and one of them may be a tunnel.
    while (!search->tunnel && search->state.in_flight > 0 && monotonic_now() < search->until &&
           !carrier_selector::is_exhausted(search->state)) {
        co_await wait_on(search->changed, search->until);
    }
    search->over = true;
    if (!search->tunnel) {
        selector_.record_not_found(search->state, monotonic_now());
    }
}

asio::awaitable<std::shared_ptr<http_connection>> tunnel_client::open(registered_backend server,
                                                                      std::string request_id,
                                                                      time_point until,
                                                                      tunnel_failure& why) {
    why.set(tunnel_error::unavailable, "no other instance reaches the server");
    const time_point now = monotonic_now();
    selector_.expire(now);
    if (!selector_.may_search(server.id, now)) {
        co_return nullptr;
    }
    const auto search = std::make_shared<internal::tunnel_search>(context_, std::move(server),
                                                                  std::move(request_id), until);
    searches_.insert(search);
    co_await run(search);
    searches_.erase(search);
    if (!search->tunnel || search->state.asked > 1) {
        log_event(events::carriers_asked,
                  "request={} service={} backend={} result={} asked={} after_ms={:.0f} "
                  "carriers={}",
                  search->request_id, search->server.service.text(), search->server.id.text(),
                  search->tunnel ? "opened" : "none", search->state.asked,
                  to_milliseconds(monotonic_now() - now),
                  search->answers.empty() ? "none" : search->answers);
    }
    if (search->tunnel) {
        ++forwarding_.counters.tunnels_opened;
    } else if (search->state.server_failures > 0) {
        why.text = "refused at another instance, too";
    }
    co_return search->tunnel;
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
                               log_exception);
            }
        }
        forwarding_.connections.drop_tunnels_except(membership_.usable_peers());
        co_await pause_for(check_loop_period);
    }
}

} // namespace bamboostream
