#pragma once

#include <compare>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace bamboostream {

/// Parses a hexadecimal number of at most 64 bits; nothing when `digits` isn't one.
std::optional<std::uint64_t> parse_hexadecimal(std::string_view digits);

/// Identifies the content of a request: equal for all attempts at it, on all instances, whatever
/// the id of the attempt. The first 128 bits of a SHA-256, so that no caller can construct a
/// request with the digest of another caller's request.
struct request_digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const request_digest&) const = default;
    /// The digest of several fields; it depends on the boundaries between them.
    static request_digest of(std::initializer_list<std::string_view> fields);
    /// 32 hexadecimal digits.
    std::string text() const;
    /// The inverse of `text()`; nothing when `text` isn't 32 hexadecimal digits.
    static std::optional<request_digest> parse(std::string_view text);
};

} // namespace bamboostream
