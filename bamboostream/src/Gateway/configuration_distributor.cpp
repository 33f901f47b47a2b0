#include "bamboostream/src/Gateway/configuration_distributor.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Gateway/document_frames.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Interval at which an instance checks whether a member has a newer version.
constexpr milliseconds poll_period{300};
/// Interval at which an instance that sends no requests, because a version is being read here,
/// checks whether that is over.
constexpr milliseconds paused_poll_period{50};

} // namespace

configuration_distributor::configuration_distributor(asio::io_context& context, peer_links& links,
                                                     membership_service& membership,
                                                     deployment_state& state)
    : context_(context), links_(links), membership_(membership), state_(state),
      provider_(document_provider::max_served_for_link(0.0)),
      fetcher_(stable_hash(membership.own_address())), due_(context) {}

void configuration_distributor::start() {
    asio::co_spawn(context_, request_loop(), log_exception);
}

void configuration_distributor::set_link_speed(double link_mbps) {
    provider_.set_max_served(document_provider::max_served_for_link(link_mbps));
}

void configuration_distributor::sync_with_state() {
    if (state_.version() == provider_.version()) {
        return;
    }
    provider_.set_document(state_.version(), state_.document());
    fetcher_.set_held(provider_.version(), provider_.digest());
}

asio::awaitable<void> configuration_distributor::request_loop() {
    while (true) {
        sync_with_state();
        const time_point now = monotonic_now();
        for (const member_facts& facts : membership_.members().others()) {
            if (facts.state == liveness::live) {
                fetcher_.add_source(facts.id.address, facts.configuration_version, now);
            }
        }
        state_.set_announced_configuration(fetcher_.newest_known());
        const bool paused = parsing_ || store_read_in_progress_();
        if (!paused) {
            if (const auto outgoing_request = fetcher_.next(now)) {
                links_.send(outgoing_request->to, make_frame(to_wire(outgoing_request->request)));
            }
        }
        const time_point due = paused ? now + paused_poll_period : fetcher_.due(now);
        co_await wait_on(due_, std::min(due, now + poll_period));
    }
}

void configuration_distributor::on_version_announced(const std::string& announcer,
                                                     std::int64_t version) {
    sync_with_state();
    const bool knew_newer = fetcher_.knows_newer_version();
    fetcher_.add_source(announcer, version, monotonic_now());
    state_.set_announced_configuration(fetcher_.newest_known());
    if (!knew_newer && fetcher_.knows_newer_version()) {
        due_.cancel();
    }
}

void configuration_distributor::query_peer(const std::string& peer) {
    sync_with_state();
    links_.send(peer,
                make_frame(to_wire(document_request{provider_.version(), provider_.digest()})));
}

void configuration_distributor::on_request(const wire::DocumentRequestT& request,
                                           const std::string& sender) {
    sync_with_state();
    links_.send(sender, make_frame(to_wire(answer_from(provider_, fetcher_, from_wire(request),
                                                       sender, monotonic_now()))));
}

void configuration_distributor::on_piece(const wire::DocumentPieceT& piece,
                                         const std::string& sender) {
    sync_with_state();
    const std::int64_t version = piece.version;
    const piece_result result = fetcher_.take(from_wire(piece), sender, monotonic_now());
    if (result == piece_result::invalid) {
        log_event(events::configuration_piece_dropped, "peer={} version={} reason={}", sender,
                  version, to_string(result));
    }
    if (result == piece_result::complete) {
        decode_received(sender);
    }
    due_.cancel();
}

void configuration_distributor::decode_received(const std::string& sender) {
    const encoded_document& encoded = fetcher_.received();
    const std::string none;
    const std::string& base = encoded.base_digest == 0 ? none : *provider_.document();
    document_failure why;
    auto text = decode_document(encoded, base, why);
    if (!text) {
        log_event(events::configuration_piece_dropped, "peer={} version={} reason={}", sender,
                  encoded.version, why.text);
        fetcher_.request_full_document();
        return;
    }
    log_event(events::configuration_received,
              "peer={} version={} bytes={} encoded_bytes={} change={}", sender, encoded.version,
              text->size(), encoded.bytes->size(), encoded.base_digest != 0);
    parsing_ = true;
    state_.submit_configuration(std::move(*text), sender,
                                [this, received = encoded](document_result result) {
                                    on_document_processed(received, result);
                                });
}

void configuration_distributor::on_document_processed(const encoded_document& received,
                                                      document_result result) {
    parsing_ = false;
    if (result == document_result::rejected) {
        fetcher_.reject(received.version);
    }
    sync_with_state();
    provider_.cache_encoding(received);
    state_.set_announced_configuration(fetcher_.newest_known());
    due_.cancel();
}

bool configuration_distributor::must_read_from_store(time_point now) {
    sync_with_state();
    return !parsing_ && fetcher_.is_stalled(now);
}

} // namespace bamboostream
