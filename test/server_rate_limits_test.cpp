// What is known of the limits that backend servers name on the requests a second that they take.

#include "bamboostream/Limits"
#include "test/platform/decision_helpers.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace bamboostream {
namespace {

server_rate_limit says(std::optional<double> per_second, milliseconds at) {
    return {backend_id("i-1"), 7, per_second, start + at};
}

enum class word_kind : std::uint8_t { response, told };

struct word {
    word_kind kind;
    std::optional<double> per_second;
    milliseconds seen_at;
    /// Of the request; for `told` of no meaning.
    milliseconds sent_at;
    rate_limit_change change;
};

struct history {
    std::string name;
    std::vector<word> words;
};

class rate_limit_history : public testing::TestWithParam<history> {};

constexpr auto seen = word_kind::response;
constexpr auto told = word_kind::told;
constexpr auto named = rate_limit_change::named;
constexpr auto changed = rate_limit_change::changed;
constexpr auto ended = rate_limit_change::ended;
constexpr auto nothing = rate_limit_change::none;

milliseconds ms(int count) {
    return milliseconds(count);
}

INSTANTIATE_TEST_SUITE_P(
    table, rate_limit_history,
    testing::Values(
        history{"holds_until_a_later_request_is_answered_without_it",
                {{seen, 2.4, ms(100), ms(90), named},
                 {seen, {}, ms(110), ms(95), nothing},
                 {seen, 2.4, ms(150), ms(140), nothing},
                 {seen, {}, ms(250), ms(240), ended}}},
        history{"changes_with_each_response",
                {{seen, 8.0, ms(100), ms(90), named}, {seen, 1.5, ms(200), ms(90), changed}}},
        history{"zero_is_a_limit", {{seen, 0.0, ms(100), ms(90), named}}},
        history{"is_told", {{told, 2.4, ms(100), {}, named}, {told, {}, ms(300), {}, ended}}},
        history{"is_not_brought_back_by_older_news",
                {{seen, 2.4, ms(100), ms(90), named},
                 {seen, {}, ms(250), ms(240), ended},
                 {told, 2.4, ms(180), {}, nothing}}},
        history{"news_of_the_same_limit_does_not_renew_it",
                {{seen, 2.4, ms(100), ms(90), named},
                 {told, 2.4, ms(400), {}, nothing},
                 {seen, {}, ms(410), ms(200), ended}}},
        history{"an_end_that_is_told_first_stands",
                {{told, {}, ms(250), {}, nothing}, {told, 2.4, ms(180), {}, nothing}}}),
    [](const auto& info) { return info.param.name; });

// Guards against a limit that is dropped by an older response, or brought back by older news.
TEST_P(rate_limit_history, follows_the_newest_word) {
    server_rate_limits limits;
    for (const word& it : GetParam().words) {
        const auto state = says(it.per_second, it.seen_at);
        const auto change =
            it.kind == seen ? limits.observe(state, start + it.sent_at) : limits.merge(state);
        EXPECT_EQ(change, it.change) << to_milliseconds(it.seen_at);
    }
}

TEST(server_rate_limits, forgets_ended_limits_and_servers_that_are_gone) {
    server_rate_limits limits;
    limits.observe(says(2.4, ms(0)), start);
    EXPECT_TRUE(limits.any());
    limits.expire(start + seconds(100));
    EXPECT_TRUE(limits.find(backend_id("i-1")));
    limits.observe(says({}, ms(200)), start + ms(100));
    EXPECT_FALSE(limits.any());
    EXPECT_EQ(limits.all().size(), 1u);
    limits.expire(start + seconds(100));
    EXPECT_TRUE(limits.all().empty());
    limits.observe(says(2.4, ms(300)), start);
    limits.forget(backend_id("i-1"));
    EXPECT_FALSE(limits.any());
}

} // namespace
} // namespace bamboostream
