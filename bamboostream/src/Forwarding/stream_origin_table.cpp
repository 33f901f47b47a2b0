#include "bamboostream/src/Forwarding/stream_origin_table.h"

#include <algorithm>

namespace bamboostream {

void stream_origin_table::record(const request_digest& stream, const stream_origin& origin,
                                 time_point until) {
    const auto found = entries_.find(stream);
    if (found != entries_.end()) {
        found->second.until = std::max(found->second.until, until);
        found->second.ambiguous = found->second.ambiguous || found->second.origin != origin;
    } else if (!origin.version.empty() && entries_.size() < max_size) {
        entries_.emplace(stream, entry{origin, until});
    }
}

std::optional<stream_origin_table::entry> stream_origin_table::find(const request_digest& stream,
                                                                    time_point now) const {
    const auto found = entries_.find(stream);
    if (found == entries_.end() || found->second.ambiguous || found->second.until <= now) {
        return std::nullopt;
    }
    return found->second;
}

void stream_origin_table::expire(time_point now) {
    std::erase_if(entries_, [now](const auto& item) { return item.second.until <= now; });
}

} // namespace bamboostream
