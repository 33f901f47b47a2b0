#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace bamboostream {

/// SHA-256 of `bytes` as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view bytes);

/// HMAC-SHA-256 of `bytes` under `secret`, 32 raw bytes.
std::string hmac_sha256(std::string_view secret, std::string_view bytes);

/// Compares in a time that depends on the lengths only, so that response times don't reveal how
/// many leading digits of a guessed secret are right.
bool equal_in_constant_time(std::string_view a, std::string_view b);

/// Encodes `bytes` in URL-safe base64 without padding.
std::string base64url_encode(std::string_view bytes);

/// Decodes URL-safe base64 without padding; an empty string when `text` is not valid.
std::string base64url_decode(std::string_view text);

/// A 64-bit hash (XXH3) that is the same on every instance.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/// A hash of several fields that depends on the boundaries between them.
std::uint64_t stable_hash(std::initializer_list<std::string_view> fields);

/// 128 random bits as 32 hexadecimal digits, from the operating system.
std::string random_id();

/// Generates a version 7 UUID with the timestamp `unix_ms`.
std::string make_uuid_v7(std::int64_t unix_ms);

/// The timestamp of a version 7 UUID in milliseconds, or -1 when `text` isn't one.
std::int64_t uuid_v7_time(std::string_view text);

} // namespace bamboostream
