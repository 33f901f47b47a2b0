#include "standins/engine_model.h"

#include <gtest/gtest.h>

namespace bamboostream::standins {
namespace {

const time_point start{seconds(10)};

struct memory_pressure_case {
    const char* name;
    preemption_mode mode;
    std::uint32_t blocks;
    bool preempts;
    friend void PrintTo(const memory_pressure_case& c, std::ostream* out) { *out << c.name; }
};
class memory_pressure_test : public testing::TestWithParam<memory_pressure_case> {};

// Regardless of preemptions, every job finishes with all its tokens, each exactly once and in
// order.
TEST_P(memory_pressure_test, every_job_gets_all_its_tokens) {
    engine_parameters parameters;
    parameters.blocks = GetParam().blocks;
    parameters.mode = GetParam().mode;
    engine_model model(parameters);
    constexpr std::uint32_t length = 200;
    std::map<std::uint64_t, std::uint32_t> tokens;
    std::uint64_t finished = 0;
    const auto sink = [&](const model_event& e) {
        if (e.what == model_event::kind::token) {
            EXPECT_EQ(e.sequence, tokens[e.id]++);
        }
        finished += e.what == model_event::kind::finished ? 1 : 0;
    };
    for (std::uint64_t id = 1; id <= 20; ++id) {
        model.submit({id, 100, length, priority_level::standard, 0, 0}, start);
    }
    for (int ms = 0; ms < 120'000; ms += 50) {
        model.advance(start + milliseconds(ms), sink);
    }
    EXPECT_EQ(finished, 20U);
    for (const auto& [id, count] : tokens) {
        EXPECT_EQ(count, length);
    }
    EXPECT_EQ(model.preemptions() > 0, GetParam().preempts);
    EXPECT_EQ(model.report_now().used_tokens, 0.0);
}

INSTANTIATE_TEST_SUITE_P(
    cache_sizes, memory_pressure_test,
    testing::Values(memory_pressure_case{"roomy", preemption_mode::recompute, 1024, false},
                    memory_pressure_case{"tight_recompute", preemption_mode::recompute, 120, true},
                    memory_pressure_case{"tight_wait", preemption_mode::wait, 120, true}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(engine_model_test, lowest_priority_is_preempted_first_and_reports_lag) {
    engine_parameters parameters;
    parameters.blocks = 28;
    engine_model model(parameters);
    model.submit({1, 100, 300, priority_level::urgent, 0, 0}, start);
    model.submit({2, 100, 300, priority_level::batch, 0, 0}, start);
    std::vector<std::uint64_t> preempted_ids;
    model.advance(start + seconds(20), [&](const model_event& e) {
        if (e.what == model_event::kind::preempted) {
            preempted_ids.push_back(e.id);
        }
    });
    ASSERT_FALSE(preempted_ids.empty());
    for (const std::uint64_t id : preempted_ids) {
        EXPECT_EQ(id, 2U);
    }
    EXPECT_GE(model.report(start + seconds(20)).age, parameters.report_lag);
}

} // namespace
} // namespace bamboostream::standins
