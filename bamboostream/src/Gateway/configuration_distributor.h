#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Gateway/deployment_state.h"
#include "bamboostream/src/Gateway/document_fetcher.h"
#include "bamboostream/src/Gateway/document_provider.h"
#include "bamboostream/src/Links/peer_links.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace bamboostream::wire {
struct DocumentPieceT;
struct DocumentRequestT;
} // namespace bamboostream::wire

namespace bamboostream {

/// Distributes the operator's configuration from instance to instance, so that it comes into force
/// everywhere while only the designated readers ask the store. Lives on one thread.
/// `document_fetcher` and `document_provider` decide what is requested and answered.
class configuration_distributor {
public:
    configuration_distributor(boost::asio::io_context& context, peer_links& links,
                              membership_service& membership, deployment_state& state);

    void start();
    /// The speed of this instance's link limits how many instances it serves at once.
    void set_link_speed(double link_mbps);
    /// While this returns true, the store is being read for a newer version and no peer is asked.
    void set_pause_condition(std::function<bool()> condition) {
        store_read_in_progress_ = std::move(condition);
    }

    /// `announcer` has the version, or relays the announcement of an instance that has it.
    void on_version_announced(const std::string& announcer, std::int64_t version);
    /// Asks a peer for a newer version, because none has been announced for a long time.
    void query_peer(const std::string& peer);
    void on_request(const wire::DocumentRequestT& request, const std::string& sender);
    void on_piece(const wire::DocumentPieceT& piece, const std::string& sender);

    /// Whether a version was announced that the peers don't provide, so that the store must be
    /// read.
    bool must_read_from_store(time_point now);
    /// Whether a newer version is known and its transfer makes progress.
    bool is_fetching(time_point now) const {
        return parsing_ || (fetcher_.knows_newer_version() && !fetcher_.is_stalled(now));
    }
    const document_fetcher& fetcher() const { return fetcher_; }
    const document_provider& provider() const { return provider_; }

private:
    boost::asio::awaitable<void> request_loop();
    /// Takes over the configuration in force here, whichever source it came from.
    void sync_with_state();
    void decode_received(const std::string& sender);
    void on_document_processed(const encoded_document& received, document_result result);

    boost::asio::io_context& context_;
    peer_links& links_;
    membership_service& membership_;
    deployment_state& state_;
    document_provider provider_;
    document_fetcher fetcher_;
    /// A received document is being parsed and will be in force in a moment.
    bool parsing_ = false;
    std::function<bool()> store_read_in_progress_ = [] { return false; };
    boost::asio::steady_timer due_;
};

} // namespace bamboostream
