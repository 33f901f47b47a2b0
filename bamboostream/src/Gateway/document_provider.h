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

/// An encoding of which the first bytes are there.
struct partial_document {
    /// Without its bytes.
    encoded_document encoded;
    std::uint32_t encoded_bytes = 0;
    std::string_view bytes;
};

/// The configuration document that an instance hands on to others, and whom it serves at a time.
///
/// Each version is encoded once for all that ask, whole and as the change of the version before.
/// Others ask for one piece after the other, so that what waits on this instance's links is bounded
/// by those it serves: when whoever asked was sent the whole, again each time that it asked, the
/// links of those that had it were full of answers that came too late, and nobody got on.
///
/// Pure: it sends nothing and reads no clock. The counterpart is `document_fetcher`.
///
/// Example:
/// ```
/// shelf.put(version, text);
/// send(asker, shelf.answer(request, asker, now));
/// ```
class document_provider {
public:
    explicit document_provider(std::size_t most_served) : most_served_(most_served) {}

    /// How many askers an instance with a link of so many Mbit/s serves at once; what it sends to
    /// one round of them keeps the link busy for some 30 ms.
    static std::size_t max_served_for_link(double link_mbps);
    void set_max_served(std::size_t askers) { most_served_ = askers; }

    /// The document in force here has become `document`.
    void set_document(std::int64_t version, std::shared_ptr<const std::string> document);
    /// Keeps what was received, so that it needn't be encoded again.
    void cache_encoding(const encoded_document& received);
    document_piece answer(const document_request& request, const std::string& requester,
                          time_point now);
    /// The same from an encoding that is still being received.
    document_piece answer_from(const partial_document& source, const document_request& request,
                               const std::string& requester, time_point now);

    std::int64_t version() const { return version_; }
    /// Of the document in force; zero when there is none.
    std::uint64_t digest() const { return digest_; }
    const std::shared_ptr<const std::string>& document() const { return document_; }
    /// Encodings made so far.
    std::uint64_t encoded() const { return encoded_; }

private:
    const encoded_document& encoding_for(const document_request& request);
    const encoded_document& encoding(std::uint64_t base_digest, std::string_view base);
    bool may_serve(std::uint32_t encoded_bytes, const std::string& requester, time_point now);
    void note_served(const document_piece& piece, const std::string& requester);

    std::size_t most_served_;
    std::int64_t version_ = 0;
    std::uint64_t digest_ = 0;
    std::shared_ptr<const std::string> document_;
    std::uint64_t previous_digest_ = 0;
    std::shared_ptr<const std::string> previous_;
    /// Of the document in force, by the digest of their base.
    std::map<std::uint64_t, encoded_document> encodings_;
    /// Of the version before, which transfers that are under way still need.
    std::map<std::uint64_t, encoded_document> encodings_before_;
    /// When those that are served asked last.
    std::map<std::string, time_point> served_;
    /// Who has had pieces of the newest version from here, the last first.
    std::deque<std::string> holders_;
    std::uint64_t encoded_ = 0;
};

} // namespace bamboostream
