#include "bamboostream/src/Configuration/document_encoding.h"

#include "bamboostream/src/Core/digest.h"

#include <algorithm>
#include <bit>
#include <new>
#include <zstd.h>

namespace bamboostream {

namespace {

/// The fastest level that still finds the long-distance matches in the base of a delta.
constexpr int compression_level = 3;
/// Range of window sizes, as base-2 logarithms, that every decoder accepts.
constexpr int min_window_log = 10;
constexpr int max_window_log = 27;

struct free_compressor {
    void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};
struct free_decompressor {
    void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

/// Base-2 logarithm of a window that covers the document and its base, `bytes` in total.
int window_log(std::size_t bytes) {
    const int needed = static_cast<int>(std::bit_width(bytes));
    return std::clamp(needed, min_window_log, max_window_log);
}

std::string compress(std::string_view text, std::string_view base) {
    const std::unique_ptr<ZSTD_CCtx, free_compressor> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compression_level);
    if (!base.empty()) {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                               window_log(base.size() + text.size()));
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string out(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size =
        ZSTD_compress2(context.get(), out.data(), out.size(), text.data(), text.size());
    if (ZSTD_isError(size) != 0) {
        // The only possible cause is a failed allocation.
        throw std::bad_alloc();
    }
    out.resize(size);
    out.shrink_to_fit();
    return out;
}

} // namespace

std::uint64_t digest_of(std::string_view document) {
    return stable_hash(document);
}

encoded_document encode_document(std::int64_t version, std::string_view document,
                                 std::string_view base) {
    encoded_document out;
    out.version = version;
    out.digest = digest_of(document);
    out.base_digest = base.empty() ? 0 : digest_of(base);
    out.document_bytes = static_cast<std::uint32_t>(document.size());
    out.bytes = std::make_shared<const std::string>(compress(document, base));
    out.name = stable_hash(*out.bytes);
    return out;
}

std::optional<std::string> decode_document(const encoded_document& encoded, std::string_view base,
                                           document_failure& why) {
    const bool is_change = encoded.base_digest != 0;
    if (is_change && digest_of(base) != encoded.base_digest) {
        why.set(document_error::base_mismatch, "the base document differs");
        return std::nullopt;
    }
    const std::string& bytes = *encoded.bytes;
    // Check the size declared in the frame header before allocating memory for it.
    const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
        why.set(document_error::corrupt, "not an encoded document");
        return std::nullopt;
    }
    if (size > max_document_bytes) {
        why.set(document_error::too_large, "the declared size exceeds the limit");
        return std::nullopt;
    }
    const std::unique_ptr<ZSTD_DCtx, free_decompressor> context(ZSTD_createDCtx());
    if (is_change) {
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string out(static_cast<std::size_t>(size), '\0');
    const std::size_t got =
        ZSTD_decompressDCtx(context.get(), out.data(), out.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(got) != 0 || got != out.size() || digest_of(out) != encoded.digest) {
        why.set(document_error::corrupt, "the digest of the document differs");
        return std::nullopt;
    }
    return out;
}

} // namespace bamboostream
