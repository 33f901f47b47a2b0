// Simulates the requests that a cold backend server gets in any second from all instances together,
// without a network.

#include "bamboostream/Limits"
#include "test/platform/decision_helpers.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>

namespace bamboostream {
namespace {

constexpr cold_start_rules rules{1.5, 5.0};

/// The roles that instances have in their own views.
enum class view_kind : std::uint8_t {
    /// All agree: one owner, one standby, the others are fallbacks.
    agree,
    /// Ownership passes to another instance every four seconds; the previous owner notices a second
    /// later.
    owners_change,
    /// Each is cut off from all others and considers itself the owner.
    all_isolated,
    /// All have just started and see no other instance for a second.
    all_just_started,
    /// No owner: a plain service.
    plain,
};

struct scenario {
    std::string name;
    std::size_t instances;
    double per_second;
    view_kind view;
    /// Minimum average rate of requests that are sent, per second.
    double min_rate;
};

/// Every instance attempts to send to the same cold server a hundred times a second.
class cold_start_simulation {
public:
    explicit cold_start_simulation(const scenario& parameters) : parameters_(parameters) {
        for (std::size_t i = 0; i < parameters.instances; ++i) {
            limits_.emplace_back(random_());
            limits_.back().set_rules(rules);
            if (parameters.view != view_kind::all_just_started) {
                limits_.back().update_instance_count(parameters.instances, start - seconds(30));
            }
        }
    }

    /// Returns the arrival times at the server, sorted.
    std::vector<time_point> run() {
        for (time_point now = start; now < start + seconds(12); now += milliseconds(10)) {
            for (std::size_t i = 0; i < limits_.size(); ++i) {
                try_send(i, now);
            }
        }
        std::sort(arrivals_.begin(), arrivals_.end());
        return arrivals_;
    }

private:
    /// The role that instance `i` has in its own view.
    sender_role viewed_role_of(std::size_t i, time_point now) const {
        const auto turn = static_cast<std::size_t>((now - start) / seconds(4)) * 2;
        const bool previous_owner_active =
            turn > 0 && (now - start) % seconds(4) < milliseconds(1'000);
        const std::size_t count = limits_.size();
        switch (parameters_.view) {
        case view_kind::plain:
            return sender_role::peer;
        case view_kind::agree:
        case view_kind::all_just_started:
            return i == 0   ? sender_role::owner
                   : i == 1 ? sender_role::standby
                            : sender_role::fallback;
        case view_kind::owners_change:
            if (i == turn % count || (previous_owner_active && i == (turn - 2) % count)) {
                return sender_role::owner;
            }
            return i == (turn + 1) % count ? sender_role::standby : sender_role::fallback;
        case view_kind::all_isolated:
            break;
        }
        return sender_role::owner;
    }

    void try_send(std::size_t i, time_point now) {
        cold_start_limit& limit = limits_[i];
        const bool isolated =
            parameters_.view == view_kind::all_isolated ||
            (parameters_.view == view_kind::all_just_started && now - start < seconds(1));
        limit.update_instance_count(isolated ? 1 : parameters_.instances, now);
        const sender_role viewed_role = isolated ? sender_role::owner : viewed_role_of(i, now);
        limit.update_role(service_, viewed_role, now);
        const sender_role role =
            viewed_role == sender_role::peer ? viewed_role : limit.role(service_, now);
        if (limit.may_send(server_, parameters_.per_second, role, now)) {
            limit.record_send(server_, now);
            arrivals_.push_back(now + milliseconds(random_() % 40));
        }
    }

    const scenario& parameters_;
    std::mt19937_64 random_{5};
    std::deque<cold_start_limit> limits_;
    const service_id service_{"s"};
    const backend_id server_{"i-1"};
    std::vector<time_point> arrivals_;
};

std::size_t max_per_second(const std::vector<time_point>& arrivals) {
    std::size_t max_count = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        while (arrivals[i] - arrivals[first] >= seconds(1)) {
            ++first;
        }
        max_count = std::max(max_count, i - first + 1);
    }
    return max_count;
}

class cold_start_scenario : public testing::TestWithParam<scenario> {};

INSTANTIATE_TEST_SUITE_P(
    table, cold_start_scenario,
    testing::Values(scenario{"few", 8, 27.0, view_kind::agree, 20.0},
                    scenario{"grown", 61, 27.0, view_kind::agree, 20.0},
                    scenario{"many", 300, 27.0, view_kind::agree, 20.0},
                    scenario{"two_a_second", 61, 2.0, view_kind::agree, 3.0},
                    scenario{"one_a_second_many", 300, 1.0, view_kind::agree, 2.0},
                    scenario{"owners_change", 61, 27.0, view_kind::owners_change, 8.0},
                    scenario{"owners_change_many", 300, 27.0, view_kind::owners_change, 8.0},
                    scenario{"cut_off", 61, 27.0, view_kind::all_isolated, 0.0},
                    scenario{"cut_off_many", 300, 27.0, view_kind::all_isolated, 0.0},
                    scenario{"new", 61, 27.0, view_kind::all_just_started, 15.0},
                    scenario{"new_many", 300, 5.0, view_kind::all_just_started, 3.0},
                    scenario{"plain_few", 8, 27.0, view_kind::plain, 20.0},
                    scenario{"plain", 61, 27.0, view_kind::plain, 4.0},
                    scenario{"plain_many", 300, 27.0, view_kind::plain, 4.0},
                    scenario{"plain_many_two_a_second", 300, 2.0, view_kind::plain, 0.5}),
    [](const auto& info) { return info.param.name; });

// Every instance finds the same server idle. A cold server that gets more than its rate crashes,
// and all its generations are lost.
TEST_P(cold_start_scenario, no_second_exceeds_the_limit) {
    const scenario& parameters = GetParam();
    const std::vector<time_point> arrivals = cold_start_simulation(parameters).run();
    const double bound = parameters.per_second * rules.factor + rules.slack;
    EXPECT_LE(static_cast<double>(max_per_second(arrivals)), bound);
    EXPECT_GE(static_cast<double>(arrivals.size()) / 12.0, parameters.min_rate);
}

TEST(cold_start_limit_test, without_rules_or_rate_there_is_no_limit) {
    cold_start_limit limit(1);
    const backend_id server("i-1");
    EXPECT_TRUE(limit.may_send(server, 1.0, sender_role::owner, start));
    limit.set_rules(rules);
    EXPECT_TRUE(limit.may_send(server, 0.0, sender_role::owner, start));
    EXPECT_FALSE(limit.may_send(server, 1.0, sender_role::owner, start));
}

// An instance that no longer sees half of the others may be one of several that consider themselves
// the owner.
TEST(cold_start_limit_test, role_is_fallback_after_losing_sight_of_half) {
    cold_start_limit limit(1);
    const service_id service("s");
    const auto role_after = [&](int at_s, std::size_t live) {
        limit.update_instance_count(live, start + seconds(at_s));
        limit.update_role(service, sender_role::owner, start + seconds(at_s));
        return limit.role(service, start + seconds(at_s));
    };
    EXPECT_EQ(role_after(0, 8), sender_role::fallback);
    EXPECT_EQ(role_after(1, 8), sender_role::fallback);
    EXPECT_EQ(role_after(2, 8), sender_role::owner);
    EXPECT_EQ(role_after(3, 5), sender_role::owner);
    EXPECT_EQ(role_after(4, 4), sender_role::fallback);
    // The count has been this low for more than a minute: the others were removed permanently.
    EXPECT_EQ(role_after(70, 4), sender_role::owner);
}

} // namespace
} // namespace bamboostream
