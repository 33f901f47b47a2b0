#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace bamboostream {

/// How many further sends a service bears in a sliding window, over all instances together.
struct window_budget_rules {
    /// Further sends allowed for each request.
    double ratio = 0.1;
    /// Further sends allowed besides.
    double slack = 10.0;
    milliseconds window{10'000};
};

/// The share of one instance in a retry budget that all instances have together.
///
/// When backend servers fail, every instance wants to send again at the same time, and the sends of
/// all of them reach the same few servers. An instance knows neither the others' requests nor their
/// further sends, so it spends the ratio of its own requests and its part of the slack, less a
/// margin for instances that have just come or gone.
///
/// Example: `budget.on_request(s, now); … if (budget.try_spend(s, live, now)) send_again();`
class window_budget {
public:
    explicit window_budget(window_budget_rules rules) : rules_(rules) {}

    /// New rules count from the next decision on; what was spent stays spent.
    void set_rules(window_budget_rules rules) { rules_ = rules; }
    void on_request(const service_id& service, time_point now);
    /// Takes one further send out of the budget; false when it is used up. `instances` counts the
    /// live ones, this one included.
    bool try_spend(const service_id& service, std::size_t instances, time_point now);
    /// Counts a further send that must be made whatever the budget says.
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
