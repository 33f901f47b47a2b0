#pragma once

#include "bamboostream/Http"
#include "test/platform/soak_audit.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace bamboostream::test {

constexpr int events_a_stream = 6;

/// One request of the soak's callers.
struct soak_request {
    std::string id;
    std::string path;
    bool stream = false;
};

/// The target in the first line of a request.
std::string path_of(const std::string& request);

/// Sends a request, reads its answer and tells the audit what came. The channel is closed unless
/// the answer was whole.
boost::asio::awaitable<void> send_audited(http_connection& connection, soak_audit& audit,
                                          soak_request request);

} // namespace bamboostream::test
