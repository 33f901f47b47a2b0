#include "bamboostream/src/Gateway/stream_origin_exchange.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Gateway/peer_frames.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Streams are assigned to holders in groups: the order of the members is computed once for each
/// group, and not for each stream.
constexpr std::uint64_t group_count = 256;
/// An instance answers in about 2 ms, later if a packet is lost.
constexpr milliseconds answer_timeout{150};
/// Holders may restart while a stream is open.
constexpr milliseconds report_period{5'000};

/// The answers of several peers that are asked at the same time.
struct pending_origin {
    explicit pending_origin(asio::io_context& context) : complete(context) {}
    std::optional<stream_origin> found;
    std::size_t outstanding = 0;
    asio::steady_timer complete;
};

} // namespace

void stream_origin_exchange::start() {
    asio::co_spawn(context_, report_loop(), log_exception);
}

std::vector<std::string> stream_origin_exchange::candidates(const request_digest& stream) const {
    std::vector<std::string> out = membership_.owners(
        fmt::format("stream-origins/{}", stream.low % group_count), 2 * copies + 1);
    std::erase(out, membership_.own_address());
    return out;
}

void stream_origin_exchange::record(const request_digest& stream, const stream_origin& origin,
                                    duration keep) {
    table_.record(stream, origin, monotonic_now() + keep);
    open_[stream] = {origin, keep};
    std::vector<std::string> holders = candidates(stream);
    holders.resize(std::min(holders.size(), copies));
    wire::OriginReportT report;
    report.entries.push_back(to_wire(stream, origin, keep));
    links_.send_to_each(holders, make_frame(std::move(report)));
}

void stream_origin_exchange::close(const request_digest& stream) {
    open_.erase(stream);
}

asio::awaitable<void> stream_origin_exchange::report_loop() {
    while (true) {
        co_await pause_for(report_period);
        report_open_streams();
    }
}

void stream_origin_exchange::report_open_streams() {
    std::map<std::string, wire::OriginReportT> reports;
    const time_point now = monotonic_now();
    for (const auto& [stream, it] : open_) {
        table_.record(stream, it.origin, now + it.keep);
        std::vector<std::string> holders = candidates(stream);
        holders.resize(std::min(holders.size(), copies));
        for (const std::string& holder : holders) {
            reports[holder].entries.push_back(to_wire(stream, it.origin, it.keep));
        }
    }
    for (auto& [holder, report] : reports) {
        links_.send(holder, make_frame(std::move(report)));
    }
}

void stream_origin_exchange::hear(const wire::OriginReportT& report) {
    const time_point now = monotonic_now();
    for (const auto& entry : report.entries) {
        table_.record({entry->high, entry->low}, origin_from_wire(*entry),
                      now + milliseconds(entry->keep_ms));
    }
}

std::unique_ptr<wire::FrameT>
stream_origin_exchange::answer(const wire::OriginRequestT& request) const {
    const time_point now = monotonic_now();
    const request_digest stream{request.high, request.low};
    wire::OriginReportT reply;
    if (const auto known = table_.find(stream, now)) {
        reply.entries.push_back(to_wire(stream, known->origin, known->until - now));
    }
    return make_reply(std::move(reply));
}

asio::awaitable<std::optional<stream_origin>> stream_origin_exchange::find(request_digest stream) {
    if (const auto known = table_.find(stream, monotonic_now())) {
        co_return known->origin;
    }
    const std::vector<std::string> order = candidates(stream);
    const std::span<const std::string> all(order);
    const std::size_t first = std::min(copies, all.size());
    if (auto found = co_await ask(all.first(first), stream)) {
        co_return found;
    }
    co_return co_await ask(all.subspan(first), stream);
}

asio::awaitable<std::optional<stream_origin>>
stream_origin_exchange::ask(std::span<const std::string> peers, request_digest stream) {
    auto answers = std::make_shared<pending_origin>(context_);
    answers->outstanding = peers.size();
    for (const std::string& peer : peers) {
        asio::co_spawn(
            context_,
            [this, answers, peer, stream]() -> asio::awaitable<void> {
                wire::OriginRequestT request;
                request.high = stream.high;
                request.low = stream.low;
                link_failure why;
                const auto reply =
                    co_await links_.call(peer, make_frame(request), answer_timeout, why);
                if (reply && reply->message.type == wire::Message::OriginReport) {
                    hear(*reply->message.AsOriginReport());
                }
                if (const auto known = table_.find(stream, monotonic_now())) {
                    answers->found = known->origin;
                }
                if (--answers->outstanding == 0 || answers->found) {
                    answers->complete.cancel();
                }
            },
            log_exception);
    }
    if (answers->outstanding > 0) {
        co_await wait_on(answers->complete, monotonic_now() + answer_timeout);
    }
    co_return answers->found;
}

} // namespace bamboostream
