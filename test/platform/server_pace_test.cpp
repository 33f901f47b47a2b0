#include "bamboostream/Routing"
#include "test/platform/decision_helpers.h"

#include <functional>
#include <gtest/gtest.h>
#include <random>

namespace bamboostream {
namespace {

const service_id service("s");
constexpr milliseconds objective{180};
constexpr int servers = 9;
constexpr double long_stream = 189.0;
/// The server whose estimate a row is about.
constexpr std::uint64_t subject = 8;

/// Reports of some 12 intervals each 400 ms from each of 9 servers, of which the first two are
/// slow.
class observed_servers {
public:
    /// Runs for `time`; `subject_ms` is the pace of the subject.
    void observe(seconds time, double subject_ms, double slow_ms = 70.0, double lost = 0.0) {
        for (const time_point end = now + time; now < end; now += milliseconds(400)) {
            for (std::uint64_t server = 0; server < servers; ++server) {
                const double ms = server == subject ? subject_ms : server < 2 ? slow_ms : 28.0;
                if (std::uniform_real_distribution<double>(0.0, 1.0)(random_) >= lost) {
                    pace.observe(service, server, sample(ms), now);
                }
            }
        }
    }
    /// Servers tell how fast their hosts are, and the subject is replaced by a new server.
    void observe_hosts() {
        pace.forget(subject);
        for (std::uint64_t server = 0; server < subject; ++server) {
            pace.observe_host(service, server, server < 2 ? 170 : 70, now);
            pace.observe(service, server, sample(server < 2 ? 70.0 : 28.0), now);
        }
    }
    double pace_of(std::uint64_t server) const { return pace.ms_per_event(service, server); }
    double risk_of(std::uint64_t server) const {
        return pace.late_risk(service, server, objective, long_stream);
    }

    server_pace pace;
    time_point now = start;

private:
    /// Intervals at a pace of 70 ms are late in 3 of 1,000 cases, at 28 ms never.
    pace_sample sample(double ms) {
        constexpr int intervals = 12;
        std::bernoulli_distribution late(ms > 50.0 ? 0.003 : 0.0);
        double count = 0.0;
        for (int i = 0; i < intervals; ++i) {
            count += late(random_) ? 1.0 : 0.0;
        }
        return {intervals, intervals * ms, count, objective};
    }

