#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Membership/backend_registry.h"

#include <boost/asio/awaitable.hpp>

namespace bamboostream {

/// Permits to send requests to backend servers that name a limit on the requests a second that they
/// take from all instances together. Each permit is for one request.
class rate_permit_source {
public:
    virtual ~rate_permit_source() = default;
    /// The time until a permit may be had, as far as it is known here; zero if it may be had now.
    virtual duration expected_wait(const registered_backend& server, int priority,
                                   time_point now) = 0;
    /// Takes a permit without asking another instance. False if this instance doesn't issue those
    /// of the server, or has none.
    virtual bool take_own(const registered_backend& server, int priority, time_point now) = 0;
    /// Takes a permit from the instance that issues those of the server. False if it has none, or
    /// doesn't answer in time.
    virtual boost::asio::awaitable<bool> acquire(registered_backend server, int priority) = 0;
    /// Counts a request that is sent without a permit because it can't wait for one.
    virtual void record_unpermitted_send(const registered_backend& server, time_point now) = 0;
};

} // namespace bamboostream
