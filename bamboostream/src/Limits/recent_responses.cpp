#include "bamboostream/src/Limits/recent_responses.h"

#include <algorithm>

namespace bamboostream {

namespace {

constexpr std::size_t entry_count = 1'024;
/// Longer than servers take to restart. After this time a crash counts as evidence again, so that a
/// request which crashes new server software is detected although an older version answered it.
constexpr seconds retention{10};
constexpr std::chrono::minutes long_retention{30};
/// Bounds the time for which a request that is no longer sent keeps its entry.
constexpr std::size_t max_responses = 16;

} // namespace

void recent_responses::record(const request_digest& request, time_point now) {
    entries_.resize(entry_count);
    entry& place = entries_[request.low % entry_count];
    if (place.responses > 0 && place.request != request) {
        --place.responses;
        if (place.responses > 0) {
            return;
        }
    }
    place.responses = place.request == request ? std::min(place.responses + 1, max_responses) : 1;
    place.request = request;
    place.at = now;
}

bool recent_responses::recorded_within(duration time, const request_digest& request,
                                       time_point now) const {
    if (entries_.empty()) {
        return false;
    }
    const entry& known = entries_[request.low % entry_count];
    return known.responses > 0 && known.request == request && now - known.at <= time;
}

std::optional<time_point> recent_responses::latest(const request_digest& request,
                                                   time_point now) const {
    if (!answered_before(request, now)) {
        return std::nullopt;
    }
    return entries_[request.low % entry_count].at;
}

bool recent_responses::contains(const request_digest& request, time_point now) const {
    return recorded_within(retention, request, now);
}

bool recent_responses::answered_before(const request_digest& request, time_point now) const {
    return recorded_within(long_retention, request, now);
}

} // namespace bamboostream
