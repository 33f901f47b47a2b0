#pragma once

#include "bamboostream/src/Contracts/server_check.h"
#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Control/quarantine_exchange.h"
#include "bamboostream/src/Limits/quarantine_registry.h"
#include "bamboostream/src/Links/link.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace bamboostream {

/// A run of a request whose connection to its backend server broke.
struct lost_attempt {
    request_digest request;
    std::string workspace;
    backend_id server;
    /// The server's start stamp when the request was sent; zero when it wasn't known.
    wall_time start_stamp = 0;
    /// The server had begun to answer.
    bool answering = false;
};

/// Refuses requests that end the backend servers which run them, in an instance that serves the
/// product's own interface. Lives on the control thread.
///
/// Guarantees: all instances that can reach each other refuse the same requests, an instance that
/// has just started within a second. What is held is not kept beyond the end of all instances.
///
/// Example: `if (quarantine.any() && quarantine.holds(digest)) refuse();`
class quarantine_service {
public:
    quarantine_service(boost::asio::io_context& context, link_hub& links,
                       membership_service& membership);

    void start();
    /// Whether there is any evidence: while there is none, no request needs a digest.
    bool any() const { return registry_.any(); }
    bool holds(const request_digest& request) const { return registry_.holds(request); }
    /// How much longer a held request is refused.
    milliseconds held_for(const request_digest& request) const;
    /// The start stamp of a backend server, as far as it is known; zero otherwise.
    wall_time start_stamp_of(const backend_id& server) const;
    /// Whether an answer to a request of so many bytes is worth its digest.
    bool wants_answer(std::size_t request_bytes) const {
        return registry_.wants_answer(request_bytes);
    }
    /// A backend server has run the request and survived.
    void note_answer(const request_digest& request);
    /// Finds out whether the server has ended, which speaks against the request unless the server
    /// was known to leave. As long as `server_check::check` takes.
    boost::asio::awaitable<void> examine(lost_attempt run);

    void hear(const wire::HarmReportT& report) { exchange_.hear(report); }
    std::unique_ptr<wire::FrameT> answer(const wire::HarmRequestT& request) const;
    const request_quarantine& decisions() const { return registry_.decisions(); }
    /// Backend servers found ended by this instance.
    std::uint64_t ended_servers() const { return checks_.ended_servers(); }

private:
    boost::asio::awaitable<void> expiry_loop();

    boost::asio::io_context& context_;
    membership_service& membership_;
    quarantine_registry registry_;
    server_check checks_;
    quarantine_exchange exchange_;
};

} // namespace bamboostream
