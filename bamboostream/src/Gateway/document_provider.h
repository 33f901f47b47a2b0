#pragma once

#include "bamboostream/src/Configuration/document_encoding.h"
#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Gateway/document_transfer.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bamboostream {

/// The first bytes of an encoding.
struct partial_document {
    /// Its `bytes` are not set.
    encoded_document encoded;
    std::uint32_t encoded_bytes = 0;
    std::string_view bytes;
};

/// The configuration document that an instance provides to others. Limits how many it serves at
/// once.
///
/// Each version is encoded once for all requesters, whole and as a delta to the previous version.
/// Requesters ask for one piece after another, so that the data queued on this instance's links is
/// bounded by the number of those it serves: when every request was answered with the whole
/// document, the links of the instances that had it were full of answers that came too late, and no
/// transfer made progress.
///
/// Pure: it sends nothing and reads no clock. The counterpart is `document_fetcher`.
///
/// Example:
/// ```
/// provider.set_document(version, text);
/// send(requester, provider.answer(request, requester, now));
/// ```
class document_provider {
public:
    explicit document_provider(std::size_t max_served) : max_served_(max_served) {}

    /// How many requesters an instance with a link of this speed serves at once. Sending one piece
    /// to each of them keeps the link busy for about 30 ms.
    static std::size_t max_served_for_link(double link_mbps);
    void set_max_served(std::size_t requesters) { max_served_ = requesters; }

    /// Sets the document that is in force here.
    void set_document(std::int64_t version, std::shared_ptr<const std::string> document);
    /// Keeps a received encoding, so that it needn't be made again.
    void cache_encoding(const encoded_document& received);
    document_piece answer(const document_request& request, const std::string& requester,
                          time_point now);
    /// Answers from an encoding that is still being received.
    document_piece answer_from(const partial_document& source, const document_request& request,
                               const std::string& requester, time_point now);

    std::int64_t version() const { return version_; }
    /// The digest of the document in force; zero when there is none.
    std::uint64_t digest() const { return digest_; }
    const std::shared_ptr<const std::string>& document() const { return document_; }
    /// Number of encodings made so far.
    std::uint64_t encoded() const { return encoded_; }

private:
    const encoded_document& encoding_for(const document_request& request);
    const encoded_document& encoding(std::uint64_t base_digest, std::string_view base);
    bool may_serve(std::uint32_t encoded_bytes, const std::string& requester, time_point now);
    void record_served(const document_piece& piece, const std::string& requester);

    std::size_t max_served_;
    std::int64_t version_ = 0;
    std::uint64_t digest_ = 0;
    std::shared_ptr<const std::string> document_;
    std::uint64_t previous_digest_ = 0;
    std::shared_ptr<const std::string> previous_;
    /// Encodings of the document in force, by the digest of their base.
    std::map<std::uint64_t, encoded_document> encodings_;
    /// Encodings of the previous version, which transfers in progress still need.
    std::map<std::uint64_t, encoded_document> previous_encodings_;
    /// The time of the last request of each requester that is being served.
    std::map<std::string, time_point> active_requesters_;
    /// Instances that have received pieces of the newest version from here, the most recent first.
    std::deque<std::string> holders_;
    std::uint64_t encoded_ = 0;
};

} // namespace bamboostream
