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
    /// True when more than `limit` bytes are buffered that belong to no parsed event.
    bool buffered_more_than(std::size_t limit) const { return buffer_.size() - begin_ > limit; }

private:
    std::string buffer_;
    std::size_t begin_ = 0;
};

} // namespace bamboostream
