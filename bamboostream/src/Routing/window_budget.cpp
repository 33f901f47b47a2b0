#include "bamboostream/src/Routing/window_budget.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// Fraction of the budget that is used at most: when instances join, the count of live instances
/// lags by seconds, and each instance overestimates its share.
constexpr double usable_fraction = 0.6;

void drop_older(std::deque<time_point>& times, time_point than) {
    while (!times.empty() && times.front() < than) {
        times.pop_front();
    }
}

} // namespace

void window_budget::expire(account& a, time_point now) const {
    drop_older(a.requests, now - rules_.window);
    drop_older(a.spent, now - rules_.window);
}

void window_budget::on_request(const service_id& service, time_point now) {
    account& a = accounts_[service];
    expire(a, now);
    a.requests.push_back(now);
}

bool window_budget::try_spend(const service_id& service, std::size_t instances, time_point now) {
    account& a = accounts_[service];
    expire(a, now);
    const double share = rules_.slack / static_cast<double>(std::max<std::size_t>(instances, 1));
    const double allowed =
        usable_fraction * (rules_.ratio * static_cast<double>(a.requests.size()) + share);
    if (static_cast<double>(a.spent.size()) + 1.0 > allowed) {
        return false;
    }
    a.spent.push_back(now);
    return true;
}

void window_budget::spend(const service_id& service, time_point now) {
    account& a = accounts_[service];
    expire(a, now);
    a.spent.push_back(now);
}

} // namespace bamboostream
