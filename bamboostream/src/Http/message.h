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

/// A request as the handlers see it: whole, with the target split at '?'.
struct http_request {
    std::string method;
    /// The target as it came, for those who pass the request on unchanged.
    std::string target;
    std::string path;
    std::string query;
    std::vector<http_field> fields;
    std::string body;

    /// The value of a header field, names compared without case; empty when absent.
    std::string_view field(std::string_view name) const;
    /// The value of a query parameter, percent-decoded; nothing when absent.
    std::optional<std::string> parameter(std::string_view name) const;
    /// A query parameter as a whole number, or `default_value` when absent or not a number.
    std::int64_t number_parameter(std::string_view name, std::int64_t default_value) const;
};

/// A whole response.
struct http_response {
    int status = 0;
    std::vector<http_field> fields;
    std::string body;

    std::string_view field(std::string_view name) const;
};

/// The parts of a path between slashes, percent-decoded: "/v1/a%20b" gives {"v1", "a b"}.
std::vector<std::string> split_path(std::string_view path);

/// Percent-encodes everything but unreserved characters.
std::string percent_encode(std::string_view text);

/// What can go wrong between two HTTP ends.
enum class http_error : std::uint8_t {
    none,
    /// No connection came about; nothing of the request was sent.
    not_connected,
    /// The connection broke or timed out after the request may have been sent.
    broken,
    /// The other side sent something that is not HTTP, or more than the limit.
    malformed,
};

} // namespace bamboostream
