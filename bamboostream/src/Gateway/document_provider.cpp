#include "bamboostream/src/Gateway/document_provider.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// An encoding of so few bytes is sent to whoever asks: it is no longer than other frames.
constexpr std::size_t small_encoding = 2 * 1024;
/// Who hasn't asked for the next piece by then has given up or gone elsewhere.
constexpr milliseconds served_for{300};
/// Names of holders that a busy answer gives.
constexpr std::size_t most_holders = 4;
/// On a platform that doesn't tell how fast links are.
constexpr std::size_t usual_served = 8;
constexpr std::size_t most_ever_served = 32;
constexpr double round_seconds = 0.03;

} // namespace

std::size_t document_provider::max_served_for_link(double link_mbps) {
    if (link_mbps <= 0.0) {
        return usual_served;
    }
    const double bytes = link_mbps * 1e6 / 8.0 * round_seconds;
    const double pieces = std::min(bytes / piece_bytes, static_cast<double>(most_ever_served));
    return std::max<std::size_t>(1, static_cast<std::size_t>(pieces));
}

void document_provider::set_document(std::int64_t version,
                                     std::shared_ptr<const std::string> document) {
    previous_ = std::move(document_);
    previous_digest_ = digest_;
    version_ = version;
    document_ = std::move(document);
    digest_ = digest_of(*document_);
    encodings_before_ = std::exchange(encodings_, {});
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
    for (const auto* encodings : {&encodings_, &encodings_before_}) {
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
    if (encoded_bytes <= small_encoding) {
        return true;
    }
    std::erase_if(served_, [&](const auto& it) { return now - it.second > served_for; });
    if (!served_.contains(requester) && served_.size() >= most_served_) {
        return false;
    }
    served_[requester] = now;
    return true;
}

void document_provider::note_served(const document_piece& piece, const std::string& requester) {
    if (piece.offset + piece.bytes.size() == piece.encoded_bytes) {
        served_.erase(requester);
    }
    if (std::find(holders_.begin(), holders_.end(), requester) == holders_.end()) {
        holders_.push_front(requester);
        holders_.resize(std::min(holders_.size(), most_holders));
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
    const bool goes_on = request.encoding == encoded.name && request.offset < out.encoded_bytes;
    out.offset = goes_on ? request.offset : 0;
    if (out.offset >= source.bytes.size() || !may_serve(source.encoded_bytes, requester, now)) {
        out.kind = piece_kind::busy;
        out.holders.assign(holders_.begin(), holders_.end());
        return out;
    }
    out.kind = piece_kind::bytes;
    out.bytes = source.bytes.substr(out.offset, piece_bytes);
    note_served(out, requester);
    return out;
}

} // namespace bamboostream