    std::mt19937_64 random_{3};
};

struct pace_row {
    std::string name;
    /// What happens after 30 s in which the subject had a pace of 28 ms.
    std::function<void(observed_servers&)> then;
    double min_ms;
    double max_ms;
    double min_risk;
    double max_risk;
};

class server_pace_table : public testing::TestWithParam<pace_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, server_pace_table,
    testing::Values(
        pace_row{"stays_fast", [](observed_servers&) {}, 27.0, 29.0, 0.0, 0.02},
        pace_row{"slow_for_good", [](observed_servers& s) { s.observe(seconds(12), 70.0); }, 55.0,
                 70.0, 0.15, 0.6},
        pace_row{"slow_and_recovered",
                 [](observed_servers& s) {
                     s.observe(seconds(30), 70.0);
                     s.observe(seconds(20), 28.0);
                 },
                 27.0, 35.0, 0.0, 0.02},
        pace_row{"a_disturbance_of_its_machine",
                 [](observed_servers& s) { s.observe(seconds(1), 70.0); }, 28.0, 35.0, 0.0, 0.02},
        pace_row{"half_of_the_reports_lost",
                 [](observed_servers& s) { s.observe(seconds(24), 70.0, 70.0, 0.5); }, 55.0, 70.0,
                 0.1, 0.6},
        pace_row{"restarted",
                 [](observed_servers& s) {
                     s.observe(seconds(30), 70.0);
                     s.pace.forget(subject);
                 },
                 35.0, 45.0, 0.2, 0.65},
        pace_row{"new_on_a_slow_host",
                 [](observed_servers& s) {
                     s.observe_hosts();
                     s.pace.observe_host(service, subject, 170, s.now);
                 },
                 60.0, 85.0, 0.2, 0.7},
        pace_row{"new_on_a_fast_host",
                 [](observed_servers& s) {
                     s.observe_hosts();
                     s.pace.observe_host(service, subject, 70, s.now);
                 },
                 25.0, 35.0, 0.0, 0.05},
        pace_row{"new_on_a_disturbed_host",
                 [](observed_servers& s) {
                     s.observe_hosts();
                     s.pace.observe_host(service, subject, 175, s.now);
                     s.pace.observe_host(service, subject, 70, s.now);
                 },
                 25.0, 35.0, 0.0, 0.05},
        pace_row{"new_and_slow_with_one_report",
                 [](observed_servers& s) {
                     s.pace.forget(subject);
                     s.pace.observe(service, subject, {12, 12 * 80.0, 0, objective}, s.now);
                 },
                 50.0, 80.0, 0.05, 0.7},
        pace_row{"a_false_report",
                 [](observed_servers& s) {
                     s.pace.observe(service, subject, {1e9, 1e15, 1e9, objective}, s.now);
                     s.observe(seconds(15), 28.0);
                 },
                 27.0, 34.0, 0.0, 0.02},
        pace_row{"reports_without_meaning",
                 [](observed_servers& s) {
                     s.pace.observe(service, subject, {0, 500, 3, objective}, s.now);
                     s.pace.observe(service, subject, {10, 0, 3, objective}, s.now);
                 },
                 27.0, 29.0, 0.0, 0.02}),
    [](const auto& info) { return info.param.name; });

// Guards against estimates that follow disturbances, that don't follow lasting changes, or that one
// report can spoil.
TEST_P(server_pace_table, follows_what_lasts) {
    observed_servers seen;
    seen.observe(seconds(30), 28.0);
    GetParam().then(seen);
    EXPECT_GE(seen.pace_of(subject), GetParam().min_ms);
    EXPECT_LE(seen.pace_of(subject), GetParam().max_ms);
    EXPECT_GE(seen.risk_of(subject), GetParam().min_risk);
    EXPECT_LE(seen.risk_of(subject), GetParam().max_risk);
    // Of streams at the slow servers, 1 - 0.997^189 = 0.43 are late.
    EXPECT_GT(seen.risk_of(0), 0.2);
    EXPECT_LT(seen.risk_of(0), 0.65);
    EXPECT_LT(seen.risk_of(5), 0.02);
}

// Guards against a risk that differs between servers of nearly equal pace, or that falls for slower
// ones because a band was observed less.
TEST(server_pace_risk, never_falls_as_the_pace_rises) {
    observed_servers seen;
    seen.observe(seconds(60), 28.0, 95.0);
    double before = 0.0;
    for (int ms = 10; ms < 250; ms += 2) {
        seen.pace.forget(subject);
        for (int i = 0; i < 100; ++i) {
            seen.pace.observe(service, subject, {200, 200.0 * ms, 0, milliseconds(0)}, seen.now);
        }
        EXPECT_GE(seen.risk_of(subject), before - 0.02) << ms;
        before = seen.risk_of(subject);
    }
    EXPECT_EQ(server_pace().late_risk(service, 1, objective, long_stream), 0.0);
    EXPECT_EQ(server_pace().ms_per_event(service, 1), 0.0);
    EXPECT_EQ(seen.pace.late_risk(service, 0, milliseconds(0), long_stream), 0.0);
}

// Guards against an event for each fluctuation, and against one that is repeated.
TEST(server_pace_changes, are_reported_once) {
    observed_servers seen;
    seen.observe(seconds(10), 28.0);
    EXPECT_EQ(seen.pace.take_changes(service).size(), 2u);
    EXPECT_TRUE(seen.pace.take_changes(service).empty());
    int changes = 0;
    for (int i = 0; i < 20; ++i) {
        // Around the limit for becoming slow, but above that for recovery.
        seen.observe(seconds(4), i % 2 == 0 ? 54.0 : 42.0);
        changes += static_cast<int>(seen.pace.take_changes(service).size());
    }
    EXPECT_LE(changes, 1);
    seen.observe(seconds(30), 28.0, 28.0);
    EXPECT_GE(seen.pace.take_changes(service).size(), 2u);
    for (const std::uint64_t server : {0, 1, 8}) {
        EXPECT_FALSE(seen.pace.find(server)->slow);
    }
}

} // namespace
} // namespace bamboostream
