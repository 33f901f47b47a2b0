#include "bamboostream/src/Control/quarantine_exchange.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/digest.h"
#include "bamboostream/src/Core/log_exception.h"

#include <boost/asio/co_spawn.hpp>
#include <utility>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Requests on the same server lose their connections within this time and are announced together.
constexpr milliseconds batching_delay{2};
/// Two periods are shorter than the time allowed for recovery from a partition.
constexpr milliseconds catch_up_period{1'000};
/// Delay after a start, until the first peers are known.
constexpr milliseconds first_catch_up_delay{200};
constexpr milliseconds answer_timeout{300};
constexpr std::chrono::hours idle_wait{1};

} // namespace

quarantine_exchange::quarantine_exchange(asio::io_context& context, peer_links& links,
                                         membership_service& membership,
                                         quarantine_registry& quarantine)
    : context_(context), links_(links), membership_(membership), quarantine_(quarantine),
      trials_(links, membership, quarantine), evidence_added_(context),
      random_(stable_hash(random_id())) {}

void quarantine_exchange::start() {
    asio::co_spawn(context_, announce_loop(), log_exception);
    asio::co_spawn(context_, catch_up_loop(), log_exception);
}

void quarantine_exchange::note(const crash_evidence& evidence) {
    unannounced_.push_back(evidence);
    evidence_added_.cancel();
}

void quarantine_exchange::note(const part_answer& answer) {
    unannounced_answers_.push_back(answer);
    evidence_added_.cancel();
}

asio::awaitable<void> quarantine_exchange::announce_loop() {
    while (true) {
        if (unannounced_.empty() && unannounced_answers_.empty()) {
            co_await wait_on(evidence_added_, monotonic_now() + idle_wait);
        }
        co_await pause_for(batching_delay);
        const std::vector<crash_evidence> evidence = std::exchange(unannounced_, {});
        const std::vector<part_answer> answers = std::exchange(unannounced_answers_, {});
        if (!evidence.empty() || !answers.empty()) {
            const time_point now = monotonic_now();
            wire::HarmReportT report = to_wire(evidence, now);
            add_part_answers(report, answers, now);
            links_.send_to_each(membership_.usable_peers(), make_frame(std::move(report)));
        }
    }
}

asio::awaitable<void> quarantine_exchange::catch_up_loop() {
    co_await pause_for(first_catch_up_delay);
    while (true) {
        const std::vector<std::string>& peers = membership_.usable_peers();
        if (!peers.empty()) {
            const std::size_t which =
                std::uniform_int_distribution<std::size_t>(0, peers.size() - 1)(random_);
            co_await request_evidence(peers[which]);
        }
        co_await pause_for(catch_up_period);
    }
}

asio::awaitable<void> quarantine_exchange::request_evidence(std::string peer) {
    wire::HarmRequestT request;
    request.fingerprint = quarantine_.decisions().fingerprint();
    link_failure why;
    const auto reply =
        co_await links_.call(std::move(peer), make_frame(request), answer_timeout, why);
    if (reply && reply->message.type == wire::Message::HarmReport) {
        hear(*reply->message.AsHarmReport());
    }
}

void quarantine_exchange::hear(const wire::HarmReportT& report) {
    const time_point now = monotonic_now();
    quarantine_.take(from_wire(report, now), "peer", now);
    if (!report.part_answers.empty()) {
        quarantine_.take_answers(part_answers_of(report, now), "peer", now);
    }
}

std::unique_ptr<wire::FrameT> quarantine_exchange::answer(const wire::HarmRequestT& request) const {
    const request_quarantine& own = quarantine_.decisions();
    wire::HarmReportT report;
    if (request.fingerprint != own.fingerprint()) {
        const time_point now = monotonic_now();
        report = to_wire(own.suspicious_evidence(), now);
        add_part_answers(report, own.part_answers(), now);
    }
    return make_reply(std::move(report));
}

} // namespace bamboostream
