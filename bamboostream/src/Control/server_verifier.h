#pragma once

#include "bamboostream/src/Contracts/server_check.h"
#include "bamboostream/src/Core/identities.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace bamboostream {

/// Tells whether the process of a backend server has ended, from the views of several instances.
class server_verifier {
public:
    virtual ~server_verifier() = default;
    /// Returns `ended` only if no instance that was asked finds the process running. Requests that
    /// lose their connections to a server at the same time share one result.
    virtual boost::asio::awaitable<process_state> verify(backend_id server,
                                                         std::string address) = 0;
};

} // namespace bamboostream
