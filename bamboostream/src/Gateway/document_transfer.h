#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bamboostream {

/// Maximum size of a piece of a document that is sent at once. On 10 Mbit/s it takes 13 ms, so a
/// probe or a request that is queued behind it isn't late.
inline constexpr std::size_t piece_bytes = 16 * 1024;

/// Asks another instance for a piece of a newer document.
struct document_request {
    std::int64_t held_version = 0;
    /// Digest of the document that the requester has; zero when it requests the whole document.
    std::uint64_t held_digest = 0;
    /// The encoding of which the requester has the first `offset` bytes; zero when it has none.
    std::uint64_t encoding = 0;
    std::uint32_t offset = 0;
};

/// The kind of an answer to a request.
enum class piece_kind : std::uint8_t {
    bytes,
    /// The sender has nothing newer, or doesn't have it yet.
    nothing_newer,
    /// The sender already serves as many others as its link allows.
    busy,
};

/// A part of an encoded document, or the reason why none is sent.
struct document_piece {
    piece_kind kind = piece_kind::nothing_newer;
    std::int64_t version = 0;
    std::uint64_t digest = 0;
    std::uint64_t base_digest = 0;
    std::uint32_t document_bytes = 0;
    std::uint64_t encoding = 0;
    std::uint32_t encoded_bytes = 0;
    std::uint32_t offset = 0;
    std::string bytes;
    /// Set by a busy sender: instances that have the version or are receiving it, and pass on what
    /// they have.
    std::vector<std::string> holders;
};

} // namespace bamboostream
