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

// Quantiles must hold what they promise for fresh outputs, from the start and on the way.
TEST_P(coverage_test, quantiles_cover_fresh_outputs) {
    std::mt19937_64 random(5);
    length_estimator book;
    const length_key key = book.key({"w", "m", "k"});
    for (int i = 0; i < 1500; ++i) {
        const std::uint32_t tokens = draw(GetParam(), random);
        book.progressed(key, 0, tokens);
        book.finished(key, tokens);
    }
    for (const double q : {0.5, 0.9, 0.99}) {
        int covered = 0;
        int covered_midway = 0;
        int midway = 0;
        constexpr int samples = 4000;
        const auto reached = static_cast<std::uint32_t>(GetParam().median);
        for (int i = 0; i < samples; ++i) {
            const std::uint32_t tokens = draw(GetParam(), random);
            covered += tokens <= book.remaining(key, 0, q) ? 1 : 0;
            if (tokens > reached) {
                ++midway;
                covered_midway += tokens <= reached + book.remaining(key, reached, q) ? 1 : 0;
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

// While short outputs have ended and long ones still run, the estimate must not fall for the short
// ones: running outputs count as far as they have come.
TEST(life_table_test, running_outputs_are_not_forgotten) {
    length_estimator book;
    const length_key key = book.key({"w", "m", "k"});
    for (int i = 0; i < 100; ++i) {
        book.progressed(key, 0, 20);
        book.finished(key, 20);
        book.progressed(key, 0, 900);
    }
    EXPECT_GT(book.remaining(key, 0, 0.75), 800.0);
    EXPECT_LT(book.remaining(key, 0, 0.25), 40.0);
}

TEST(life_table_test, a_new_workspace_leans_on_its_kind) {
    length_estimator book;
    const length_key old_key = book.key({"w1", "m", "label"});
    for (int i = 0; i < 200; ++i) {
        book.progressed(old_key, 0, 12);
        book.finished(old_key, 12);
    }
    const length_key new_key = book.key({"w2", "m", "label"});
    EXPECT_LT(book.expected(new_key), 40.0);
}

TEST(life_table_test, a_sudden_change_is_followed) {
    std::mt19937_64 random(3);
    length_estimator book;
    const length_key key = book.key({"w", "m", "k"});
    for (int i = 0; i < 1000; ++i) {
        book.progressed(key, 0, 50);
        book.finished(key, 50);
    }
    for (int i = 0; i < 400; ++i) {
        book.progressed(key, 0, 500);
        book.finished(key, 500);
    }
    EXPECT_GT(book.remaining(key, 0, 0.5), 250.0);
}

} // namespace
} // namespace bamboostream
