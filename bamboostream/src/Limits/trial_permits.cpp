#include "bamboostream/src/Limits/trial_permits.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// Time within which evidence found by one instance is known to the others.
constexpr milliseconds propagation_time{20};

} // namespace

bool trial_permits::acquire(const request_digest& request, std::string_view holder, duration lease,
                            time_point now) {
    std::erase_if(permits_, [now](const auto& it) { return it.second.until <= now; });
    return permits_.try_emplace(request, permit{std::string(holder), now + lease}).second;
}

void trial_permits::release(const request_digest& request, std::string_view holder,
                            time_point now) {
    const auto found = permits_.find(request);
    if (found != permits_.end() && found->second.holder == holder) {
        found->second.until = std::min(found->second.until, now + propagation_time);
    }
}

} // namespace bamboostream
