// Simulates, without a network, the requests that a backend server gets from all instances while it
// names a limit, and how much of the limit is used.

#include "bamboostream/Limits"
#include "test/platform/decision_helpers.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <random>

namespace bamboostream {
namespace {

constexpr milliseconds step{5};
constexpr milliseconds window{4'000};
constexpr double allowed_factor = 1.5;
constexpr double allowed_slack = 5.0;
constexpr double min_used = 0.8;
constexpr seconds length{40};
/// How long an instance goes on asking, or acting as, an owner that is no longer one.
constexpr milliseconds view_lag{1'000};

enum class view_kind : std::uint8_t {
    agree,
    /// The owner is killed every 5 s; the others ask it in vain until they know, and the standby
    /// meanwhile.
    owners_killed,
    /// As `owners_killed`, but an instance takes over that was not the standby.
    owners_replaced,
    /// Every 5 s another instance takes over; for a second, half of the others ask the old one.
    owners_change,
    /// The instances are cut off from each other in two halves, each with an owner, for 10 s.
    halves,
    /// As `halves`, but all instances notice the cut after a second, and half of them its end.
    halves_late,
    /// One instance in eight is cut off from the others, for 10 s.
    some_cut_off,
    /// Half of the instances end after 5 s and stay away.
    half_lost,
    /// Half of the instances reach only the standby, for 10 s.
    owner_unreachable,
};

enum class demand_kind : std::uint8_t { spread, one_instance, moving };

struct permit_scenario {
    std::string name;
    std::size_t instances;
    double per_second;
    view_kind view = view_kind::agree;
    demand_kind demand = demand_kind::spread;
    /// Attempts at the server a second, as a multiple of the limit.
    double demand_factor = 6.0;
    /// Whether it is known of instances that are killed or lost that they have ended.
    bool ends_known = false;
    /// Whether each instance tells its issuer its role once a second, not only when it is asked.
    bool roles_noted = false;
    /// Time between changes of the owner.
    milliseconds period{5'000};
    /// How long instances are cut off from each other, or from the owner.
    seconds cut{10};
    friend void PrintTo(const permit_scenario& row, std::ostream* out) { *out << row.name; }
};

/// An issuer that an instance asks, and the role in which that one acts.
struct asked_issuer {
    std::size_t instance;
    issuer_role role;
};

class permit_simulation {
public:
    explicit permit_simulation(const permit_scenario& parameters)
        : parameters_(parameters), issuers_(parameters.instances),
          ask_again_at_(parameters.instances) {
        for (permit_issuer& issuer : issuers_) {
            issuer.update_instance_count(parameters.instances, start - seconds(10));
        }
    }

    std::vector<time_point> run() {
        const double per_step = std::max(parameters_.per_second, 1.0) * parameters_.demand_factor *
                                to_milliseconds(step) / 1'000.0;
        double due = 0.0;
        for (time_point now = start; now < start + length; now += step) {
            for (std::size_t i = 0; i < issuers_.size(); ++i) {
                issuers_[i].update_instance_count(seen_by(i, now), ended(now), now);
            }
            if (parameters_.roles_noted && (now - start) % seconds(1) < step) {
                note_roles(now);
            }
            for (due += per_step; due >= 1.0; due -= 1.0) {
                try_send(sender(now), now);
            }
        }
        return arrivals_;
    }

private:
    seconds phase(time_point now) const { return std::chrono::duration_cast<seconds>(now - start); }
    bool disturbed(time_point now) const {
        return phase(now) >= seconds(5) && phase(now) < seconds(5) + parameters_.cut;
    }
    bool is_half_gone(time_point now) const {
        return parameters_.view == view_kind::half_lost && phase(now) >= seconds(5);
    }
    bool is_killed_kind() const {
        return parameters_.view == view_kind::owners_killed ||
               parameters_.view == view_kind::owners_replaced;
    }
    std::size_t ended(time_point now) const {
        if (!parameters_.ends_known) {
            return 0;
        }
        return is_half_gone(now)  ? issuers_.size() / 2
               : is_killed_kind() ? turn(std::max(now - view_lag, start))
                                  : 0;
    }
    std::size_t turn(time_point now) const {
        return static_cast<std::size_t>((now - start) / parameters_.period);
    }
    void note_roles(time_point now) {
        const bool killed = is_killed_kind();
        const std::size_t all = issuers_.size();
        const std::size_t known = turn(std::max(now - view_lag, start));
        for (std::size_t i = 0; i < all; ++i) {
            const bool new_owner = !killed && i == turn(now) % all;
            const issuer_role role = new_owner || i == known % all      ? issuer_role::owner
                                     : killed && i == standby_in(known) ? issuer_role::standby
                                                                        : issuer_role::none;
            issuers_[i].check({server_, parameters_.per_second, role, 0}, now);
        }
    }
    /// The standby of the owner of a turn.
    std::size_t standby_in(std::size_t turn) const {
        const std::size_t all = issuers_.size();
        return (turn + 1 + (parameters_.view == view_kind::owners_replaced ? all / 2 : 0)) % all;
    }

    std::size_t seen_by(std::size_t i, time_point now) const {
        const std::size_t all = issuers_.size();
        const bool late = parameters_.view == view_kind::halves_late && disturbed(now - view_lag);
        if (disturbed(now) && (parameters_.view == view_kind::halves || late)) {
            return i < all / 2 ? all / 2 : all - all / 2;
        }
        if (parameters_.view == view_kind::some_cut_off && disturbed(now)) {
            return i < all / 8 ? all / 8 : all - all / 8;
        }
        if (is_half_gone(now)) {
            return all - all / 2;
        }
        return all;
    }

    /// Those that instance `i` asks in turn, without those that don't answer.
    std::vector<asked_issuer> asked_by(std::size_t i, time_point now) const {
        const std::size_t all = issuers_.size();
        const std::size_t turn = this->turn(now);
        const bool just_changed = turn > 0 && (now - start) % parameters_.period < view_lag;
        switch (parameters_.view) {
        case view_kind::owners_killed:
        case view_kind::owners_replaced:
            if (just_changed) {
                return {{standby_in(turn - 1), issuer_role::standby}};
            }
            return {{turn % all, issuer_role::owner}};
        case view_kind::owners_change:
            if (just_changed && i % 2 == 0) {
                return {{(turn - 1) % all, issuer_role::owner}};
            }
            return {{turn % all, issuer_role::owner}};
        case view_kind::halves:
            return {{disturbed(now) && i >= all / 2 ? all / 2 : 0, issuer_role::owner}};
        case view_kind::halves_late:
            if (i >= all / 2 && disturbed(now) && !disturbed(now - view_lag)) {
                return {{all - 1, issuer_role::standby}};
            }
            return {{i >= all / 2 && disturbed(now - view_lag) ? all / 2 : 0, issuer_role::owner}};
        case view_kind::some_cut_off:
            return {{disturbed(now) && i < all / 8 ? 0 : all / 8, issuer_role::owner}};
        case view_kind::half_lost:
            return {{is_half_gone(now) ? all - 1 : 0, issuer_role::owner}};
        case view_kind::owner_unreachable:
            if (disturbed(now) && i % 2 == 0) {
                return {{1, issuer_role::standby}};
            }
            return {{0, issuer_role::owner}};
        case view_kind::agree:
            break;
        }
        return {{0, issuer_role::owner}};
    }

    std::size_t sender(time_point now) {
        const std::size_t all = issuers_.size();
        if (parameters_.demand == demand_kind::one_instance) {
            return all - 1;
        }
        if (parameters_.demand == demand_kind::moving) {
            return static_cast<std::size_t>(phase(now).count()) * 7 % all;
        }
        const std::size_t first = is_half_gone(now) ? all / 2 : 0;
        return std::uniform_int_distribution<std::size_t>(first, all - 1)(random_);
    }

    void try_send(std::size_t i, time_point now) {
        if (now < ask_again_at_[i]) {
            return;
        }
        for (const asked_issuer& asked : asked_by(i, now)) {
            const permit_decision decision = issuers_[asked.instance].issue(
                {server_, parameters_.per_second, asked.role, 0}, now);
            if (decision.granted) {
                arrivals_.push_back(now + milliseconds(random_() % 40));
                return;
            }
            ask_again_at_[i] = now + decision.wait;
        }
    }

    const permit_scenario& parameters_;
    std::mt19937_64 random_{5};
    std::vector<permit_issuer> issuers_;
    std::vector<time_point> ask_again_at_;
    const backend_id server_{"i-1"};
    std::vector<time_point> arrivals_;
};

std::size_t max_in_window(std::vector<time_point> arrivals) {
    std::sort(arrivals.begin(), arrivals.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        while (arrivals[i] - arrivals[first] >= window) {
            ++first;
        }
        most = std::max(most, i - first + 1);
    }
    return most;
}

double allowed(double per_second) {
    return per_second * to_milliseconds(window) / 1'000.0 * allowed_factor + allowed_slack;
}

permit_scenario owners_every(view_kind view, std::string name, std::size_t instances,
                             double per_second, int period_ms) {
    permit_scenario out{std::move(name), instances, per_second, view};
    out.roles_noted = true;
    out.period = milliseconds(period_ms);
    return out;
}

permit_scenario cut_for(view_kind view, std::string name, std::size_t instances, double per_second,
                        int cut_s) {
    permit_scenario out{std::move(name), instances, per_second, view};
    out.cut = seconds(cut_s);
    return out;
}

permit_scenario with_known_ends(permit_scenario out) {
    out.ends_known = true;
    return out;
}

class permit_load : public testing::TestWithParam<permit_scenario> {};

using enum view_kind;
using enum demand_kind;

INSTANTIATE_TEST_SUITE_P(
    table, permit_load,
    testing::Values(
        permit_scenario{"two", 2, 2.4}, permit_scenario{"eight", 8, 2.4},
        permit_scenario{"grown", 75, 2.4}, permit_scenario{"many", 300, 2.4},
        permit_scenario{"most", 1'100, 2.4},
        permit_scenario{"eight_at_one_in_five_seconds", 8, 0.2},
        permit_scenario{"many_at_one_in_five_seconds", 300, 0.2},
        permit_scenario{"eight_at_twenty", 8, 20.0}, permit_scenario{"many_at_twenty", 300, 20.0},
        permit_scenario{"little_demand", 8, 2.4, agree, spread, 1.1},
        permit_scenario{"by_one_instance", 75, 2.4, agree, one_instance},
        permit_scenario{"by_changing_instances", 75, 2.4, agree, moving},
        permit_scenario{"owners_killed", 8, 2.4, owners_killed},
        permit_scenario{"owners_killed_at_twenty", 75, 20.0, owners_killed},
        permit_scenario{"owners_change", 8, 2.4, owners_change},
        permit_scenario{"owners_change_at_twenty", 75, 20.0, owners_change},
        permit_scenario{"halves", 8, 2.4, halves},
        permit_scenario{"halves_at_twenty", 75, 20.0, halves},
        permit_scenario{"some_cut_off", 75, 20.0, some_cut_off},
        permit_scenario{"half_lost", 75, 2.4, half_lost},
        permit_scenario{"owner_unreachable", 8, 2.4, owner_unreachable},
        permit_scenario{"owner_unreachable_at_twenty", 75, 20.0, owner_unreachable},
        owners_every(owners_killed, "killed_every_two_s", 75, 20.0, 2'000),
        owners_every(owners_killed, "killed_every_three_s", 8, 2.4, 3'000),
        owners_every(owners_killed, "killed_every_11_s", 8, 2.4, 11'000),
        owners_every(owners_killed, "killed_of_two", 2, 2.4, 5'000),
        owners_every(owners_killed, "killed_of_most", 1'100, 2.4, 5'000),
        owners_every(owners_killed, "killed_at_one_in_five_s", 8, 0.2, 5'000),
        owners_every(owners_replaced, "replaced", 8, 2.4, 5'000),
        owners_every(owners_replaced, "replaced_at_twenty", 75, 20.0, 5'000),
        owners_every(owners_change, "change_every_second", 75, 20.0, 1'000),
        owners_every(owners_change, "change_every_two_s", 8, 2.4, 2'000),
        cut_for(halves, "halves_for_25_s", 8, 2.4, 25),
        cut_for(halves, "halves_for_25_s_at_twenty", 75, 20.0, 25),
        cut_for(halves, "halves_of_two", 2, 2.4, 25),
        cut_for(halves, "halves_of_most", 1'100, 2.4, 25),
        cut_for(halves, "halves_at_one_in_five_s", 300, 0.2, 25),
        cut_for(halves_late, "halves_late", 8, 2.4, 15),
        cut_for(halves_late, "halves_late_at_twenty", 75, 20.0, 15),
        cut_for(some_cut_off, "some_cut_off_for_25_s", 8, 2.4, 25),
        cut_for(owner_unreachable, "owner_unreachable_for_25_s", 300, 20.0, 25),
        permit_scenario{"half_lost_of_two", 2, 2.4, half_lost},
        permit_scenario{"half_lost_of_most", 1'100, 2.4, half_lost},
        permit_scenario{"half_lost_at_one_in_five_s", 8, 0.2, half_lost},
        permit_scenario{"half_lost_at_twenty", 75, 20.0, half_lost},
        with_known_ends({"half_ended", 75, 2.4, half_lost}),
        with_known_ends({"half_ended_at_twenty", 75, 20.0, half_lost}),
        with_known_ends(owners_every(owners_replaced, "replaced_every_3_s", 8, 2.4, 3'000)),
        with_known_ends(owners_every(owners_replaced, "replaced_every_2_s_at_20", 75, 20.0,
                                     2'000))),
    [](const auto& info) { return info.param.name; });

// Guards against issuers that together let a server get more than it takes.
TEST_P(permit_load, is_bounded) {
    const permit_scenario& row = GetParam();
    const std::size_t most = max_in_window(permit_simulation(row).run());
    fmt::print("at most {} of {:.1f} in a window\n", most, allowed(row.per_second));
    EXPECT_LE(static_cast<double>(most), allowed(row.per_second));
}

// Guards against issuers that leave the limit unused.
TEST_P(permit_load, is_used) {
    const permit_scenario& row = GetParam();
    const double used = static_cast<double>(permit_simulation(row).run().size()) /
                        (row.per_second * to_milliseconds(length) / 1'000.0);
    fmt::print("used {:.2f}\n", used);
    EXPECT_GE(used, min_used);
}

/// How instances may keep a common limit.
enum class division : std::uint8_t { none, each_alone, fixed_shares, permits };

/// The requests of `instances` instances that a server gets in `length`, and the most in a window.
/// Demand is at one instance for a second each.
std::pair<std::size_t, std::size_t> play(division how, std::size_t instances, double per_second) {
    permit_issuer central;
    central.update_instance_count(1, start - seconds(10));
    std::map<std::size_t, permit_issuer> own;
    std::vector<time_point> arrivals;
    const backend_id server("i-1");
    for (time_point now = start; now < start + length; now += milliseconds(50)) {
        const auto at = static_cast<std::size_t>((now - start) / seconds(1)) * 7 % instances;
        const double share = how == division::fixed_shares
                                 ? per_second / static_cast<double>(instances)
                                 : per_second;
        permit_issuer& issuer = how == division::permits ? central : own[at];
        if (how == division::none ||
            issuer.issue({server, share, issuer_role::owner, 0}, now).granted) {
            arrivals.push_back(now);
        }
    }
    return {arrivals.size(), max_in_window(arrivals)};
}

// Shows what other ways to divide a limit cost, where demand is at one instance after the other.
TEST(permit_division, of_other_kinds_exceeds_or_wastes_the_limit) {
    constexpr double per_second = 2.4;
    constexpr std::size_t instances = 8;
    const double whole = per_second * to_milliseconds(length) / 1'000.0;
    const auto [unlimited, unlimited_window] = play(division::none, instances, per_second);
    const auto [alone, alone_window] = play(division::each_alone, instances, per_second);
    const auto [fixed, fixed_window] = play(division::fixed_shares, instances, per_second);
    const auto [by_permits, permit_window] = play(division::permits, instances, per_second);
    fmt::print("none {} {}, each alone {} {}, fixed {} {}, permits {} {}, of {}\n", unlimited,
               unlimited_window, alone, alone_window, fixed, fixed_window, by_permits,
               permit_window, whole);
    EXPECT_GT(static_cast<double>(unlimited_window), allowed(per_second));
    EXPECT_LE(static_cast<double>(permit_window), allowed(per_second));
    EXPECT_GE(static_cast<double>(by_permits), min_used * whole);
}

struct lowered_limit_row {
    std::string name;
    /// How long it takes until the limit has come down from 8 to 1.5 a second.
    seconds takes;
    friend void PrintTo(const lowered_limit_row& row, std::ostream* out) { *out << row.name; }
};

class lowered_limit : public testing::TestWithParam<lowered_limit_row> {};

INSTANTIATE_TEST_SUITE_P(table, lowered_limit,
                         testing::Values(lowered_limit_row{"at_once", seconds(0)},
                                         lowered_limit_row{"slowly", seconds(6)}),
                         [](const auto& info) { return info.param.name; });

// Guards against a server that keeps getting its old rate after it has lowered its limit: each
// permit keeps the bound of the limit at that moment, with all permits of the window before it.
TEST_P(lowered_limit, holds_for_the_requests_before_as_well) {
    constexpr double high = 8.0;
    constexpr double low = 1.5;
    const auto limit_at = [&](duration at) {
        if (at < seconds(10)) {
            return high;
        }
        const double part = GetParam().takes > seconds(0) ? to_milliseconds(at - seconds(10)) /
                                                                to_milliseconds(GetParam().takes)
                                                          : 1.0;
        return std::max(low, high - part * (high - low));
    };
    permit_issuer issuer;
    issuer.update_instance_count(8, start - seconds(10));
    std::vector<time_point> granted;
    for (duration at{}; at < seconds(25); at += milliseconds(20)) {
        const permit_terms terms{backend_id("i-1"), limit_at(at), issuer_role::owner, 0};
        if (!issuer.issue(terms, start + at).granted) {
            continue;
        }
        granted.push_back(start + at);
        const auto recent = std::count_if(granted.begin(), granted.end(),
                                          [&](time_point it) { return it > start + at - window; });
        EXPECT_LE(static_cast<double>(recent), allowed(limit_at(at))) << to_milliseconds(at);
    }
    const auto at_low_limit = std::count_if(
        granted.begin(), granted.end(), [&](time_point it) { return it >= start + seconds(19); });
    EXPECT_GE(static_cast<double>(at_low_limit), min_used * low * 6.0);
}

struct count_row {
    std::string name;
    /// Live instances and those that are known to have ended, second by second.
    std::vector<std::pair<std::size_t, std::size_t>> counts;
    std::size_t max_recent;
    friend void PrintTo(const count_row& row, std::ostream* out) { *out << row.name; }
};

class counted_instances : public testing::TestWithParam<count_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, counted_instances,
    testing::Values(count_row{"lost", {{75, 0}, {38, 0}}, 75},
                    count_row{"ended", {{75, 0}, {38, 37}}, 38},
                    count_row{"known_to_have_ended_later", {{75, 0}, {38, 0}, {38, 37}}, 38},
                    count_row{"replaced_then_lost", {{75, 0}, {74, 1}, {75, 1}, {38, 1}}, 75},
                    count_row{"refuted_then_lost", {{75, 0}, {74, 1}, {75, 0}, {38, 0}}, 75},
                    count_row{"some_ended_some_lost", {{75, 0}, {60, 10}}, 65}),
    [](const auto& info) { return info.param.name; });

// Guards against a partition that is taken for the end of instances which were replaced before it.
TEST_P(counted_instances, are_those_that_may_be_running) {
    instance_count counted;
    time_point now = start;
    for (const auto& [live, ended] : GetParam().counts) {
        counted.update(live, ended, now += seconds(1));
    }
    EXPECT_EQ(counted.max_recent(), GetParam().max_recent);
}

// Guards against less urgent requests that take the permits of urgent ones.
TEST(permit_issuer_test, urgent_requests_come_first) {
    permit_issuer issuer;
    issuer.update_instance_count(8, start - seconds(10));
    std::map<int, int> granted;
    const auto run = [&](bool urgent_too, time_point from) {
        granted.clear();
        for (time_point now = from; now < from + seconds(20); now += milliseconds(25)) {
            for (const int priority : {1, 0}) {
                if (priority == 1 || urgent_too) {
                    granted[priority] +=
                        issuer.issue({backend_id("i-1"), 2.4, issuer_role::owner, priority}, now)
                                .granted
                            ? 1
                            : 0;
                }
            }
        }
    };
    run(true, start);
    EXPECT_LE(granted[1], 2);
    EXPECT_GE(granted[0], 40);
    run(false, start + seconds(20));
    EXPECT_GE(granted[1], 40);
}

// Guards against a request without a permit that isn't counted.
TEST(permit_issuer_test, requests_without_a_permit_delay_the_next_ones) {
    permit_issuer issuer;
    const permit_terms terms{backend_id("i-1"), 2.0, issuer_role::owner, 0};
    issuer.check(terms, start);
    EXPECT_TRUE(issuer.check(terms, start + seconds(5)).granted);
    for (int i = 0; i < 6; ++i) {
        issuer.record_unpermitted_send(terms, start + seconds(5));
    }
    const permit_decision next = issuer.check(terms, start + seconds(5));
    EXPECT_FALSE(next.granted);
    EXPECT_GE(next.wait, milliseconds(2'000));
}

} // namespace
} // namespace bamboostream
