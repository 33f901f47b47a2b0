#pragma once

#include "bamboostream/src/Core/failure.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bamboostream {

/// Why an encoded document was rejected.
enum class document_error : std::uint8_t {
    none,
    /// Its declared decompressed size exceeds `max_document_bytes`.
    too_large,
    /// It is a delta, and its base is not the given document.
    base_mismatch,
    /// The bytes are not what the sender encoded.
    corrupt,
};
using document_failure = failure<document_error>;

/// Maximum size of a document. It has room for several times the routes of the largest planned
/// deployment, and two documents of this size fit into the memory of the smallest instances.
inline constexpr std::size_t max_document_bytes = 16 * 1024 * 1024;

/// A compressed document for transfer between instances, either complete or as a delta to a base.
///
/// The routes grow with the number of customers, while a single change stays small. Sending the
/// complete document for each change would occupy the links of small instances for as long as all
/// routes take; the size of a delta does not depend on the rest of the document.
struct encoded_document {
    std::int64_t version = 0;
    /// Digest of the decoded document, to detect a wrong result.
    std::uint64_t digest = 0;
    /// Digest of the base document of a delta; zero for a complete document.
    std::uint64_t base_digest = 0;
    /// Size of the decoded document.
    std::uint32_t document_bytes = 0;
    std::shared_ptr<const std::string> bytes;
    /// Hash of the encoded bytes. Encodings with the same name have the same bytes, so a transfer
    /// can be continued from another instance.
    std::uint64_t name = 0;
};

/// The digest of a document.
std::uint64_t digest_of(std::string_view document);

/// Encodes `document` as a delta to `base`, or completely if `base` is empty.
encoded_document encode_document(std::int64_t version, std::string_view document,
                                 std::string_view base);

/// Decodes `encoded`; a delta needs its base document. Returns nothing and sets `why` on failure.
std::optional<std::string> decode_document(const encoded_document& encoded, std::string_view base,
                                           document_failure& why);

} // namespace bamboostream
