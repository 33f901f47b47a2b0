#pragma once

#include <string>
#include <string_view>

namespace bamboostream {

/// Splits a byte stream into server-sent events: `append` bytes as they come, then call `next`
/// until it returns false. Holds at most one event beyond what was taken out.
///
/// Example: `while (reader.next(event)) { use(event.data); }`
class sse_parser {
public:
    /// One event; the views last until the next call of `append` or `next`.
    struct event {
        std::string_view type;
        std::string_view id;
        std::string_view data;
        /// The event was a comment line only (a heartbeat).
        bool comment_only = false;
    };

    /// The buffer into which the next bytes of the stream are appended.
    std::string& buffer();
    /// Takes the next whole event out.
    bool next(event& out);
    /// True when more than `limit` bytes wait without the end of an event.
    bool buffered_more_than(std::size_t limit) const { return buffer_.size() - begin_ > limit; }

private:
    std::string buffer_;
    std::size_t begin_ = 0;
};

} // namespace bamboostream
