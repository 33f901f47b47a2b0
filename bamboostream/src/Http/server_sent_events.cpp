#include "bamboostream/src/Http/server_sent_events.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// Sets `value` to the part after "name:" and one optional space; false when the line has another
/// name.
bool parse_field(std::string_view line, std::string_view name, std::string_view& value) {
    if (line.substr(0, name.size()) != name || line.size() <= name.size() ||
        line[name.size()] != ':') {
        return false;
    }
    value = line.substr(name.size() + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    return true;
}

} // namespace

std::string& sse_parser::buffer() {
    if (begin_ > 0) {
        buffer_.erase(0, begin_);
        begin_ = 0;
    }
    return buffer_;
}

bool sse_parser::next(event& out) {
    const std::string_view all = std::string_view(buffer_).substr(begin_);
    const std::size_t end = all.find("\n\n");
    if (end == std::string_view::npos) {
        return false;
    }
    out = event{};
    out.comment_only = true;
    std::string_view block = all.substr(0, end);
    begin_ += end + 2;
    while (!block.empty()) {
        const std::size_t line_end = std::min(block.find('\n'), block.size());
        std::string_view line = block.substr(0, line_end);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        const bool known = parse_field(line, "data", out.data) ||
                           parse_field(line, "event", out.type) || parse_field(line, "id", out.id);
        out.comment_only = out.comment_only && !known;
        block = block.substr(std::min(line_end + 1, block.size()));
    }
    return true;
}

} // namespace bamboostream
