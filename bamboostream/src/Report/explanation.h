#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// One line of a program's log, parsed from either the text or the JSON format.
struct log_line {
    /// The log that contains the line, for example a file name.
    std::string source;
    std::int64_t time_ms = 0;
    int event = 0;
    std::string level;
    std::string name;
    std::string detail;

    /// Returns the value of `key=` in the detail; empty when the key is absent.
    std::string_view field(std::string_view key) const;
};

/// Parses a log line; nullopt when the text is not one.
std::optional<log_line> parse_log_line(std::string_view text, std::string_view source);

/// Returns the log lines, sorted by time, that explain the result of a request:
///  - the lines of the request itself;
///  - lines about the backend servers it was sent to, and lines about the state of the instances
///  that
///    handled it (store, configuration, shutdown), from 5 s before its first line to 1 s after its
///    last one;
///  - the lines of the other requests with which its caller asked for the same stream;
///  - when a line of the request names its digest: lines about servers that crashed while running
///    requests with this digest, and about the quarantine and release of such requests.
///
/// An event about a backend server that several instances logged is returned once. `request` is the
/// id of a request, or a digest.
std::vector<log_line> explain_request(std::string_view request, std::span<const log_line> lines);

} // namespace bamboostream
