// How late tellings of other instances are, without a network.

#include "bamboostream/Gateway"

#include <gtest/gtest.h>

namespace bamboostream {
namespace {

constexpr std::int64_t life = 1;
constexpr milliseconds apart{777'000};

/// One telling: when it was told and how long it was under way.
struct telling_row {
    std::string name;
    std::vector<std::pair<milliseconds, milliseconds>> told_and_under_way;
    /// What must be added to the age of the last one.
    milliseconds late;
    friend void PrintTo(const telling_row& row, std::ostream* out) { *out << row.name; }
};

class announcement_delay_test : public testing::TestWithParam<telling_row> {};

using ms = milliseconds;

INSTANTIATE_TEST_SUITE_P(
    table, announcement_delay_test,
    testing::Values(
        telling_row{"first_one", {{ms(0), ms(5'000)}}, ms(0)},
        telling_row{"steady", {{ms(0), ms(3)}, {ms(300), ms(3)}}, ms(0)},
        telling_row{"relay_frozen", {{ms(0), ms(3)}, {ms(300), ms(4'003)}}, ms(4'000)},
        telling_row{
            "relay_awake_again", {{ms(0), ms(3)}, {ms(300), ms(4'003)}, {ms(4'300), ms(3)}}, ms(0)},
        telling_row{"shorter_way", {{ms(0), ms(50)}, {ms(300), ms(3)}, {ms(600), ms(53)}}, ms(50)},
        telling_row{"path_longer_for_good",
                    {{ms(0), ms(3)}, {ms(61'000), ms(40)}, {ms(122'000), ms(40)}},
                    ms(0)}),
    [](const auto& info) { return info.param.name; });

// A relay freezes with tellings in its buffers and hands them on when it wakes. An instance that
// took them as fresh would believe for as long as that what has changed since.
TEST_P(announcement_delay_test, time_under_way_counts) {
    announcement_delay delay;
    milliseconds late{};
    for (const auto& [told, under_way] : GetParam().told_and_under_way) {
        late = delay.excess_over_min("reader", life, told, apart + told + under_way);
    }
    EXPECT_EQ(late, GetParam().late);
}

// A teller that has started again counts from another moment.
TEST(telling_delay_lives_test, each_life_of_a_teller_is_measured_anew) {
    announcement_delay delay;
    delay.excess_over_min("reader", life, ms(900'000), ms(1'000'000));
    EXPECT_EQ(delay.excess_over_min("reader", life + 1, ms(10), ms(1'000'300)), ms(0));
    EXPECT_EQ(delay.excess_over_min("other", life, ms(10), ms(1'000'300)), ms(0));
}

// A damaged telling says any moment. It counts as old at worst, and the next good one is right.
TEST(telling_delay_lives_test, an_absurd_clock_does_no_harm) {
    announcement_delay delay;
    delay.excess_over_min("reader", life, ms(1'000), ms(2'000));
    EXPECT_GE(delay.excess_over_min("reader", life, milliseconds::min(), ms(2'300)), ms(0));
    EXPECT_EQ(delay.excess_over_min("reader", life, ms(1'600), ms(2'600)), ms(0));
    EXPECT_EQ(delay.excess_over_min("reader", life, milliseconds::max(), ms(2'900)), ms(0));
}

} // namespace
} // namespace bamboostream
