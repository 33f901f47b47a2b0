// Tests how engine memory is divided between workspaces, without a network.

#include "bamboostream/Limits"
#include "test/platform/decision_helpers.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream {
namespace {

constexpr std::int64_t pool = 1'000'000;
/// Of each request.
constexpr std::int64_t size = 1'000;

share_key key_of(const std::string& workspace) {
    return make_share_key(service_id("s"), workspace_id(workspace));
}

/// What one or more workspaces hold, and how many requests they have just sent.
struct holder {
    int count = 1;
    std::int64_t held = 0;
    int asked = 1;
};
/// The workspaces of a pool of 1,000,000 tokens; the first one asks for 1,000 more, and is refused
/// if it holds more than its share and 7,000.
struct share_row {
    std::string name;
    std::vector<holder> holders;
    bool over_share;
    int priority = 1;
    std::int64_t output_tokens = 500;
};

class workspace_share : public testing::TestWithParam<share_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, workspace_share,
    testing::Values(
        share_row{"one_alone", {{1, 990'000}}, false},
        share_row{"not_short", {{1, 800'000}, {100, 900, 20}}, false},
        share_row{"short", {{1, 810'000}, {100, 950, 20}}, true},
        share_row{"equal", {{1, 500'000}, {1, 500'000}}, false},
        share_row{"a_few_requests_above_the_share", {{1, 504'000}, {1, 490'000}}, false},
        share_row{"more_than_the_memory", {{3, 360'000}}, false},
        share_row{"large", {{1, 620'000}, {1, 400'000}}, true},
        share_row{"small_beside_a_large_one", {{1, 100'000}, {1, 950'000}}, false},
        share_row{"what_others_leave", {{1, 540'000}, {10, 45'000}}, false},
        share_row{"more_than_many_small_ones_leave", {{1, 580'000}, {50, 9'000}}, true},
        share_row{"nothing_held", {{1, 0}, {200, 4'900}}, false},
        share_row{"others_hold_nothing", {{1, 20'000}, {100, 9'800}, {2'000, 0}}, true},
        share_row{"others_stopped_asking", {{1, 620'000}, {1, 400'000, 0}}, false},
        share_row{"some_stopped_asking", {{1, 500'000}, {1, 300'000, 0}, {1, 220'000}}, true},
        share_row{"urgent_while_the_rest_suffices", {{1, 640'000}, {100, 3'000, 5}}, false, 0},
        share_row{"less_urgent_first", {{1, 640'000}, {100, 3'000, 5}}, true, 1},
        share_row{"urgent_when_needed", {{1, 640'000}, {100, 3'300, 5}}, true, 0},
        share_row{"brief", {{1, 640'000}, {1, 400'000}}, false, 1, 32},
        share_row{"brief_when_full", {{1, 640'000}, {1, 430'000}}, true, 1, 32}),
    [](const auto& info) { return info.param.name; });

// Guards against a workspace that is refused within its share, without need, or for no one.
TEST_P(workspace_share, is_max_min_fair) {
    workspace_shares shares;
    shares.set_chooses(service_id("s"), true, true, start - seconds(1));
    int index = 0;
    for (const holder& it : GetParam().holders) {
        for (int i = 0; i < it.count; ++i, ++index) {
            const share_key key = key_of(fmt::format("w-{}", index));
            shares.add(key, it.held);
            for (int asked = 0; asked < it.asked && index > 0; ++asked) {
                shares.check({key, size, 500, 0, pool * 10}, {}, start);
            }
        }
    }
    const share_request asked{key_of("w-0"), size, GetParam().output_tokens, GetParam().priority,
                              pool};
    EXPECT_EQ(shares.check(asked, {}, start).over_share, GetParam().over_share);
}

class workspace_shares_test : public testing::Test {
protected:
    /// A request of a workspace at `time` after the start.
    share_decision ask(const std::string& workspace, milliseconds time = {}) {
        return shares_.check({key_of(workspace), size, 500, 1, pool}, {}, start + time);
    }
    void hear(const std::string& peer, const std::string& workspace, std::int64_t held,
              milliseconds time = {}) {
        const workspace_holding report{key_of(workspace), held};
        shares_.hear(peer, {&report, 1}, start + time);
    }
    void choose_since(milliseconds time) {
        shares_.set_chooses(service_id("s"), true, false, start + time);
    }
    workspace_shares shares_;
};

// Guards against refusals by an instance that knows only some of the holdings, or that doesn't
// choose for others.
TEST_F(workspace_shares_test, refuse_nothing_before_reports_have_been_heard) {
    const auto is_over = [this](int ms) {
        ask("small", milliseconds(ms));
        return ask("large", milliseconds(ms)).over_share;
    };
    hear("a", "large", 1'010'000);
    EXPECT_FALSE(is_over(1'000));
    choose_since(milliseconds(1'000));
    EXPECT_FALSE(is_over(1'500));
    hear("a", "large", 1'010'000, milliseconds(1'500));
    EXPECT_FALSE(is_over(1'900));
    EXPECT_TRUE(is_over(1'910));
    shares_.set_chooses(service_id("s"), false, false, start + milliseconds(2'000));
    EXPECT_FALSE(is_over(2'000));
    shares_.set_chooses(service_id("s"), true, true, start + milliseconds(2'000));
    EXPECT_TRUE(is_over(2'500));
    choose_since(milliseconds(2'500));
    EXPECT_FALSE(is_over(2'900));
}

// Guards against memory that counts twice, or for ever, after an instance reports it or ends.
TEST_F(workspace_shares_test, count_the_latest_report_and_choices_since) {
    choose_since(milliseconds(-1'000));
    hear("a", "large", 500'000, milliseconds(-900));
    hear("b", "large", 200'000);
    shares_.add_expected("a", {key_of("large"), 90'000}, start);
    shares_.add(key_of("large"), 70'000);
    EXPECT_EQ(shares_.held(key_of("large"), start), 860'000);
    hear("a", "large", 600'000);
    EXPECT_EQ(shares_.held(key_of("large"), start), 870'000);
    hear("a", "large", 800'000, milliseconds(1'500));
    EXPECT_EQ(shares_.held(key_of("large"), start + milliseconds(2'100)), 870'000);
    ask("small", milliseconds(2'100));
    EXPECT_FALSE(ask("large", milliseconds(2'100)).over_share);
    hear("b", "large", 200'000, milliseconds(2'100));
    EXPECT_TRUE(ask("large", milliseconds(2'100)).over_share);
    EXPECT_EQ(shares_.over_share(start + milliseconds(2'100)), 1u);
    // Both reports expire.
    EXPECT_FALSE(ask("large", milliseconds(4'200)).over_share);
}

// Guards against a share that is kept for a workspace that no longer asks, and against a duration
// of refusals that isn't the workspace's own.
TEST_F(workspace_shares_test, are_for_those_that_ask) {
    shares_.set_chooses(service_id("s"), true, true, start - seconds(1));
    shares_.add(key_of("large"), 1'010'000);
    ask("small");
    EXPECT_EQ(ask("large").overload, duration{});
    EXPECT_EQ(ask("large", milliseconds(800)).overload, milliseconds(800));
    EXPECT_TRUE(ask("large", milliseconds(3'000)).over_share);
    EXPECT_FALSE(ask("large", milliseconds(3'010)).over_share);
}

} // namespace
} // namespace bamboostream
