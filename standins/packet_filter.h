#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bamboostream::standins {

/// Which packets of a sender a TCP socket discards.
enum class discarded_packets : std::uint8_t {
    /// All of them, as in a network partition.
    all,
    /// Those that open a connection. Existing connections work.
    connection_requests,
};

/// Lets a TCP socket discard packets from the IPv4 addresses in `sources` without an answer; with
/// no sources, none. A listening socket passes its filter on to the connections that it accepts.
/// False if the system refuses the filter or an address is malformed.
bool discard_packets(int socket, const std::vector<std::string>& sources, discarded_packets which);

} // namespace bamboostream::standins
