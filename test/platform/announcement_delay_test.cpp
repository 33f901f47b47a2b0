// Tests the measurement of how late announcements of other instances arrive. No network is used.

#include "bamboostream/Gateway"

#include <gtest/gtest.h>

namespace bamboostream {
namespace {

constexpr std::int64_t incarnation = 1;
constexpr milliseconds clock_offset{777'000};

/// A series of announcements of one announcer.
struct announcement_row {
    std::string name;
    /// When each was sent, and its transit time.
    std::vector<std::pair<milliseconds, milliseconds>> sent_and_transit;
    /// The delay that must be added to the age of the last one.
    milliseconds excess;
    friend void PrintTo(const announcement_row& row, std::ostream* out) { *out << row.name; }
};

class announcement_delay_test : public testing::TestWithParam<announcement_row> {};

using ms = milliseconds;

INSTANTIATE_TEST_SUITE_P(
    table, announcement_delay_test,
    testing::Values(
        announcement_row{"first_one", {{ms(0), ms(5'000)}}, ms(0)},
        announcement_row{"steady", {{ms(0), ms(3)}, {ms(300), ms(3)}}, ms(0)},
        announcement_row{"relay_frozen", {{ms(0), ms(3)}, {ms(300), ms(4'003)}}, ms(4'000)},
        announcement_row{
            "relay_awake_again", {{ms(0), ms(3)}, {ms(300), ms(4'003)}, {ms(4'300), ms(3)}}, ms(0)},
        announcement_row{
            "shorter_way", {{ms(0), ms(50)}, {ms(300), ms(3)}, {ms(600), ms(53)}}, ms(50)},
        announcement_row{"path_longer_for_good",
                         {{ms(0), ms(3)}, {ms(61'000), ms(40)}, {ms(122'000), ms(40)}},
                         ms(0)}),
    [](const auto& info) { return info.param.name; });

// A relay freezes with announcements in its buffers and forwards them when it resumes. An instance
// that took them as fresh would use outdated information for as long as the relay was frozen.
TEST_P(announcement_delay_test, time_under_way_counts) {
    announcement_delay delay;
    milliseconds excess{};
    for (const auto& [sent, transit] : GetParam().sent_and_transit) {
        excess = delay.excess_over_min("reader", incarnation, sent, clock_offset + sent + transit);
    }
    EXPECT_EQ(excess, GetParam().excess);
}

// The clock of a restarted announcer has another origin.
TEST(announcement_delay_incarnation_test, each_incarnation_of_an_announcer_is_measured_anew) {
    announcement_delay delay;
    delay.excess_over_min("reader", incarnation, ms(900'000), ms(1'000'000));
    EXPECT_EQ(delay.excess_over_min("reader", incarnation + 1, ms(10), ms(1'000'300)), ms(0));
    EXPECT_EQ(delay.excess_over_min("other", incarnation, ms(10), ms(1'000'300)), ms(0));
}

// A damaged announcement may contain any time. At worst it counts as old; the next valid one is
// measured correctly.
TEST(announcement_delay_incarnation_test, an_absurd_clock_does_no_harm) {
    announcement_delay delay;
    delay.excess_over_min("reader", incarnation, ms(1'000), ms(2'000));
    EXPECT_GE(delay.excess_over_min("reader", incarnation, milliseconds::min(), ms(2'300)), ms(0));
    EXPECT_EQ(delay.excess_over_min("reader", incarnation, ms(1'600), ms(2'600)), ms(0));
    EXPECT_EQ(delay.excess_over_min("reader", incarnation, milliseconds::max(), ms(2'900)), ms(0));
}

} // namespace
} // namespace bamboostream
