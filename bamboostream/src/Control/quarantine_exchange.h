#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Limits/quarantine_registry.h"
#include "bamboostream/src/Links/peer_links.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <random>
#include <vector>

namespace bamboostream::wire {
struct HarmReportT;
struct HarmRequestT;
} // namespace bamboostream::wire

namespace bamboostream {

/// Keeps the evidence of all instances against requests that end backend servers the same.
///
/// An instance announces what it finds to all others at once, since the next attempt may arrive at
/// any of them. Besides, once a second it asks a peer, chosen at random, for what it has missed:
/// after a start, a partition or a lost frame. While the fingerprints are equal the answer is
/// empty. Lives on one thread.
///
/// Example: `registry.on_evidence([&](const auto& it) { exchange.note(it); }); exchange.start();`
class quarantine_exchange {
public:
    quarantine_exchange(boost::asio::io_context& context, peer_links& links,
                        membership_service& membership, quarantine_registry& quarantine);

    void start();
    /// Evidence that this instance has found or cleared.
    void note(const crash_evidence& evidence);
    /// Takes what a peer announces or answers.
    void hear(const wire::HarmReportT& report);
    /// What decides of the evidence here, unless the peer that asks has the same.
    std::unique_ptr<wire::FrameT> answer(const wire::HarmRequestT& request) const;

private:
    boost::asio::awaitable<void> announce_loop();
    boost::asio::awaitable<void> catch_up_loop();
    boost::asio::awaitable<void> ask(std::string peer);

    boost::asio::io_context& context_;
    peer_links& links_;
    membership_service& membership_;
    quarantine_registry& quarantine_;
    std::vector<crash_evidence> unannounced_;
    boost::asio::steady_timer due_;
    std::mt19937_64 random_;
};

} // namespace bamboostream
