#pragma once

#include <string>
#include <string_view>

namespace bamboostream {

/// Incremental parser of a server-sent event stream: append bytes to `buffer()` as they arrive,
/// then call `next` until it returns false.
///
/// Example: `while (parser.next(event)) { use(event.data); }`
class sse_parser {
public:
    /// One event. The views are valid until the next call of `buffer`.
    struct event {
        std::string_view type;
        std::string_view id;
        std::string_view data;
        /// The block had no known field, as in a heartbeat that is only a comment line.
        bool comment_only = false;
    };

    /// The buffer to which the next bytes of the stream must be appended. Discards parsed events.
    std::string& buffer();
    /// Parses the next complete event; false when there is none yet.
    bool next(event& out);
    /// Bytes that belong to no parsed event, and the memory that the buffer takes.
    std::size_t buffered() const { return buffer_.size() - begin_; }
    std::size_t capacity() const { return buffer_.capacity(); }

private:
    std::string buffer_;
    std::size_t begin_ = 0;
};

} // namespace bamboostream
