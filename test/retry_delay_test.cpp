// When refused callers are told to come back, without a network.

#include "bamboostream/Limits"

#include <gtest/gtest.h>

namespace bamboostream {
namespace {

/// A refused request and the bounds of the time it is told, in milliseconds.
struct return_row {
    std::string name;
    refused_request request;
    int least_ms;
    int most_ms;
};

void PrintTo(const return_row& row, std::ostream* out) {
    *out << row.name;
}

class return_time : public testing::TestWithParam<return_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, return_time,
    testing::Values(
        return_row{"stream_in_a_crowd",
                   {refusal_cause::overloaded, milliseconds(1'800), milliseconds(39'000)},
                   900,
                   1'800},
        return_row{"call_in_a_crowd",
                   {refusal_cause::overloaded, milliseconds(100), milliseconds(600)},
                   100,
                   200},
        return_row{"stream_in_a_crowd_of_four_seconds",
                   {refusal_cause::overloaded, milliseconds(1'800), milliseconds(39'000),
                    milliseconds(4'000)},
                   4'000,
                   8'000},
        return_row{"stream_in_a_crowd_of_a_minute",
                   {refusal_cause::overloaded, milliseconds(1'800), milliseconds(39'000),
                    milliseconds(60'000)},
                   10'000,
                   13'000},
        return_row{"label_in_a_crowd_of_four_seconds",
                   {refusal_cause::overloaded, milliseconds(1'500), milliseconds(6'000),
                    milliseconds(4'000)},
                   1'538,
                   2'000},
        return_row{
            "says_no_patience_in_a_crowd_of_four_seconds",
            {refusal_cause::overloaded, milliseconds(1'500), std::nullopt, milliseconds(4'000)},
            750,
            1'500},
        return_row{"stream_in_an_outage",
                   {refusal_cause::state_unknown, milliseconds(1'800), milliseconds(39'000)},
                   5'000,
                   6'500},
        return_row{"label_in_an_outage",
                   {refusal_cause::state_unknown, milliseconds(1'500), milliseconds(6'000)},
                   1'500,
                   1'950},
        return_row{"call_in_an_outage",
                   {refusal_cause::state_unknown, duration{}, milliseconds(1'000)},
                   250,
                   325},
        return_row{"says_no_patience",
                   {refusal_cause::state_unknown, duration{}, std::nullopt},
                   1'000,
                   2'000},
        return_row{"instance_leaves",
                   {refusal_cause::leaving, milliseconds(1'800), milliseconds(39'000)},
                   50,
                   50}),
    [](const auto& info) { return info.param.name; });

// After a moment's crowd callers come back within their objective. During an outage of the store,
// or in a crowd that lasts, that would be too soon: they would be refused again and have no answer
// at all. They are told a time as late as they honour, a third of what they still wait.
TEST_P(return_time, fits_the_cause_and_is_spread) {
    std::mt19937_64 random(7);
    duration least = duration::max();
    duration most{};
    for (int i = 0; i < 500; ++i) {
        const duration told = choose_retry_delay(GetParam().request, random);
        least = std::min(least, told);
        most = std::max(most, told);
    }
    EXPECT_GE(least, milliseconds(GetParam().least_ms));
    EXPECT_LE(most, milliseconds(GetParam().most_ms));
    EXPECT_GE(most - least, milliseconds((GetParam().most_ms - GetParam().least_ms) * 8 / 10));
}

/// The third of its patience that a caller waits at most.
constexpr int honoured_part = 3;

// A time beyond the third of its patience would be cut to that by the caller, and a whole crowd
// would return at one moment.
TEST(return_time_bound, never_passes_what_callers_honour_in_an_outage) {
    std::mt19937_64 random(7);
    for (int patience_ms = 600; patience_ms <= 60'000; patience_ms += 300) {
        const refused_request request{refusal_cause::state_unknown, milliseconds(500),
                                      milliseconds(patience_ms)};
        EXPECT_LE(choose_retry_delay(request, random), milliseconds(patience_ms / honoured_part));
    }
}

} // namespace
} // namespace bamboostream
