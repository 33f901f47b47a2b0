#include "bamboostream/src/Gateway/document_provider.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// An encoding of at most this size is sent to every requester: it is no longer than other frames.
constexpr std::size_t small_encoding_bytes = 2 * 1024;
/// A requester that hasn't asked for the next piece within this time has given up or asked another
/// instance.
constexpr milliseconds request_lifetime{300};
/// Number of holders that a busy answer names.
constexpr std::size_t max_holders = 4;
/// Used on a platform that doesn't report link speeds.
constexpr std::size_t default_max_served = 8;
constexpr std::size_t max_served_limit = 32;
constexpr double round_seconds = 0.03;

} // namespace

std::size_t document_provider::max_served_for_link(double link_mbps) {
    if (link_mbps <= 0.0) {
        return default_max_served;
    }
    const double bytes = link_mbps * 1e6 / 8.0 * round_seconds;
    const double pieces = std::min(bytes / piece_bytes, static_cast<double>(max_served_limit));
    return std::max<std::size_t>(1, static_cast<std::size_t>(pieces));
}

void document_provider::set_document(std::int64_t version,
                                     std::shared_ptr<const std::string> document) {
    previous_ = std::move(document_);
    previous_digest_ = digest_;
    version_ = version;
    document_ = std::move(document);
    digest_ = digest_of(*document_);
    previous_encodings_ = std::exchange(encodings_, {});
    holders_.clear();
}

void document_provider::cache_encoding(const encoded_document& received) {
    if (received.digest == digest_ && received.version == version_) {
        encodings_.insert_or_assign(received.base_digest, received);
    }
}

const encoded_document& document_provider::encoding(std::uint64_t base_digest,
                                                    std::string_view base) {
    const auto found = encodings_.find(base_digest);
    if (found != encodings_.end()) {
        return found->second;
    }
    ++encoded_;
    return encodings_.emplace(base_digest, encode_document(version_, *document_, base))
        .first->second;
}

const encoded_document& document_provider::encoding_for(const document_request& request) {
    for (const auto* encodings : {&encodings_, &previous_encodings_}) {
        for (const auto& [base, encoded] : *encodings) {
            if (request.offset > 0 && encoded.name == request.encoding &&
                encoded.version > request.held_version) {
                return encoded;
            }
        }
    }
    const bool is_known = encodings_.contains(request.held_digest);
    if (request.held_digest != 0 && (is_known || request.held_digest == previous_digest_)) {
        return encoding(request.held_digest, previous_ ? *previous_ : std::string_view());
    }
    return encoding(0, {});
}

bool document_provider::may_serve(std::uint32_t encoded_bytes, const std::string& requester,
                                  time_point now) {
    if (encoded_bytes <= small_encoding_bytes) {
        return true;
    }
    std::erase_if(active_requesters_,
                  [&](const auto& it) { return now - it.second > request_lifetime; });
    if (!active_requesters_.contains(requester) && active_requesters_.size() >= max_served_) {
        return false;
    }
    active_requesters_[requester] = now;
    return true;
}

void document_provider::record_served(const document_piece& piece, const std::string& requester) {
    if (piece.offset + piece.bytes.size() == piece.encoded_bytes) {
        active_requesters_.erase(requester);
    }
    if (std::find(holders_.begin(), holders_.end(), requester) == holders_.end()) {
        holders_.push_front(requester);
        holders_.resize(std::min(holders_.size(), max_holders));
    }
}

document_piece document_provider::answer(const document_request& request,
                                         const std::string& requester, time_point now) {
    if (!document_ || version_ <= request.held_version) {
        document_piece out;
        out.version = version_;
        return out;
    }
    const encoded_document& encoded = encoding_for(request);
    const auto size = static_cast<std::uint32_t>(encoded.bytes->size());
    return answer_from({encoded, size, *encoded.bytes}, request, requester, now);
}

document_piece document_provider::answer_from(const partial_document& source,
                                              const document_request& request,
                                              const std::string& requester, time_point now) {
    const encoded_document& encoded = source.encoded;
    document_piece out;
    out.version = encoded.version;
    out.digest = encoded.digest;
    out.base_digest = encoded.base_digest;
    out.document_bytes = encoded.document_bytes;
    out.encoding = encoded.name;
    out.encoded_bytes = source.encoded_bytes;
    const bool continues = request.encoding == encoded.name && request.offset < out.encoded_bytes;
    out.offset = continues ? request.offset : 0;
    if (out.offset >= source.bytes.size() || !may_serve(source.encoded_bytes, requester, now)) {
        out.kind = piece_kind::busy;
        out.holders.assign(holders_.begin(), holders_.end());
        return out;
    }
    out.kind = piece_kind::bytes;
    out.bytes = source.bytes.substr(out.offset, piece_bytes);
    record_served(out, requester);
    return out;
}

} // namespace bamboostream
