// Which generations are admitted to which engine, and how fast engines are believed to read,
// without a network.

#include "bamboostream/Forwarding"
#include "bamboostream/Limits"
#include "bamboostream/Routing"
#include "platform/request_translation.h"
#include "test/platform/decision_helpers.h"

#include <gtest/gtest.h>

namespace bamboostream {
namespace {

// --- admission

/// Work at an engine of 20,000 tokens, and what becomes of a prompt of 3,000 tokens that is
/// expected to put out 1,000, with an objective of 1.5 s.
struct admission_row {
    std::string name;
    backend_work work;
    int priority;
    admission_verdict verdict;
};

class admission : public testing::TestWithParam<admission_row> {
protected:
    static constexpr double tokens_a_ms = 7.0;
    static constexpr admission_request request(int priority) {
        return {{1, 4'000, 3'000}, 20'000, priority, milliseconds(1'500)};
    }
};

INSTANTIATE_TEST_SUITE_P(
    table, admission,
    testing::Values(
        admission_row{"idle", {}, 1, admission_verdict::admit},
        admission_row{"urgent_when_nearly_full", {5, 17'500, 0}, 0, admission_verdict::admit},
        admission_row{
            "less_urgent_when_nearly_full", {5, 17'500, 0}, 1, admission_verdict::memory_full},
        admission_row{"full", {5, 19'500, 0}, 0, admission_verdict::memory_full},
        admission_row{
            "least_urgent_is_like_the_second", {5, 16'500, 0}, 9, admission_verdict::admit},
        admission_row{"expected_in_time", {5, 9'000, 6'400}, 0, admission_verdict::admit},
        admission_row{"expected_late", {5, 9'000, 6'500}, 0, admission_verdict::prompts_queued}),
    [](const auto& info) { return info.param.name; });

// What is sent where its first event comes late keeps the engine from serving others in time.
TEST_P(admission, turns_away_what_would_be_late) {
    EXPECT_EQ(judge_admission({}, request(GetParam().priority), GetParam().work, tokens_a_ms),
              GetParam().verdict);
}

// A request that is larger than the limits allow beside others goes where nothing else runs: it
// would be turned away for good otherwise.
TEST_F(admission, a_large_request_goes_to_an_empty_engine) {
    admission_request large = request(1);
    large.work = {1, 30'000, 15'000};
    EXPECT_EQ(judge_admission({}, large, {}, tokens_a_ms), admission_verdict::admit);
    EXPECT_EQ(judge_admission({}, large, {1, 2'000, 0}, tokens_a_ms),
              admission_verdict::memory_full);
}

// The least loaded engine has no memory left for the request and another one has: it goes there.
TEST(engine_choice_test, one_that_admits_goes_before_a_better_one_that_does_not) {
    const platform::request_translation codec;
    forwarding_state state(codec, failure_domain_id("norra"), {}, 1);
    state.registry.update(backend("full"), start);
    state.registry.update(backend("queued"), start);
    state.loads.add(backend_id("full"), {5, 18'000, 0});
    state.loads.add(backend_id("queued"), {2, 9'000, 6'000});
    engine_request request;
    request.service = service_id("s");
    request.work = {1, 4'000, 3'000};
    request.engine_memory_tokens = 20'000;
    request.priority = 1;
    request.objective = milliseconds(1'500);
    const engine_choice choice = choose_engine(state, request, sender_role::owner, start);
    ASSERT_TRUE(choice.engine);
    EXPECT_EQ(choice.engine->id, backend_id("queued"));
    EXPECT_EQ(choice.verdict, admission_verdict::admit);
    state.loads.add(backend_id("queued"), {1, 3'000, 3'000});
    EXPECT_NE(choose_engine(state, request, sender_role::owner, start).verdict,
              admission_verdict::admit);
}

// --- reading rates

/// Samples of two engines, and the rates that are believed then.
struct reading_row {
    std::string name;
    int samples_of_a;
    double rate_of_a;
    int samples_of_b;
    double rate_of_b;
    double least_a;
    double most_a;
    double least_b;
    double most_b;
};

class reading_rate : public testing::TestWithParam<reading_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, reading_rate,
    testing::Values(reading_row{"nothing_known", 0, 0.0, 0, 0.0, 6.99, 7.01, 6.99, 7.01},
                    reading_row{"one_sample", 1, 20.0, 0, 0.0, 7.1, 9.0, 7.1, 8.5},
                    reading_row{"a_faster_kind", 100, 20.0, 100, 20.0, 19.0, 20.0, 19.0, 20.0},
                    reading_row{"one_slow_engine", 40, 4.0, 400, 16.0, 3.9, 6.0, 13.0, 16.0},
                    reading_row{"one_unknown_engine", 0, 0.0, 200, 16.0, 14.0, 16.0, 14.0, 16.0}),
    [](const auto& info) { return info.param.name; });

// Engines read at speeds that nobody states. With one assumed speed, slow ones are queued at until
// everybody there is late, and fast ones stand idle while callers are refused.
TEST_P(reading_rate, is_learned_by_engine_and_service) {
    const reading_row& row = GetParam();
    reading_rates rates;
    const service_id service("s");
    const auto note = [&](std::uint64_t engine, double rate) {
        rates.note(service, engine, {3'000.0, 3'000.0 / rate});
    };
    for (int i = 0; i < std::max(row.samples_of_a, row.samples_of_b); ++i) {
        if (i < row.samples_of_a) {
            note(1, row.rate_of_a);
        }
        if (i < row.samples_of_b) {
            note(2, row.rate_of_b);
        }
    }
    EXPECT_GE(rates.tokens_a_ms(service, 1), row.least_a);
    EXPECT_LE(rates.tokens_a_ms(service, 1), row.most_a);
    EXPECT_GE(rates.tokens_a_ms(service, 2), row.least_b);
    EXPECT_LE(rates.tokens_a_ms(service, 2), row.most_b);
    EXPECT_NEAR(rates.tokens_a_ms(service_id("other"), 3), 7.0, 0.01);
}

// An engine that has become slow is known to be within some prompts.
TEST(reading_rate_test, a_change_shows) {
    reading_rates rates;
    const service_id service("s");
    for (int i = 0; i < 200; ++i) {
        rates.note(service, 1, {3'000.0, 300.0});
    }
    for (int i = 0; i < 20; ++i) {
        rates.note(service, 1, {3'000.0, 1'500.0});
    }
    EXPECT_LT(rates.tokens_a_ms(service, 1), 4.5);
    rates.forget(1);
    EXPECT_GT(rates.tokens_a_ms(service, 1), 6.0);
}

} // namespace
} // namespace bamboostream
