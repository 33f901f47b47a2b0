#include "bamboostream/Lengths"

#include <cmath>
#include <gtest/gtest.h>
#include <random>

namespace bamboostream {
namespace {

struct length_shape {
    const char* name;
    double median;
    double sigma;
    friend void PrintTo(const length_shape& s, std::ostream* out) { *out << s.name; }
};

std::uint32_t draw(const length_shape& s, std::mt19937_64& random) {
    return static_cast<std::uint32_t>(
        std::max(1.0, s.median * std::exp(s.sigma * std::normal_distribution<>()(random))));
}

class coverage_test : public testing::TestWithParam<length_shape> {};

// Estimated quantiles must have the nominal coverage on new outputs, from the start and midway.
TEST_P(coverage_test, quantiles_cover_fresh_outputs) {
    std::mt19937_64 random(5);
    length_estimator estimator;
    const length_key key = estimator.key({"w", "m", "k"});
    for (int i = 0; i < 1500; ++i) {
        const std::uint32_t tokens = draw(GetParam(), random);
        estimator.record_progress(key, 0, tokens);
        estimator.record_end(key, tokens);
    }
    for (const double q : {0.5, 0.9, 0.99}) {
        int covered = 0;
        int covered_midway = 0;
        int midway = 0;
        constexpr int samples = 4000;
        const auto reached = static_cast<std::uint32_t>(GetParam().median);
        for (int i = 0; i < samples; ++i) {
            const std::uint32_t tokens = draw(GetParam(), random);
            covered += tokens <= estimator.remaining_quantile(key, 0, q) ? 1 : 0;
            if (tokens > reached) {
                ++midway;
                covered_midway +=
                    tokens <= reached + estimator.remaining_quantile(key, reached, q) ? 1 : 0;
            }
        }
        EXPECT_NEAR(covered / static_cast<double>(samples), q, 0.06) << q;
        EXPECT_NEAR(covered_midway / static_cast<double>(midway), q, 0.09) << q;
    }
}

INSTANTIATE_TEST_SUITE_P(shapes, coverage_test,
                         testing::Values(length_shape{"label", 12.0, 0.5},
                                         length_shape{"summary", 400.0, 0.8},
                                         length_shape{"draft", 160.0, 0.9}),
                         [](const auto& info) { return std::string(info.param.name); });

// While short outputs have ended and long ones still run, the estimate must not be biased toward
// the short ones: running outputs count as censored observations.
TEST(life_table_test, running_outputs_count_as_censored) {
    length_estimator estimator;
    const length_key key = estimator.key({"w", "m", "k"});
    for (int i = 0; i < 100; ++i) {
        estimator.record_progress(key, 0, 20);
        estimator.record_end(key, 20);
        estimator.record_progress(key, 0, 900);
    }
    EXPECT_GT(estimator.remaining_quantile(key, 0, 0.75), 800.0);
    EXPECT_LT(estimator.remaining_quantile(key, 0, 0.25), 40.0);
}

TEST(life_table_test, new_workspace_falls_back_on_its_kind) {
    length_estimator estimator;
    const length_key old_key = estimator.key({"w1", "m", "label"});
    for (int i = 0; i < 200; ++i) {
        estimator.record_progress(old_key, 0, 12);
        estimator.record_end(old_key, 12);
    }
    const length_key new_key = estimator.key({"w2", "m", "label"});
    EXPECT_LT(estimator.expected_length(new_key), 40.0);
}

TEST(life_table_test, adapts_to_a_sudden_change) {
    std::mt19937_64 random(3);
    length_estimator estimator;
    const length_key key = estimator.key({"w", "m", "k"});
    for (int i = 0; i < 1000; ++i) {
        estimator.record_progress(key, 0, 50);
        estimator.record_end(key, 50);
    }
    for (int i = 0; i < 400; ++i) {
        estimator.record_progress(key, 0, 500);
        estimator.record_end(key, 500);
    }
    EXPECT_GT(estimator.remaining_quantile(key, 0, 0.5), 250.0);
}

} // namespace
} // namespace bamboostream
