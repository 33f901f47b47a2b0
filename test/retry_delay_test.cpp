// Tests the retry delays of refused callers, without a network.

#include "bamboostream/Limits"

#include <gtest/gtest.h>

namespace bamboostream {
namespace {

/// A refused request and the bounds of its retry delay, in milliseconds.
struct delay_row {
    std::string name;
    refused_request request;
    int min_ms;
    int max_ms;
};

void PrintTo(const delay_row& row, std::ostream* out) {
    *out << row.name;
}

class retry_delay_case : public testing::TestWithParam<delay_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, retry_delay_case,
    testing::Values(
        delay_row{"stream_in_an_overload",
                  {refusal_cause::overloaded, milliseconds(1'800), milliseconds(39'000)},
                  900,
                  1'800},
        delay_row{"call_in_an_overload",
                  {refusal_cause::overloaded, milliseconds(100), milliseconds(600)},
                  100,
                  200},
        delay_row{"stream_in_an_overload_of_four_seconds",
                  {refusal_cause::overloaded, milliseconds(1'800), milliseconds(39'000),
                   milliseconds(4'000)},
                  4'000,
                  8'000},
        delay_row{"stream_in_an_overload_of_a_minute",
                  {refusal_cause::overloaded, milliseconds(1'800), milliseconds(39'000),
                   milliseconds(60'000)},
                  10'000,
                  13'000},
        delay_row{"label_in_an_overload_of_four_seconds",
                  {refusal_cause::overloaded, milliseconds(1'500), milliseconds(6'000),
                   milliseconds(4'000)},
                  1'538,
                  2'000},
        delay_row{
            "no_timeout_stated_in_an_overload_of_four_seconds",
            {refusal_cause::overloaded, milliseconds(1'500), std::nullopt, milliseconds(4'000)},
            750,
            1'500},
        delay_row{"call_before_the_next_permit",
                  {refusal_cause::rate_limited,
                   milliseconds(100),
                   milliseconds(600),
                   {},
                   {},
                   milliseconds(420)},
                  420,
                  840},
        delay_row{"call_at_a_lasting_limit",
                  {refusal_cause::rate_limited,
                   milliseconds(100),
                   milliseconds(600),
                   milliseconds(9'000),
                   {},
                   milliseconds(420)},
                  420,
                  420},
        delay_row{"stream_at_a_lasting_limit",
                  {refusal_cause::rate_limited,
                   milliseconds(1'800),
                   milliseconds(39'000),
                   milliseconds(4'000),
                   {},
                   milliseconds(420)},
                  4'000,
                  8'000},
        delay_row{"stream_in_an_outage",
                  {refusal_cause::state_unknown, milliseconds(1'800), milliseconds(39'000)},
                  5'000,
                  6'500},
        delay_row{"label_in_an_outage",
                  {refusal_cause::state_unknown, milliseconds(1'500), milliseconds(6'000)},
                  1'500,
                  1'950},
        delay_row{"call_in_an_outage",
                  {refusal_cause::state_unknown, duration{}, milliseconds(1'000)},
                  250,
                  325},
        delay_row{"no_timeout_stated",
                  {refusal_cause::state_unknown, duration{}, std::nullopt},
                  1'000,
                  2'000},
        delay_row{"call_whose_trial_is_due",
                  {refusal_cause::awaiting_trial, milliseconds(100), milliseconds(600)},
                  100,
                  200},
        delay_row{"call_whose_trial_is_due_later",
                  {refusal_cause::awaiting_trial, milliseconds(100), milliseconds(600), duration{},
                   milliseconds(9'000)},
                  9'100,
                  9'200},
        delay_row{"hold_that_ends_in_time",
                  {refusal_cause::memory_reserved, milliseconds(4'000), milliseconds(39'000),
                   duration{}, duration{}, duration{}, milliseconds(1'200)},
                  1'200,
                  1'600},
        delay_row{"hold_of_a_whole_notice",
                  {refusal_cause::memory_reserved, milliseconds(4'000), milliseconds(39'000),
                   duration{}, duration{}, duration{}, milliseconds(2'100)},
                  1'600,
                  2'000},
        delay_row{"hold_that_ends_after_the_objective",
                  {refusal_cause::memory_reserved, milliseconds(1'500), milliseconds(6'000),
                   duration{}, duration{}, duration{}, milliseconds(1'200)},
                  450,
                  850},
        delay_row{"instance_leaves",
                  {refusal_cause::leaving, milliseconds(1'800), milliseconds(39'000)},
                  50,
                  50}),
    [](const auto& info) { return info.param.name; });

// After a transient overload callers retry within their objective. During an outage of the store or
// a long overload that would be too early: they would be refused again and get no response at all.
// They get the longest delay that they honour, a third of their remaining timeout.
TEST_P(retry_delay_case, fits_the_cause_and_is_randomized) {
    std::mt19937_64 random(7);
    duration shortest = duration::max();
    duration longest{};
    for (int i = 0; i < 500; ++i) {
        const duration delay = choose_retry_delay(GetParam().request, random);
        shortest = std::min(shortest, delay);
        longest = std::max(longest, delay);
    }
    EXPECT_GE(shortest, milliseconds(GetParam().min_ms));
    EXPECT_LE(longest, milliseconds(GetParam().max_ms));
    EXPECT_GE(longest - shortest, milliseconds((GetParam().max_ms - GetParam().min_ms) * 8 / 10));
}

/// Callers wait at most their remaining timeout divided by this.
constexpr int max_wait_divisor = 3;

// Callers cut a delay beyond a third of their timeout down to that third, so that all refused
// callers would retry at the same moment.
TEST(retry_delay_bound, never_exceeds_what_callers_honour_in_an_outage) {
    std::mt19937_64 random(7);
    for (int timeout_ms = 600; timeout_ms <= 60'000; timeout_ms += 300) {
        const refused_request request{refusal_cause::state_unknown, milliseconds(500),
                                      milliseconds(timeout_ms)};
        EXPECT_LE(choose_retry_delay(request, random), milliseconds(timeout_ms / max_wait_divisor));
    }
}

} // namespace
} // namespace bamboostream
