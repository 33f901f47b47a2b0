#include "bamboostream/src/Forwarding/event_splitter.h"

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

} // namespace

event_order event_splitter::take(std::string& out) {
    std::size_t begin = 0;
    event_order order = event_order::in_order;
    while (true) {
        const std::size_t at = pending_.find(separator, begin);
        if (at == std::string::npos) {
            break;
        }
        const std::size_t end = at + separator.size();
        const std::string_view event(pending_.data() + begin, end - begin);
        const auto id = parse_event_id(event);
        begin = end;
        if (id && last_id_ && *id <= *last_id_) {
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
    return order;
}

} // namespace bamboostream
