#pragma once

#include "bamboostream/src/Contracts/server_check.h"
#include "bamboostream/src/Core/identities.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
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
    /// Calls `listener` if it is found later that the process has ended. To be used right after
    /// `verify` has returned `unknown`: while no server can be reached, a crash can't be told from
    /// a broken network. Has no effect if the server refused no connection.
    virtual void await_end(const backend_id& server, std::function<void()> listener) = 0;
    /// Reports that a server has responded to this instance, which shows that its network works. An
    /// established connection alone doesn't: a device on the path may accept and reset it.
    virtual void note_reached(const backend_id& server) = 0;
};

} // namespace bamboostream
