#include "bamboostream/src/Gateway/configuration_spread.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Gateway/document_frames.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// How often an instance looks whether a member is ahead of it.
constexpr milliseconds look_period{300};
/// How often one that asks nobody for now, because a version is being read here, looks whether that
/// is over.
constexpr milliseconds wait_period{50};

} // namespace

configuration_spread::configuration_spread(asio::io_context& context, link_hub& links,
                                           membership_service& membership, deployment_state& state)
    : context_(context), links_(links), membership_(membership), state_(state),
      shelf_(document_shelf::most_served_over(0.0)), fetch_(stable_hash(membership.own_address())),
      due_(context) {}

void configuration_spread::start() {
    asio::co_spawn(context_, ask_loop(), asio::detached);
}

void configuration_spread::set_link_speed(double megabits_a_second) {
    shelf_.serve_at_most(document_shelf::most_served_over(megabits_a_second));
}

void configuration_spread::follow_state() {
    if (state_.version() == shelf_.version()) {
        return;
    }
    shelf_.put(state_.version(), state_.document());
    fetch_.hold(shelf_.version(), shelf_.digest());
}

asio::awaitable<void> configuration_spread::ask_loop() {
    while (true) {
        follow_state();
        const time_point now = monotonic_now();
        for (const member_facts& facts : membership_.members().others()) {
            if (facts.state == liveness::live) {
                fetch_.hear(facts.id.address, facts.configuration_version, now);
            }
        }
        state_.note_told_configuration(fetch_.newest_known());
        const bool waits = being_read_ || store_is_read_();
        if (!waits) {
            if (const auto question = fetch_.next(now)) {
                links_.send(question->to, make_frame(to_wire(question->request)));
            }
        }
        const time_point due = waits ? now + wait_period : fetch_.due(now);
        co_await wait_on(due_, std::min(due, now + look_period));
    }
}

void configuration_spread::hear_version(const std::string& teller, std::int64_t version) {
    follow_state();
    const bool knew = fetch_.knows_of_newer();
    fetch_.hear(teller, version, monotonic_now());
    state_.note_told_configuration(fetch_.newest_known());
    if (!knew && fetch_.knows_of_newer()) {
        due_.cancel();
    }
}

void configuration_spread::ask_anybody(const std::string& peer) {
    follow_state();
    links_.send(peer, make_frame(to_wire(document_request{shelf_.version(), shelf_.digest()})));
}

void configuration_spread::answer(const wire::DocumentRequestT& request,
                                  const std::string& sender) {
    follow_state();
    links_.send(sender, make_frame(to_wire(answer_from(shelf_, fetch_, from_wire(request), sender,
                                                       monotonic_now()))));
}

void configuration_spread::take(const wire::DocumentPieceT& piece, const std::string& sender) {
    follow_state();
    const std::int64_t version = piece.version;
    const piece_verdict verdict = fetch_.take(from_wire(piece), sender, monotonic_now());
    if (verdict == piece_verdict::unsound) {
        log_event(events::configuration_piece_dropped, "peer={} version={} reason={}", sender,
                  version, to_string(verdict));
    }
    if (verdict == piece_verdict::complete) {
        finish(sender);
    }
    due_.cancel();
}

void configuration_spread::finish(const std::string& sender) {
    const encoded_document& encoded = fetch_.received();
    const std::string none;
    const std::string& base = encoded.base_digest == 0 ? none : *shelf_.document();
    document_failure why;
    auto text = decode_document(encoded, base, why);
    if (!text) {
        log_event(events::configuration_piece_dropped, "peer={} version={} reason={}", sender,
                  encoded.version, why.text);
        fetch_.ask_for_whole();
        return;
    }
    log_event(events::configuration_received,
              "peer={} version={} bytes={} encoded_bytes={} change={}", sender, encoded.version,
              text->size(), encoded.bytes->size(), encoded.base_digest != 0);
    being_read_ = true;
    state_.take_configuration(
        std::move(*text), sender,
        [this, received = encoded](document_verdict verdict) { note_judged(received, verdict); });
}

void configuration_spread::note_judged(const encoded_document& received, document_verdict verdict) {
    being_read_ = false;
    if (verdict == document_verdict::rejected) {
        fetch_.refuse(received.version);
    }
    follow_state();
    shelf_.keep(received);
    state_.note_told_configuration(fetch_.newest_known());
    due_.cancel();
}

bool configuration_spread::must_read_store(time_point now) {
    follow_state();
    return !being_read_ && fetch_.is_stuck(now);
}

} // namespace bamboostream
