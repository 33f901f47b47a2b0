#pragma once

#include "bamboostream/Http"
#include "test/platform/soak_audit.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace bamboostream::test {

constexpr int events_per_stream = 6;

/// A request of one of the soak test's callers.
struct soak_request {
    std::string id;
    std::string path;
    bool stream = false;
    /// If the request takes up a stream: the request that brought its first event, and the number
    /// of events that the caller has.
    std::string resumes{};
    int events = 0;
    /// A part of its prompt that crashes servers, in hexadecimal; empty if it has none.
    std::string harmful_part{};

    /// The request that brought the first event.
    const std::string& stream_id() const { return resumes.empty() ? id : resumes; }
};

/// Returns the target in the request line of a request.
std::string request_target(const std::string& request);

/// The part of a stream that a request brought.
struct received_stream {
    int events = 0;
    bool complete = false;
    /// Zero if there was no response.
    int status = 0;
    /// The software version that wrote the last event.
    std::string version{};
};

/// Sends a request, reads its answer and reports the outcome to the audit. Closes the connection
/// unless the answer was complete.
boost::asio::awaitable<received_stream> send_audited(http_connection& connection, soak_audit& audit,
                                                     soak_request request);

} // namespace bamboostream::test
