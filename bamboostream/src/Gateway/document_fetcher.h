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

/// Time after which an unanswered request for a piece is sent to another instance. It grows with
/// each timeout in a row. A piece that arrives later is still accepted.
inline constexpr milliseconds piece_timeout{150};
/// When no instance has answered for this long, the store is read as well.
inline constexpr milliseconds peer_answer_timeout{250};
/// When no piece has arrived for this long, although instances answer that they are busy serving
/// others, the store is read as well.
inline constexpr milliseconds max_time_without_piece{1'200};

/// The result of processing a piece.
enum class piece_result : std::uint8_t {
    /// Accepted; more pieces are needed.
    taken,
    /// The last piece: the encoding is complete.
    complete,
    /// The piece belongs to no transfer in progress, or is a duplicate because it was requested
    /// twice.
    not_needed,
    /// The piece follows a part that is missing.
    out_of_order,
    /// The document exceeds the maximum size, or the piece contradicts the first piece of its
    /// transfer.
    invalid,
    /// The sender had no bytes to send now.
    none,
    count_,
};

/// The name of a result in metrics.
std::string_view to_string(piece_result result);

namespace internal {
/// An instance that has a version or is about to receive it.
struct document_source {
    std::string address;
    std::int64_t version = 0;
    /// Not asked before this time.
    time_point retry_at{};
    /// Number of answers in a row without a usable piece.
    int failed_requests = 0;
};

/// The part of an encoding that has been received.
struct partial_transfer {
    encoded_document encoded;
    std::uint32_t encoded_bytes = 0;
    std::string received_bytes;
    std::string from;
};
} // namespace internal

/// Decides how an instance gets a newer document from others: which instance it asks for which
/// piece, and when.
///
/// One request is outstanding at a time, so there is one transfer at a time. It continues where it
/// stopped, also at another instance, for as long as pieces arrive: with a time limit for the whole
/// transfer, an instance whose link needs longer would start over each time, and the version would
/// never come into force there. An instance that had nothing yet or was busy is asked again a
/// little later; meanwhile the other known sources of the version are asked.
///
/// Pure: it sends nothing and reads no clock. The counterpart is `document_provider`.
///
/// Example:
/// ```
/// fetcher.add_source(announcer, version, now);
/// if (const auto next = fetcher.next(now)) send(next->to, next->request);
/// ```
class document_fetcher {
public:
    /// A request and the address of the instance to send it to.
    struct outgoing_request {
        std::string to;
        document_request request;
    };
    /// Number of received pieces by their result.
    using piece_counts = std::array<std::uint64_t, static_cast<std::size_t>(piece_result::count_)>;

    explicit document_fetcher(std::uint64_t seed) : random_(seed) {}

    /// Sets the document that this instance has, whichever source it came from.
    void set_held(std::int64_t version, std::uint64_t digest);
    /// Adds an instance that has a version or is about to receive it.
    void add_source(const std::string& source, std::int64_t version, time_point now);
    /// Returns the next request to send. Returns nothing while an answer is awaited or there is
    /// nothing to ask for.
    std::optional<outgoing_request> next(time_point now);
    /// The time at which to call `next` again; `time_point::max()` while no newer version is known.
    time_point due(time_point now) const;
    /// Processes a piece from `sender`, however late it arrives. After `complete` the encoding is
    /// in `received`.
    piece_result take(document_piece piece, const std::string& sender, time_point now);
    const encoded_document& received() const { return received_; }
    /// Requests the whole document, because the received encoding could not be decoded.
    void request_full_document();
    /// Marks a version that this instance can't use, so that it isn't requested again.
    void reject(std::int64_t version);
    /// Whether a newer version is known but the instances that were asked provide nothing.
    bool is_stalled(time_point now) const;
    bool knows_newer_version() const { return newest_known_ > held_version_; }
    /// The newest version that was announced.
    std::int64_t newest_known() const { return newest_known_; }
    /// Returns the received part of a transfer that the sender of the request can use, if there is
    /// one.
    std::optional<partial_document> partial_for(const document_request& request) const;
    /// The instances that have the newer version or are receiving it.
    std::vector<std::string> sources() const;
    const piece_counts& pieces() const { return piece_counts_; }

private:
    using source = internal::document_source;

    source* find_source(const std::string& address);
    source* choose_source(time_point now);
    void postpone(const std::string& address, milliseconds pause, time_point now);
    void on_timeout(time_point now);
    piece_result process_piece(document_piece& piece, const std::string& sender, time_point now);
    bool begin_transfer(const document_piece& piece, const std::string& sender, time_point now);
    piece_result append_piece(document_piece& piece, const std::string& sender, time_point now);
    bool is_valid(const document_piece& piece) const;

    std::mt19937_64 random_;
    std::int64_t held_version_ = 0;
    std::uint64_t held_digest_ = 0;
    std::int64_t rejected_version_ = 0;
    bool full_document_wanted_ = false;
    std::int64_t newest_known_ = 0;
    time_point known_since_{};
    std::vector<source> sources_;
    std::optional<internal::partial_transfer> transfer_;
    encoded_document received_;
    /// The instance whose answer is awaited, and until when.
    std::string awaited_peer_;
    time_point awaited_until_{};
    /// Number of requests in a row that timed out.
    int timeouts_ = 0;
    time_point last_answer_at_{};
    time_point last_progress_at_{};
    piece_counts piece_counts_{};
};

/// The answer of this instance to `requester`. An instance that is still fetching the version says
/// so and names its sources: the requester then neither takes it for dead nor reads the store.
document_piece answer_from(document_provider& provider, const document_fetcher& fetcher,
                           const document_request& request, const std::string& requester,
                           time_point now);

} // namespace bamboostream
