#include "bamboostream/src/Forwarding/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace bamboostream {

namespace {

constexpr std::string_view separator = "\n\n";

std::optional<std::uint64_t> parse_event_id(std::string_view event) {
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
        return parsed.ec == std::errc{} && parsed.ptr != line.data() ? std::optional(id)
                                                                     : std::nullopt;
    }
    return std::nullopt;
}

/// Whether a block has a line that is neither empty nor a comment.
bool has_field(std::string_view block) {
    while (!block.empty()) {
        const char first = block.front();
        if (first != ':' && first != '\n' && first != '\r') {
            return true;
        }
        block.remove_prefix(std::min(block.find('\n'), block.size() - 1) + 1);
    }
    return false;
}

} // namespace

event_order event_splitter::take(std::string& out) {
    std::size_t begin = 0;
    bytes_without_event_ = 0;
    event_order order = event_order::in_order;
    while (true) {
        const std::size_t at = pending_.find(separator, std::max(begin, searched_));
        if (at == std::string::npos) {
            break;
        }
        const std::size_t end = at + separator.size();
        const std::string_view event(pending_.data() + begin, end - begin);
        const auto id = parse_event_id(event);
        begin = end;
        const bool repeated = id && last_id_ && *id <= *last_id_;
        if (repeated || (!id && !has_field(event))) {
            bytes_without_event_ += event.size();
        }
        if (repeated) {
            continue;
        }
        if (id && last_id_ && *id != *last_id_ + 1) {
            order = event_order::broken;
            break;
        }
        if (id) {
            last_id_ = id;
            ++events_;
        }
        out += event;
    }
    pending_.erase(0, begin);
    searched_ = pending_.empty() ? 0 : pending_.size() - 1;
    taken_bytes_ = begin;
    return order;
}

event_stream_step event_splitter::latest_step() const {
    return {pending_.size(), pending_.capacity(), taken_bytes_ > 0, bytes_without_event_};
}

} // namespace bamboostream
