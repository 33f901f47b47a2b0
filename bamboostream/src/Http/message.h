#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// One header field.
struct http_field {
    std::string name;
    std::string value;
};

/// A complete request, with the target split at '?'.
struct http_request {
    std::string method;
    /// The target as received, for forwarding it unchanged.
    std::string target;
    std::string path;
    std::string query;
    std::vector<http_field> fields;
    std::string body;

    /// The value of a header field, whose name is compared case-insensitively; empty when absent.
    std::string_view field(std::string_view name) const;
    /// The value of a query parameter, percent-decoded; nothing when absent.
    std::optional<std::string> parameter(std::string_view name) const;
    /// A query parameter as an integer, or `default_value` when absent or not an integer.
    std::int64_t number_parameter(std::string_view name, std::int64_t default_value) const;
};

/// A complete response.
struct http_response {
    int status = 0;
    std::vector<http_field> fields;
    std::string body;

    /// As for a request.
    std::string_view field(std::string_view name) const;
};

/// The parts of a path between slashes, percent-decoded: "/v1/a%20b" gives {"v1", "a b"}.
std::vector<std::string> split_path(std::string_view path);

/// Percent-encodes everything but unreserved characters.
std::string percent_encode(std::string_view text);

/// Why an HTTP exchange failed.
enum class http_error : std::uint8_t {
    none,
    /// No connection was established; nothing of the request was sent.
    not_connected,
    /// The connection broke or timed out after the request may have been sent.
    broken,
    /// The server sent something that is not HTTP, or more than the limit.
    malformed,
};

} // namespace bamboostream
