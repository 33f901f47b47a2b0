#pragma once

#include <cstdint>
#include <string_view>

namespace bamboostream {

/// What another instance answered when it was asked for a tunnel to a backend server.
enum class carrier_answer : std::uint8_t {
    connected,
    /// The backend server's machine refused the connection.
    refused,
    /// The backend server didn't answer the instance in time.
    no_answer,
    /// The instance can't reach the backend server, though others do.
    cut_off,
    /// The instance is shutting down or carries as many tunnels as it can.
    busy,
    /// No valid reply arrived in time.
    no_reply,
    /// The backend server has announced that it leaves, as the instance knows.
    leaving,
    count_,
};

/// Name of an answer in metrics and log lines.
std::string_view to_string(carrier_answer answer);

} // namespace bamboostream
