#pragma once

#include "bamboostream/src/Http/event_stream_limits.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboostream {

/// Whether the events of a stream have arrived in order.
enum class event_order : std::uint8_t {
    in_order,
    /// The ids have a gap: an event is missing, and nothing after the gap may be forwarded.
    broken,
};

/// Splits an opaque stream of server-sent events into complete events and checks their ids.
///
/// A backend server that crashes can stop in the middle of an event, and one that resumes a stream
/// can repeat events. The caller must receive no partial, duplicate or missing events. Bytes are
/// therefore forwarded one complete event at a time, duplicates are dropped, and a gap in the ids
/// ends the stream.
///
/// Example: `splitter.append(bytes); splitter.take(out);`
class event_splitter {
public:
    /// `last_id` is the id of the last event that the caller has received.
    explicit event_splitter(std::optional<std::uint64_t> last_id = std::nullopt)
        : last_id_(last_id) {}

    void append(std::string_view bytes) { pending_ += bytes; }
    /// Moves the complete events that may be forwarded to the end of `out`.
    event_order take(std::string& out);
    /// What the latest call of `take` found, for the limits of the stream.
    event_stream_step latest_step() const;
    /// Discards a partial event: a stream that resumes at another server starts with a complete
    /// one.
    void restart() {
        pending_.clear();
        searched_ = 0;
    }
    /// Whether no partial event is buffered.
    bool at_boundary() const { return pending_.empty(); }
    /// Id of the last event forwarded.
    std::optional<std::uint64_t> last_id() const { return last_id_; }
    /// Number of events with an id that were forwarded.
    std::uint64_t events() const { return events_; }

private:
    std::string pending_;
    /// Bytes of `pending_` in which no separator begins.
    std::size_t searched_ = 0;
    /// Of the latest `take`.
    std::size_t taken_bytes_ = 0;
    std::size_t bytes_without_event_ = 0;
    std::optional<std::uint64_t> last_id_;
    std::uint64_t events_ = 0;
};

} // namespace bamboostream
