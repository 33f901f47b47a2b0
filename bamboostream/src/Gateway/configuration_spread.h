#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Gateway/deployment_state.h"
#include "bamboostream/src/Gateway/document_fetch.h"
#include "bamboostream/src/Gateway/document_shelf.h"
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

/// Hands the operator's configuration on from instance to instance, so that it comes into force
/// everywhere while only those that read for all ask the store. Lives on one thread. What is asked
/// and answered is decided by `document_fetch` and `document_shelf`.
class configuration_spread {
public:
    configuration_spread(boost::asio::io_context& context, peer_links& links,
                         membership_service& membership, deployment_state& state);

    void start();
    /// The speed of this instance's link bounds how many it serves at once.
    void set_link_speed(double megabits_a_second);
    /// While the store is being read for a newer version no other source is asked.
    void pause_while(std::function<bool()> store_is_read) {
        store_is_read_ = std::move(store_is_read);
    }

    /// `teller` has a version, or passes on the word of one that has.
    void hear_version(const std::string& teller, std::int64_t version);
    /// Asks somebody whether there is something newer, because nobody has told for long.
    void ask_anybody(const std::string& peer);
    void answer(const wire::DocumentRequestT& request, const std::string& sender);
    void take(const wire::DocumentPieceT& piece, const std::string& sender);

    /// The others don't hand on a version that was told of: the store must be read.
    bool must_read_store(time_point now);
    /// A newer version is known of and comes.
    bool is_receiving(time_point now) const {
        return being_read_ || (fetch_.knows_of_newer() && !fetch_.is_stuck(now));
    }
    const document_fetch& fetch() const { return fetch_; }
    const document_shelf& shelf() const { return shelf_; }

private:
    boost::asio::awaitable<void> ask_loop();
    /// Notices what has come into force here, from wherever.
    void follow_state();
    void finish(const std::string& sender);
    void note_judged(const encoded_document& received, document_verdict verdict);

    boost::asio::io_context& context_;
    peer_links& links_;
    membership_service& membership_;
    deployment_state& state_;
    document_shelf shelf_;
    document_fetch fetch_;
    /// What was received is being read; it will be in force in a moment.
    bool being_read_ = false;
    std::function<bool()> store_is_read_ = [] { return false; };
    boost::asio::steady_timer due_;
};

} // namespace bamboostream
