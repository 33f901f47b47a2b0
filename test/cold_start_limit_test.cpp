// What a cold backend server gets in any second from all instances together, played without a
// network.

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

/// Who takes itself for what in a play.
enum class views : std::uint8_t {
    /// One owner, one deputy, the others choose for themselves at times.
    agree,
    /// Ownership passes to another instance each four seconds, and the old one goes on for a
    /// second.
    owners_change,
    /// Each is cut off from all others and takes itself for the owner.
    all_cut_off,
    /// All have just started, and know nobody for a second.
    all_new,
    /// No owner: a plain service.
    plain,
};

struct play_row {
    std::string name;
    std::size_t instances;
    double per_second;
    views how;
    /// Least requests a second that get through.
    double least;
};

/// A crowd in which every instance wants the same cold server a hundred times a second.
class cold_crowd {
public:
    explicit cold_crowd(const play_row& row) : row_(row) {
        for (std::size_t i = 0; i < row.instances; ++i) {
            limits_.emplace_back(random_());
            limits_.back().set_rules(rules);
            if (row.how != views::all_new) {
                limits_.back().update_instance_count(row.instances, start - seconds(30));
            }
        }
    }

    /// Arrivals, in order.
    std::vector<time_point> play() {
        for (time_point now = start; now < start + seconds(12); now += milliseconds(10)) {
            for (std::size_t i = 0; i < limits_.size(); ++i) {
                try_send(i, now);
            }
        }
        std::sort(arrivals_.begin(), arrivals_.end());
        return arrivals_;
    }

private:
    /// The role that an instance has by its own view.
    sender_role seen_role(std::size_t i, time_point now) const {
        const auto turn = static_cast<std::size_t>((now - start) / seconds(4)) * 2;
        const bool old_goes_on = turn > 0 && (now - start) % seconds(4) < milliseconds(1'000);
        const std::size_t count = limits_.size();
        switch (row_.how) {
        case views::plain:
            return sender_role::peer;
        case views::agree:
        case views::all_new:
            return i == 0   ? sender_role::owner
                   : i == 1 ? sender_role::standby
                            : sender_role::fallback;
        case views::owners_change:
            if (i == turn % count || (old_goes_on && i == (turn - 2) % count)) {
                return sender_role::owner;
            }
            return i == (turn + 1) % count ? sender_role::standby : sender_role::fallback;
        case views::all_cut_off:
            break;
        }
        return sender_role::owner;
    }

    void try_send(std::size_t i, time_point now) {
        cold_start_limit& limit = limits_[i];
        const bool alone = row_.how == views::all_cut_off ||
                           (row_.how == views::all_new && now - start < seconds(1));
        limit.update_instance_count(alone ? 1 : row_.instances, now);
        const sender_role seen = alone ? sender_role::owner : seen_role(i, now);
        limit.update_role(service_, seen, now);
        const sender_role role = seen == sender_role::peer ? seen : limit.role(service_, now);
        if (limit.may_send(server_, row_.per_second, role, now)) {
            limit.record_send(server_, now);
            arrivals_.push_back(now + milliseconds(random_() % 40));
        }
    }

    const play_row& row_;
    std::mt19937_64 random_{5};
    std::deque<cold_start_limit> limits_;
    const service_id service_{"s"};
    const backend_id server_{"i-1"};
    std::vector<time_point> arrivals_;
};

std::size_t most_in_a_second(const std::vector<time_point>& arrivals) {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        while (arrivals[i] - arrivals[first] >= seconds(1)) {
            ++first;
        }
        most = std::max(most, i - first + 1);
    }
    return most;
}

class cold_start_play : public testing::TestWithParam<play_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, cold_start_play,
    testing::Values(play_row{"few", 8, 27.0, views::agree, 20.0},
                    play_row{"grown", 61, 27.0, views::agree, 20.0},
                    play_row{"many", 300, 27.0, views::agree, 20.0},
                    play_row{"two_a_second", 61, 2.0, views::agree, 3.0},
                    play_row{"one_a_second_many", 300, 1.0, views::agree, 2.0},
                    play_row{"owners_change", 61, 27.0, views::owners_change, 8.0},
                    play_row{"owners_change_many", 300, 27.0, views::owners_change, 8.0},
                    play_row{"cut_off", 61, 27.0, views::all_cut_off, 0.0},
                    play_row{"cut_off_many", 300, 27.0, views::all_cut_off, 0.0},
                    play_row{"new", 61, 27.0, views::all_new, 15.0},
                    play_row{"new_many", 300, 5.0, views::all_new, 3.0},
                    play_row{"plain_few", 8, 27.0, views::plain, 20.0},
                    play_row{"plain", 61, 27.0, views::plain, 4.0},
                    play_row{"plain_many", 300, 27.0, views::plain, 4.0},
                    play_row{"plain_many_two_a_second", 300, 2.0, views::plain, 0.5}),
    [](const auto& info) { return info.param.name; });

// Every instance finds the same server idle. Above its rate a cold server crashes, and all its
// generations with it.
TEST_P(cold_start_play, no_second_has_more_than_the_bound) {
    const play_row& row = GetParam();
    const std::vector<time_point> arrivals = cold_crowd(row).play();
    const double bound = row.per_second * rules.factor + rules.slack;
    EXPECT_LE(static_cast<double>(most_in_a_second(arrivals)), bound);
    EXPECT_GE(static_cast<double>(arrivals.size()) / 12.0, row.least);
}

TEST(cold_start_limit_test, without_rules_or_rate_there_is_no_bound) {
    cold_start_limit limit(1);
    const backend_id server("i-1");
    EXPECT_TRUE(limit.may_send(server, 1.0, sender_role::owner, start));
    limit.set_rules(rules);
    EXPECT_TRUE(limit.may_send(server, 0.0, sender_role::owner, start));
    EXPECT_FALSE(limit.may_send(server, 1.0, sender_role::owner, start));
}

// An instance that loses sight of half of the others may be one of several that take themselves for
// the owner.
TEST(cold_start_limit_test, who_has_lost_sight_of_half_owns_nothing) {
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
    // The others were taken away for good.
    EXPECT_EQ(role_after(70, 4), sender_role::owner);
}

} // namespace
} // namespace bamboostream
