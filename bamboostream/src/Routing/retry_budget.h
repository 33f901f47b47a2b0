#pragma once

#include "bamboostream/src/Core/clock.h"

#include <algorithm>

namespace bamboostream {

/// Limits retries to a fraction of first attempts, plus a small allowance so that retries are still
/// possible at low load. Without it, a backend server that fails every request would get two or
/// three times the load when it can handle it least.
///
/// Example: `budget.on_first_try(); … if (budget.try_spend()) retry();`
class retry_budget {
public:
    explicit retry_budget(double share = 0.1, double allowance = 10.0)
        : share_(share), max_tokens_(allowance), tokens_(allowance) {}

    void on_first_try() { tokens_ = std::min(max_tokens_, tokens_ + share_); }
    /// Takes one retry from the budget; false when it is used up.
    bool try_spend() {
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }
    double left() const { return tokens_; }

private:
    double share_;
    double max_tokens_;
    double tokens_;
};

} // namespace bamboostream
