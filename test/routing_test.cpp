#include "bamboostream/Routing"

#include <gtest/gtest.h>
#include <random>

namespace bamboostream {
namespace {

const time_point start{seconds(100)};

// With exact lengths, the predicted peak is never below the true peak and at most 25% above it.
TEST(memory_forecast_test, exact_demands_bound_the_true_peak) {
    std::mt19937_64 random(9);
    for (int round = 0; round < 50; ++round) {
        memory_forecast forecast;
        std::vector<std::pair<double, double>> generations;
        for (int i = 0; i < 20; ++i) {
            const double held = std::uniform_int_distribution<>(10, 900)(random);
            const double left = std::uniform_int_distribution<>(1, 1500)(random);
            generations.push_back({held, left});
            forecast.add(memory_demand::exact(held, left));
        }
        double true_peak = 0.0;
        for (int t = 0; t < 1500; ++t) {
            double sum = 0.0;
            for (const auto& [held, left] : generations) {
                sum += t < left ? held + t : 0.0;
            }
            true_peak = std::max(true_peak, sum);
        }
        EXPECT_GE(forecast.peak(0.0), true_peak);
        EXPECT_LE(forecast.peak(0.0), true_peak * 1.25);
    }
}

TEST(memory_forecast_test, margin_reflects_the_variance) {
    std::array<double, forecast_horizon.size()> survival{};
    survival.fill(0.5);
    memory_forecast forecast;
    forecast.add(memory_demand(100, survival));
    EXPECT_GT(forecast.peak(2.0), forecast.peak(0.0) * 1.5);
    EXPECT_EQ(forecast.size(), 1U);
}

struct ejection_case {
    const char* name;
    int failing;
    int group;
    int ejected;
    friend void PrintTo(const ejection_case& c, std::ostream* out) { *out << c.name; }
};
class ejection_test : public testing::TestWithParam<ejection_case> {};

TEST_P(ejection_test, limits_ejections_to_a_fraction_of_the_group) {
    outlier_detector detector;
    for (int round = 0; round < 5; ++round) {
        for (int i = 0; i < GetParam().failing; ++i) {
            detector.on_failure(std::to_string(i), static_cast<std::size_t>(GetParam().group),
                                start);
        }
    }
    int ejected = 0;
    for (int i = 0; i < GetParam().failing; ++i) {
        ejected += detector.ejected(std::to_string(i), start + milliseconds(10)) ? 1 : 0;
    }
    EXPECT_EQ(ejected, GetParam().ejected);
}

INSTANTIATE_TEST_SUITE_P(groups, ejection_test,
                         testing::Values(ejection_case{"one_of_four", 1, 4, 1},
                                         ejection_case{"all_of_four", 4, 4, 1},
                                         ejection_case{"all_of_nine", 9, 9, 3},
                                         ejection_case{"one_of_two", 1, 2, 0}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(outlier_test, readmits_after_the_ejection_time) {
    outlier_detector detector;
    for (int i = 0; i < 3; ++i) {
        detector.on_failure("b", 10, start);
    }
    EXPECT_TRUE(detector.ejected("b", start + milliseconds(1'900)));
    EXPECT_FALSE(detector.ejected("b", start + milliseconds(2'100)));
}

TEST(retry_budget_test, retries_are_a_fraction_of_first_attempts) {
    retry_budget budget(0.1, 2.0);
    int allowed = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.on_first_try();
        allowed += budget.try_spend() ? 1 : 0;
    }
    EXPECT_NEAR(allowed, 102, 2);
}

// A delayed report must not count the same work twice, and memory must be reserved for work that
// the scheduler doesn't know.
TEST(engine_view_test, lagging_report_is_compared_with_its_own_moment) {
    engine_view view(backend_id("e"), failure_domain_id("d"));
    engine_report report;
    report.capacity_tokens = 16'000;
    report.max_running = 64;
    view.on_report(report, start);
    std::vector<memory_demand> none;
    view.rebuild(none, 0.0, start);
    const std::vector<memory_demand> ten(10, memory_demand::exact(500, 100));
    view.rebuild(ten, 10.0, start + milliseconds(1'000));
    report.used_tokens = 0.0;
    report.age = milliseconds(800);
    view.on_report(report, start + milliseconds(1'200));
    EXPECT_LT(view.peak_with({}, 0.0), 7'000.0);
    report.used_tokens = 9'000.0;
    report.age = milliseconds(100);
    view.on_report(report, start + milliseconds(1'300));
    EXPECT_GT(view.peak_with({}, 0.0), 9'000.0);
}

} // namespace
} // namespace bamboostream
