// Tests the admission of generations to engines and the estimates of prefill rates, without a
// network.

#include "bamboostream/Forwarding"
#include "bamboostream/Limits"
#include "bamboostream/Routing"
#include "platform/platform_request_codec.h"
#include "test/platform/decision_helpers.h"

#include <gtest/gtest.h>

namespace bamboostream {
namespace {

// --- admission

/// Work in progress at an engine with 20,000 tokens of memory, and the expected result for a prompt
/// of 3,000 tokens with an expected output of 1,000 tokens and an objective of 1.5 s.
struct admission_row {
    std::string name;
    backend_work work;
    int priority;
    admission_result result;
};

class admission : public testing::TestWithParam<admission_row> {
protected:
    static constexpr double tokens_per_ms = 7.0;
    static constexpr admission_request request(int priority) {
        return {{1, 4'000, 3'000}, 20'000, priority, milliseconds(1'500)};
    }
};

INSTANTIATE_TEST_SUITE_P(
    table, admission,
    testing::Values(
        admission_row{"idle", {}, 1, admission_result::admit},
        admission_row{"urgent_when_nearly_full", {5, 17'500, 0}, 0, admission_result::admit},
        admission_row{
            "less_urgent_when_nearly_full", {5, 17'500, 0}, 1, admission_result::memory_full},
        admission_row{"full", {5, 19'500, 0}, 0, admission_result::memory_full},
        admission_row{
            "least_urgent_is_like_the_second", {5, 16'500, 0}, 9, admission_result::admit},
        admission_row{"expected_in_time", {5, 9'000, 6'400}, 0, admission_result::admit},
        admission_row{"expected_late", {5, 9'000, 6'500}, 0, admission_result::prompts_queued}),
    [](const auto& info) { return info.param.name; });

// A request sent to an engine where its first event comes late also delays the requests behind it.
TEST_P(admission, refuses_requests_that_would_be_late) {
    EXPECT_EQ(check_admission({}, request(GetParam().priority), GetParam().work, tokens_per_ms),
              GetParam().result);
}

// A request that exceeds the limits beside others is admitted to an idle engine; otherwise it would
// always be refused.
TEST_F(admission, a_large_request_goes_to_an_empty_engine) {
    admission_request large = request(1);
    large.work = {1, 30'000, 15'000};
    EXPECT_EQ(check_admission({}, large, {}, tokens_per_ms), admission_result::admit);
    EXPECT_EQ(check_admission({}, large, {1, 2'000, 0}, tokens_per_ms),
              admission_result::memory_full);
}

// The engine with the lowest cost has no memory left for the request, so an engine that admits it
// is chosen.
TEST(engine_choice_test, one_that_admits_goes_before_a_better_one_that_does_not) {
    const platform::platform_request_codec codec;
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
    EXPECT_EQ(choice.result, admission_result::admit);
    state.loads.add(backend_id("queued"), {1, 3'000, 3'000});
    EXPECT_NE(choose_engine(state, request, sender_role::owner, start).result,
              admission_result::admit);
}

// --- prefill rates

/// Samples of two engines, and the bounds of the estimated rates.
struct prefill_row {
    std::string name;
    int samples_of_a;
    double rate_of_a;
    int samples_of_b;
    double rate_of_b;
    double min_a;
    double max_a;
    double min_b;
    double max_b;
};

class prefill_rate : public testing::TestWithParam<prefill_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, prefill_rate,
    testing::Values(prefill_row{"nothing_known", 0, 0.0, 0, 0.0, 6.99, 7.01, 6.99, 7.01},
                    prefill_row{"one_sample", 1, 20.0, 0, 0.0, 7.1, 9.0, 7.1, 8.5},
                    prefill_row{"a_faster_kind", 100, 20.0, 100, 20.0, 19.0, 20.0, 19.0, 20.0},
                    prefill_row{"one_slow_engine", 40, 4.0, 400, 16.0, 3.9, 6.0, 13.0, 16.0},
                    prefill_row{"one_unknown_engine", 0, 0.0, 200, 16.0, 14.0, 16.0, 14.0, 16.0}),
    [](const auto& info) { return info.param.name; });

// Engines don't report their prefill rates. With one assumed rate for all, requests queue at slow
// engines until all of them are late, and fast engines are idle while callers are refused.
TEST_P(prefill_rate, is_estimated_by_engine_and_service) {
    const prefill_row& row = GetParam();
    prefill_rates rates;
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
    EXPECT_GE(rates.tokens_per_ms(service, 1), row.min_a);
    EXPECT_LE(rates.tokens_per_ms(service, 1), row.max_a);
    EXPECT_GE(rates.tokens_per_ms(service, 2), row.min_b);
    EXPECT_LE(rates.tokens_per_ms(service, 2), row.max_b);
    EXPECT_NEAR(rates.tokens_per_ms(service_id("other"), 3), 7.0, 0.01);
}

// The estimate follows an engine that becomes slow within some prompts.
TEST(prefill_rate_test, follows_a_change) {
    prefill_rates rates;
    const service_id service("s");
    for (int i = 0; i < 200; ++i) {
        rates.note(service, 1, {3'000.0, 300.0});
    }
    for (int i = 0; i < 20; ++i) {
        rates.note(service, 1, {3'000.0, 1'500.0});
    }
    EXPECT_LT(rates.tokens_per_ms(service, 1), 4.5);
    rates.forget(1);
    EXPECT_GT(rates.tokens_per_ms(service, 1), 6.0);
}

} // namespace
} // namespace bamboostream
