#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboostream {

/// What became of the bytes of a stream so far.
enum class event_order : std::uint8_t {
    in_order,
    /// An event is missing or its id can't be read; nothing after it may be passed on.
    broken,
};

/// Cuts an opaque stream of server-sent events into whole events and checks their order by id.
///
/// A backend server that dies can stop in the middle of an event, and one that takes a stream up
/// can repeat events. A caller must get neither half events nor repeated or missing ones, so bytes
/// are passed on event by event, those already passed are dropped, and a gap ends the stream.
///
/// Example: `splitter.append(bytes); splitter.take(out);`
class event_splitter {
public:
    /// `last_id` is the last event that the caller has.
    explicit event_splitter(std::optional<std::uint64_t> last_id = std::nullopt)
        : last_id_(last_id) {}

    void append(std::string_view bytes) { pending_ += bytes; }
    /// Appends the whole events that may be passed on to `out`.
    event_order take(std::string& out);
    /// Forgets a half event; a stream that goes on at another server begins with a whole one.
    void restart() { pending_.clear(); }
    /// True when no part of an event waits.
    bool at_boundary() const { return pending_.empty(); }
    std::optional<std::uint64_t> last_id() const { return last_id_; }
    std::uint64_t events() const { return events_; }

private:
    std::string pending_;
    std::optional<std::uint64_t> last_id_;
    std::uint64_t events_ = 0;
};

} // namespace bamboostream
