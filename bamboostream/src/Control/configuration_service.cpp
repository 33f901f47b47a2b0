#include "bamboostream/src/Control/configuration_service.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {
const std::string stream_name = "configuration";
constexpr milliseconds peer_period{500};
constexpr milliseconds peer_timeout{1'000};
constexpr milliseconds snapshot_check_period{1'000};
constexpr std::size_t max_kept_verdicts = 4'000;
} // namespace

configuration_service::configuration_service(asio::io_context& context, log_service& log,
                                             membership_service& membership, peer_links& links,
                                             timing times)
    : context_(context), log_(log), membership_(membership), links_(links), times_(times),
      document_(std::make_shared<const configuration_document>()) {}

void configuration_service::start() {
    asio::co_spawn(context_, tail_loop(), log_exception);
    asio::co_spawn(context_, peer_loop(), log_exception);
    asio::co_spawn(context_, snapshot_loop(), log_exception);
}

void configuration_service::publish() {
    if (state_.version() == version_.load()) {
        return;
    }
    document_.store(state_.document());
    version_.store(state_.version());
    log_event(events::configuration_in_force, "version={}", state_.version());
    if (listener_) {
        listener_();
    }
}

void configuration_service::apply_page(const log_page& page) {
    state_.note_first_offset(page.first_offset);
    for (const log_record& record : page.records) {
        auto verdict = state_.apply(record);
        if (record.data.starts_with(R"({"kind":"snapshot")")) {
            last_snapshot_seen_ = monotonic_now();
            snapshot_version_ = state_.version();
        }
        if (!verdict) {
            continue;
        }
        if (verdict->outcome == submission_outcome::conflict ||
            verdict->outcome == submission_outcome::invalid) {
            log_event(events::configuration_rejected, "offset={} id={} reasons={}", record.offset,
                      verdict->id, verdict->reasons.size());
        }
        const std::string id = verdict->id;
        const auto waiter = waiting_.find(id);
        if (waiter != waiting_.end()) {
            // A repeated submission gets the verdict of the first one.
            verdicts_.try_emplace(id, std::move(*verdict));
            waiter->second->cancel();
        }
    }
    publish();
}

asio::awaitable<void> configuration_service::tail_loop() {
    while (true) {
        log_failure why;
        const auto page =
            co_await log_.read(stream_name, state_.next_offset(), times_.poll_wait, why);
        if (page) {
            apply_page(*page);
            if (log_is_down_) {
                log_event(events::log_available, "stream={}", stream_name);
            }
            log_is_down_ = false;
            continue;
        }
        if (!log_is_down_) {
            log_event(events::log_unavailable, "stream={} reason={}", stream_name, why.text);
        }
        log_is_down_ = true;
        co_await pause_for(times_.retry_pause);
    }
}

asio::awaitable<bool> configuration_service::ask_peer() {
    // Ask the peer with the newest announced version; any live peer will do while records are
    // missing here.
    std::string best;
    std::int64_t newest = state_.is_complete() ? state_.version() : -1;
    for (const member_facts& peer : membership_.members().others()) {
        if (peer.state == liveness::live && peer.configuration_version > newest) {
            newest = peer.configuration_version;
            best = peer.id.address;
        }
    }
    if (best.empty()) {
        co_return false;
    }
    wire::ConfigurationRequestT request;
    request.newer_than = state_.is_complete() ? state_.version() : -1;
    link_failure why;
    const auto reply = co_await links_.call(best, make_frame(request), peer_timeout, why);
    if (!reply || reply->message.type != wire::Message::ConfigurationReply) {
        co_return false;
    }
    co_return state_.adopt(reply->message.AsConfigurationReply()->state);
}

asio::awaitable<void> configuration_service::peer_loop() {
    while (true) {
        co_await pause_for(peer_period);
        if (log_is_down_ || !state_.is_complete()) {
            const bool newer = co_await ask_peer();
            if (newer) {
                publish();
            }
        }
    }
}

std::unique_ptr<wire::FrameT>
configuration_service::handle_request(const wire::ConfigurationRequestT& request) {
    wire::ConfigurationReplyT reply;
    reply.version = state_.version();
    if (state_.is_complete() && state_.version() > request.newer_than) {
        reply.state = state_.serialize();
    }
    return make_reply(std::move(reply));
}

asio::awaitable<void> configuration_service::snapshot_loop() {
    last_snapshot_seen_ = monotonic_now();
    while (true) {
        co_await pause_for(snapshot_check_period);
        const auto owners = membership_.owners("role:configuration-snapshot", 1);
        const bool is_owner = !owners.empty() && owners.front() == membership_.own_address();
        const bool due = monotonic_now() - last_snapshot_seen_ >= times_.snapshot_period;
        if (!is_owner || !due || log_is_down_ || !state_.is_complete() || state_.version() == 0) {
            continue;
        }
        log_failure why;
        co_await log_.append(stream_name, state_.snapshot_record(), why);
        last_snapshot_seen_ = monotonic_now();
    }
}

asio::awaitable<submission_verdict>
configuration_service::submit(configuration_submission submission) {
    const std::string id = submission.id;
    auto arrived = std::make_shared<asio::steady_timer>(context_);
    waiting_[id] = arrived;
    const time_point until = monotonic_now() + times_.submit_timeout;
    submission_verdict verdict;
    verdict.id = id;
    log_failure why;
    const auto offset =
        co_await log_.append(stream_name, configuration_state::submission_record(submission), why);
    if (!offset && why.code == log_error::not_appended) {
        waiting_.erase(id);
        verdict.reasons.push_back("the log took no record: " + why.text);
        verdict.outcome = submission_outcome::undecided;
        co_return verdict;
    }
    // Whether or not the append was acknowledged, only reading the record back decides.
    while (!verdicts_.contains(id) && monotonic_now() < until) {
        co_await wait_on(*arrived, until);
    }
    waiting_.erase(id);
    const auto found = verdicts_.find(id);
    if (found == verdicts_.end()) {
        verdict.reasons.emplace_back("the record has not been read back in time");
        co_return verdict;
    }
    verdict = found->second;
    if (verdicts_.size() > max_kept_verdicts) {
        verdicts_.clear();
    }
    co_return verdict;
}

} // namespace bamboostream
