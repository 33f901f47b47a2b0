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
};

/// Returns the target in the request line of a request.
std::string request_target(const std::string& request);

/// Sends a request, reads its answer and reports the outcome to the audit. Closes the connection
/// unless the answer was complete.
boost::asio::awaitable<void> send_audited(http_connection& connection, soak_audit& audit,
                                          soak_request request);

} // namespace bamboostream::test
