#pragma once

#include "bamboostream/src/Core/failure.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bamboostream {

/// Why an encoded document could not be taken.
enum class document_error : std::uint8_t {
    none,
    /// It is, or says that it unpacks to, more than any deployment needs.
    too_large,
    /// It is a change of another document than the one that is held.
    base_mismatch,
    /// The bytes aren't what their sender encoded.
    corrupt,
};
using document_failure = failure<document_error>;

/// Documents over this size are refused: it holds several times the routes of the largest
/// deployment planned, and two of it fit into the smallest instances.
inline constexpr std::size_t max_document_bytes = 16 * 1024 * 1024;

/// A document as it goes between instances: compressed, whole or as the change of another one.
///
/// Routes grow with customers, while a change is as small as ever. Sent whole, each change keeps
/// the links of small instances busy for as long as all routes together take; what has changed is
/// small whatever else the document holds.
struct encoded_document {
    std::int64_t version = 0;
    /// Of the document, so that who ends with another one notices.
    std::uint64_t digest = 0;
    /// Of the document that this one is a change of; zero when it is whole.
    std::uint64_t base_digest = 0;
    std::uint32_t document_bytes = 0;
    std::shared_ptr<const std::string> bytes;
    /// Names the encoded bytes: two encodings of a document with the same name have the same bytes,
    /// so a transfer may go on at another instance.
    std::uint64_t name = 0;
};

/// The digest of a document.
std::uint64_t digest_of(std::string_view document);

/// Encodes `document`; as a change of `base` unless that is empty.
encoded_document encode_document(std::int64_t version, std::string_view document,
                                 std::string_view base);

/// The document behind `encoded`, given the one that it is a change of.
std::optional<std::string> decode_document(const encoded_document& encoded, std::string_view base,
                                           document_failure& why);

} // namespace bamboostream
