#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/failure.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Http/message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace bamboostream {

/// Why a call to a plain service returned no response.
enum class service_error : std::uint8_t {
    none,
    /// The call did not run: no byte was sent, or the service reported that it had not run it.
    not_run,
    /// The call may have run.
    outcome_unknown,
};
using service_failure = failure<service_error>;

/// A call of one operation of a plain service, which is a backend server other than an engine.
struct service_call {
    std::string service;
    std::string operation;
    std::string key;
    std::string workspace;
    std::string body;
};

/// The response of a plain service.
struct service_response {
    int status = 0;
    std::string body;
    bool leaving = false;
    wall_time start_stamp = 0;
};

/// Sends the call once and waits for its response; nothing, with the reason in `why`, on failure.
boost::asio::awaitable<std::optional<service_response>>
call_service(boost::asio::any_io_executor executor, backend_id backend, const service_call& call,
             milliseconds timeout, service_failure& why);

/// Header field ("true") by which a backend server reports that it did not run the request.
inline constexpr std::string_view not_run_field = "Not-Run";

} // namespace bamboostream
