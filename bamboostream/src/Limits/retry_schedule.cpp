#include "bamboostream/src/Limits/retry_schedule.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// How early a caller may return: its clock and the network are not exact.
constexpr milliseconds early_tolerance{250};
/// How late a caller may return; after that its reservation expires.
constexpr seconds late_tolerance{30};
constexpr milliseconds min_wait{100};
constexpr std::size_t max_reservations = 200'000;

} // namespace

milliseconds retry_schedule::reserve(std::uint64_t id, const std::string& workspace,
                                     duration queue_time, duration service_time, double tokens,
                                     time_point now) {
    const auto known = reservations_.find(id);
    if (known != reservations_.end() && known->second.due > now) {
        return std::chrono::ceil<milliseconds>(known->second.due - now);
    }
    time_point& next = next_due_[workspace];
    const time_point due = std::max(now + std::max<duration>(queue_time, min_wait), next);
    next = due + service_time;
    if (reservations_.size() < max_reservations) {
        reservations_[id] = {due, tokens};
    }
    return std::chrono::ceil<milliseconds>(due - now);
}

bool retry_schedule::redeem(std::uint64_t id, time_point now) {
    const auto found = reservations_.find(id);
    if (found == reservations_.end() || now + early_tolerance < found->second.due) {
        return false;
    }
    reservations_.erase(found);
    return true;
}

double retry_schedule::tokens_due(time_point until) const {
    double sum = 0.0;
    for (const auto& [id, reserved] : reservations_) {
        sum += reserved.due <= until ? reserved.tokens : 0.0;
    }
    return sum;
}

void retry_schedule::expire(time_point now) {
    std::erase_if(reservations_,
                  [now](const auto& item) { return item.second.due + late_tolerance < now; });
    std::erase_if(next_due_,
                  [now](const auto& item) { return item.second + late_tolerance < now; });
}

} // namespace bamboostream
