// Tests which requests count as answered a short time ago.

#include "bamboostream/Limits"

#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

const time_point start = time_point{} + std::chrono::hours(1);

struct lookup_row {
    std::string name;
    request_digest answered;
    request_digest asked;
    milliseconds later;
    bool known;
    friend void PrintTo(const lookup_row& row, std::ostream* out) { *out << row.name; }
};

class recent_response : public testing::TestWithParam<lookup_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, recent_response,
    testing::Values(lookup_row{"of_this_request", {1, 2}, {1, 2}, milliseconds(9'000), true},
                    lookup_row{"too_long_ago", {1, 2}, {1, 2}, milliseconds(11'000), false},
                    lookup_row{"of_another_request", {1, 2}, {1, 3}, milliseconds(0), false},
                    lookup_row{"of_another_in_its_place", {1, 2}, {7, 2}, milliseconds(0), false}),
    [](const auto& info) { return info.param.name; });

TEST_P(recent_response, is_remembered_for_a_short_time) {
    recent_responses answers;
    EXPECT_FALSE(answers.contains(GetParam().asked, start));
    answers.record(GetParam().answered, start);
    EXPECT_EQ(answers.contains(GetParam().asked, start + GetParam().later), GetParam().known);
}

} // namespace
} // namespace bamboostream::test
