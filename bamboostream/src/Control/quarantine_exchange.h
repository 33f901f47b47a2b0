#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Control/trial_service.h"
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

/// Replicates the evidence against requests that end backend servers to all instances.
///
/// An instance announces its findings to all others at once, since the next attempt of a request
/// may arrive at any of them. In addition, once per second it asks a randomly chosen peer for
/// evidence that it has missed because of a start, a partition or a lost frame. The answer is empty
/// while the fingerprints are equal. Used on one thread only.
///
/// Example: `registry.on_evidence([&](const auto& it) { exchange.note(it); }); exchange.start();`
class quarantine_exchange {
public:
    quarantine_exchange(boost::asio::io_context& context, peer_links& links,
                        membership_service& membership, quarantine_registry& quarantine);

    void start();
    /// Queues evidence that this instance has found or cleared for announcement.
    void note(const crash_evidence& evidence);
    /// Queues what this instance knows of an answer to a request with a part of a prompt.
    void note(const part_answer& answer);
    /// Merges evidence announced or returned by a peer.
    void hear(const wire::HarmReportT& report);
    /// Grants trials of held requests.
    trial_service& trials() { return trials_; }
    /// The evidence that is relevant for decisions; empty if the requesting peer has the same.
    std::unique_ptr<wire::FrameT> answer(const wire::HarmRequestT& request) const;

private:
    boost::asio::awaitable<void> announce_loop();
    boost::asio::awaitable<void> catch_up_loop();
    boost::asio::awaitable<void> request_evidence(std::string peer);

    boost::asio::io_context& context_;
    peer_links& links_;
    membership_service& membership_;
    quarantine_registry& quarantine_;
    trial_service trials_;
    std::vector<crash_evidence> unannounced_;
    std::vector<part_answer> unannounced_answers_;
    boost::asio::steady_timer evidence_added_;
    std::mt19937_64 random_;
};

} // namespace bamboostream
