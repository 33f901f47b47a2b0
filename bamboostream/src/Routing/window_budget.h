#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace bamboostream {

/// Limit on the retries of a service in a sliding window, over all instances together.
struct window_budget_rules {
    /// Retries allowed for each request.
    double ratio = 0.1;
    /// Retries allowed in addition.
    double slack = 10.0;
    milliseconds window{10'000};
};

/// This instance's share of a retry budget that all instances have in common.
///
/// When backend servers fail, all instances retry at the same time, and their retries reach the
/// same few servers. An instance knows neither the requests nor the retries of the others, so it
/// may use the ratio of its own requests plus its share of the slack, less a margin for instances
/// that have just joined or left. Not thread-safe.
///
/// Example: `budget.on_request(s, now); … if (budget.try_spend(s, live, now)) retry();`
class window_budget {
public:
    explicit window_budget(window_budget_rules rules) : rules_(rules) {}

    /// Applies new rules from the next decision on; retries already spent still count.
    void set_rules(window_budget_rules rules) { rules_ = rules; }
    void on_request(const service_id& service, time_point now);
    /// Takes one retry from the budget; false when it is used up. `instances` is the number of live
    /// instances, this one included.
    bool try_spend(const service_id& service, std::size_t instances, time_point now);
    /// Counts a retry that is made regardless of the budget.
    void spend(const service_id& service, time_point now);

private:
    struct account {
        std::deque<time_point> requests;
        std::deque<time_point> spent;
    };
    void expire(account& a, time_point now) const;

    window_budget_rules rules_;
    std::unordered_map<service_id, account> accounts_;
};

} // namespace bamboostream
