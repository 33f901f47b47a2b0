#pragma once

#include "bamboostream/src/Contracts/server_check.h"
#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Control/quarantine_exchange.h"
#include "bamboostream/src/Control/server_state_exchange.h"
#include "bamboostream/src/Limits/quarantine_registry.h"
#include "bamboostream/src/Links/peer_links.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bamboostream {

/// An attempt of a request whose connection to its backend server broke.
struct lost_attempt {
    request_digest request;
    std::string workspace;
    backend_id server;
    /// The server's start stamp when the request was sent; zero if unknown.
    wall_time start_stamp = 0;
    /// The server had begun to respond.
    bool answering = false;
    bool on_trial = false;
    /// Differs between the callers' attempts, not between the tries of one.
    std::string attempt_id;
};

/// Quarantines requests that end the backend servers which run them, for instances that serve the
/// product's own interface. Runs on the control thread.
///
/// All instances that can reach each other refuse the same requests; an instance that has just
/// started does so within a second. The quarantine is not persistent: it is lost when all instances
/// stop.
///
/// Example: `if (co_await quarantine.await_trial(digest, deadline) == trial_result::refused) …`
class quarantine_service {
public:
    quarantine_service(boost::asio::io_context& context, peer_links& links,
                       membership_service& membership);

    void start();
    /// True if there is any evidence. While there is none, digests need not be computed.
    bool any() const { return registry_.any(); }
    quarantine_verdict verdict(const request_digest& request) const {
        return registry_.verdict(request);
    }
    /// How much longer a quarantined request is refused: until its trial is due, if it has one.
    milliseconds held_for(const request_digest& request) const;
    /// Waits until a held or suspected request is released or may be sent as its trial; see
    /// `await_trial`.
    boost::asio::awaitable<trial_result> await_trial(request_digest request, time_point deadline);
    void end_trial(const request_digest& request) { exchange_.trials().release(request); }
    /// The start stamp of a backend server; zero if unknown.
    wall_time start_stamp_of(const backend_id& server) const;
    /// Whether a response to a request of this size is worth computing its digest.
    bool wants_answer(std::size_t request_bytes) const {
        return registry_.wants_answer(request_bytes);
    }
    /// Records that a backend server has run the request without ending.
    void note_answer(const request_digest& request);
    /// Verifies with other instances whether the server has ended and, unless it was known to be
    /// leaving, records that as evidence against the request. Takes as long as
    /// `server_verifier::verify`.
    boost::asio::awaitable<void> examine(lost_attempt run);

    void hear(const wire::HarmReportT& report) { exchange_.hear(report); }
    std::unique_ptr<wire::FrameT> answer(const wire::HarmRequestT& request) const;
    std::unique_ptr<wire::FrameT> answer(const wire::TrialRequestT& request,
                                         std::string_view sender);
    boost::asio::awaitable<std::unique_ptr<wire::FrameT>>
    answer(const wire::ServerCheckRequestT& request) {
        return server_states_.answer(request);
    }
    const request_quarantine& decisions() const { return registry_.decisions(); }
    /// Number of backend servers that this instance found ended.
    std::uint64_t ended_servers() const { return checks_.ended_servers(); }

private:
    boost::asio::awaitable<void> expiry_loop();

    boost::asio::io_context& context_;
    membership_service& membership_;
    quarantine_registry registry_;
    server_check checks_;
    server_state_exchange server_states_;
    quarantine_exchange exchange_;
};

} // namespace bamboostream
