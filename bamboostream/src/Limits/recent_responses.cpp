#include "bamboostream/src/Limits/recent_responses.h"

namespace bamboostream {

namespace {

constexpr std::size_t entry_count = 1'024;
/// Longer than servers take to restart. After this time a crash counts as evidence again, so that a
/// request which crashes new server software is detected although an older version answered it.
constexpr seconds retention{10};

} // namespace

void recent_responses::record(const request_digest& request, time_point now) {
    entries_.resize(entry_count);
    entries_[request.low % entry_count] = {request, now};
}

bool recent_responses::contains(const request_digest& request, time_point now) const {
    if (entries_.empty()) {
        return false;
    }
    const entry& known = entries_[request.low % entry_count];
    return known.request == request && now - known.at <= retention;
}

} // namespace bamboostream
