#pragma once

#include "bamboostream/src/Configuration/document_encoding.h"
#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Gateway/document_provider.h"
#include "bamboostream/src/Gateway/document_transfer.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bamboostream {

/// How long a question for a piece waits before another instance is asked; longer after each
/// question in a row that brought nothing. A piece that comes later is taken all the same.
inline constexpr milliseconds piece_timeout{150};
/// When no instance has answered for so long, the store is read as well.
inline constexpr milliseconds peer_answer_timeout{250};
/// When no piece came for so long, although instances answer that they serve others.
inline constexpr milliseconds max_time_without_piece{1'200};

/// What became of a piece.
enum class piece_result : std::uint8_t {
    /// Taken; more are needed.
    taken,
    /// The last one: the encoding is whole.
    complete,
    /// Of a transfer that isn't under way, or had before: asked for twice and came twice.
    not_needed,
    /// Behind a part that is missing.
    out_of_order,
    /// Of a document that is larger than any, or doesn't keep to what its first piece said.
    invalid,
    /// The sender had no bytes to give now.
    none,
    count_,
};

/// The name of a verdict in metrics.
std::string_view to_string(piece_result verdict);

namespace internal {
/// An instance that has a version, or will have it in a moment.
struct document_source {
    std::string address;
    std::int64_t version = 0;
    /// Not to be asked before.
    time_point again_at{};
    /// Answers in a row that brought nothing.
    int in_vain = 0;
};

/// What has come of one encoding.
struct partial_transfer {
    encoded_document encoded;
    std::uint32_t encoded_bytes = 0;
    std::string got;
    std::string from;
};
} // namespace internal

/// How an instance gets a newer document from others: whom it asks for which piece, and when.
///
/// One question is under way at a time, so one transfer is. It goes on where it stopped, also at
/// another instance, for as long as pieces come: a transfer with a time limit for the whole begins
/// anew each time on a link that needs longer, and the version never comes into force there.
/// Whoever was asked too early, or serves others, is asked again a little later; meanwhile the
/// others that are known to have the version are.
///
/// Pure: it sends nothing and reads no clock. The counterpart is `document_provider`.
///
/// Example:
/// ```
/// fetch.hear(teller, version, now);
/// if (const auto question = fetch.next(now)) send(question->to, question->request);
/// ```
class document_fetcher {
public:
    struct outgoing_request {
        std::string to;
        document_request request;
    };
    using piece_counts = std::array<std::uint64_t, static_cast<std::size_t>(piece_result::count_)>;

    explicit document_fetcher(std::uint64_t seed) : random_(seed) {}

    /// This instance has the document with that digest, from wherever.
    void set_held(std::int64_t version, std::uint64_t digest);
    /// `source` has a version or will have it in a moment.
    void add_source(const std::string& source, std::int64_t version, time_point now);
    /// Whom to ask now; nothing while an answer is awaited or there is nothing to ask for.
    std::optional<outgoing_request> next(time_point now);
    /// When to call `next` again; never while nothing newer is known.
    time_point due(time_point now) const;
    /// Takes what `sender` sent, however late. After `complete` the encoding is in `received`.
    piece_result take(document_piece piece, const std::string& sender, time_point now);
    const encoded_document& received() const { return received_; }
    /// The received encoding could not be decoded: the whole document is asked for.
    void request_full_document();
    /// This instance can't use that version, so it isn't asked for again.
    void reject(std::int64_t version);
    /// A newer version is known of and the instances that were asked bring nothing.
    bool is_stalled(time_point now) const;
    bool knows_of_newer() const { return newest_known_ > held_version_; }
    /// The newest version that was told of.
    std::int64_t newest_known() const { return newest_known_; }
    /// What has come of a transfer that helps whoever sent the request; nothing when none does.
    std::optional<partial_document> partial_for(const document_request& request) const;
    /// Where the newer version is to be had.
    std::vector<std::string> sources() const;
    const piece_counts& pieces() const { return verdicts_; }

private:
    using source = internal::document_source;

    source* find(const std::string& address);
    source* choose(time_point now);
    void put_off(const std::string& address, milliseconds pause, time_point now);
    void note_silence(time_point now);
    piece_result judge(document_piece& piece, const std::string& sender, time_point now);
    bool begin(const document_piece& piece, const std::string& sender, time_point now);
    piece_result add(document_piece& piece, const std::string& sender, time_point now);
    bool is_sound(const document_piece& piece) const;

    std::mt19937_64 random_;
    std::int64_t held_version_ = 0;
    std::uint64_t held_digest_ = 0;
    std::int64_t refused_version_ = 0;
    bool whole_wanted_ = false;
    std::int64_t newest_known_ = 0;
    time_point known_since_{};
    std::vector<source> sources_;
    std::optional<internal::partial_transfer> transfer_;
    encoded_document received_;
    /// Who was asked and hasn't answered, and until when that is waited for.
    std::string asked_;
    time_point asked_until_{};
    /// Questions in a row that brought nothing in time.
    int silent_ = 0;
    time_point answered_at_{};
    time_point progressed_at_{};
    piece_counts verdicts_{};
};

/// What an instance answers to `requester`. One that doesn't have the version yet but fetches it
/// says so, with where it is to be had: the asker then neither takes it for dead nor goes to the
/// store.
document_piece answer_from(document_provider& shelf, const document_fetcher& fetch,
                           const document_request& request, const std::string& requester,
                           time_point now);

} // namespace bamboostream
