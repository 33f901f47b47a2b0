// Tests to which of the requests that were open on crashed servers the crashes are attributed, and
// when a contested request may be sent as a trial.

#include "bamboostream/Limits"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream::test {
namespace {

const time_point start = time_point{} + std::chrono::hours(1);

/// A crash and the requests that were open on the server: `I` for an innocent request that all
/// callers send, `H`, `J` and `K` for harmful ones, and small letters for requests that were open
/// on one server only. A request that is followed by `'` was on trial, one that is followed by a
/// number had so many attempts open.
struct crash {
    /// Negative if the evidence has been cleared by an answer.
    int at_ms;
    std::string_view open;
};

/// The verdict on a request after a series of crashes, and whether its trial is due at that time.
struct expectation {
    char request;
    quarantine_verdict verdict;
    bool trial_due = false;
};

struct attribution_row {
    std::string name;
    std::vector<crash> crashes;
    /// Requests that had been answered before the first crash.
    std::string_view answered_before;
    /// Requests that are answered after the last crash.
    std::string_view answered_after;
    std::vector<expectation> expected;
    friend void PrintTo(const attribution_row& row, std::ostream* out) { *out << row.name; }
};

constexpr auto not_suspected = quarantine_verdict::free;
constexpr auto deferred = quarantine_verdict::deferred;
constexpr auto suspected = quarantine_verdict::suspected;
constexpr auto contested = quarantine_verdict::contested;
constexpr auto confirmed = quarantine_verdict::confirmed;

std::vector<attribution_row> rows() {
    return {
        {"shared_by_all_until_the_fourth_crash",
         {{0, "HI"}, {300, "HI"}, {600, "JI"}, {900, "HI"}},
         "",
         "",
         {{'I', contested, true}, {'H', contested, false}, {'J', not_suspected}}},
        {"the_answer_to_a_trial_confirms_the_other",
         {{0, "HI"}, {300, "HI"}, {600, "JI"}, {900, "HI"}},
         "",
         "I",
         {{'I', not_suspected}, {'H', confirmed}, {'J', not_suspected}}},
        {"a_crash_without_it_releases_the_innocent",
         {{0, "HI"}, {300, "HI"}, {600, "JI"}, {900, "HI"}, {1'200, "H"}},
         "",
         "",
         {{'I', suspected, true}, {'H', confirmed}}},
        {"answered_before_it_is_not_held",
         {{0, "HI"}, {300, "HI"}, {600, "JI"}, {900, "HI"}},
         "I",
         "",
         {{'I', not_suspected}, {'H', confirmed}}},
        {"answered_before_and_three_harmful_ones_end_one_server_each",
         {{0, "HI"}, {300, "JI"}, {600, "KI"}},
         "I",
         "",
         {{'I', contested, true}}},
        {"answered_before_and_one_of_three_returns",
         {{0, "HI"}, {300, "JI"}, {600, "KI"}, {900, "H"}},
         "I",
         "",
         {{'I', not_suspected}}},
        {"answered_before_and_it_crashes_new_software",
         {{0, "Ia"}, {300, "Ib"}, {600, "Ic"}},
         "I",
         "",
         {{'I', contested, true}}},
        {"answered_before_and_its_trial_crashes_a_server",
         {{0, "Ia"}, {300, "Ib"}, {600, "Ic"}, {900, "I'd"}},
         "I",
         "",
         {{'I', confirmed}}},
        {"a_trial_beside_a_harmful_request_proves_nothing",
         {{0, "HI"}, {300, "JI"}, {600, "KI"}, {900, "I'J"}, {1'200, "J"}},
         "I",
         "",
         {{'I', not_suspected}, {'J', confirmed}}},
        {"beside_requests_that_were_open_on_one_server_only",
         {{0, "Hab"}, {300, "Hcd"}, {600, "Hef"}},
         "",
         "",
         {{'H', confirmed}}},
        {"a_rival_that_may_return_delays_the_trial",
         {{0, "HJ"}, {300, "HJ"}, {600, "Ha"}},
         "",
         "",
         {{'H', contested, false}, {'J', not_suspected}}},
        {"a_failed_trial_delays_the_next_and_the_rival_is_tried",
         {{0, "HJ"}, {300, "HJ"}, {600, "HJ"}, {900, "H'J"}},
         "",
         "",
         {{'H', contested, false}, {'J', contested, true}}},
        {"a_failed_trial_is_not_explained_by_a_request_that_is_confirmed_later",
         {{0, "HJ"}, {300, "HJ"}, {600, "HJ"}, {900, "H'J"}, {1'200, "J"}},
         "",
         "",
         {{'H', contested, false}, {'J', confirmed}}},
        {"an_answer_that_cleared_older_evidence_counts_as_an_earlier_answer",
         {{-20'000, "Ia"}, {0, "HI"}, {300, "HI"}, {600, "JI"}, {900, "HI"}},
         "",
         "",
         {{'I', not_suspected}, {'H', confirmed}}},
        {"many_callers_send_it_and_each_of_the_others_ends_one_server",
         {{900, "HI3"}, {1'200, "I3J"}, {1'500, "KI"}, {1'800, "I2a"}},
         "",
         "",
         {{'I', contested, true}, {'H', deferred}, {'J', deferred}, {'K', deferred}}},
        {"many_callers_send_it_and_two_others_end_two_servers_each",
         {{900, "HI3"}, {1'200, "HI3"}, {1'500, "JI2"}, {1'800, "JI2"}},
         "",
         "",
         {{'I', contested, true}, {'H', deferred}, {'J', deferred}}},
        {"many_callers_send_it_and_it_is_answered",
         {{900, "HI3"}, {1'200, "JI2"}, {1'500, "KI2"}},
         "",
         "I",
         {{'I', not_suspected}, {'H', not_suspected}, {'J', not_suspected}}},
        {"many_callers_send_it_and_its_trial_meets_a_new_request",
         {{900, "HI3"}, {1'200, "JI2"}, {1'500, "KI2"}, {1'800, "I'a"}},
         "",
         "",
         {{'I', contested, true}, {'K', deferred}}},
        {"many_callers_send_it_and_its_trials_crash_two_servers",
         {{0, "HI3"}, {150, "JI2"}, {300, "KI2"}, {450, "I'"}, {600, "I'"}},
         "",
         "",
         {{'I', confirmed}, {'H', not_suspected}, {'J', not_suspected}, {'K', not_suspected}}},
        {"many_callers_send_it_and_each_trial_crashes_a_server_beside_others",
         {{0, "HI3"},
          {200, "JI2"},
          {400, "KI2"},
          {600, "I'a"},
          {800, "I'b"},
          {1'000, "I'c"},
          {1'200, "I'd"},
          {1'400, "I'e"},
          {1'600, "I'f"}},
         "",
         "",
         {{'I', confirmed}}},
        {"many_callers_send_two_of_them",
         {{900, "H3I4"}, {1'200, "H3I4"}, {1'500, "H3I4"}, {1'800, "I2J"}},
         "",
         "",
         {{'I', contested, true}, {'H', contested, false}, {'J', deferred}}},
        {"many_callers_send_it_and_it_was_answered_before",
         {{900, "HI3"}, {1'200, "JI2"}, {1'500, "KI2"}},
         "I",
         "",
         {{'I', not_suspected}, {'H', not_suspected}}},
        {"many_callers_sent_it_and_others_explain_its_crashes",
         {{900, "HI3"}, {1'200, "HI3"}, {1'500, "HI3"}, {1'800, "H"}},
         "",
         "",
         {{'I', suspected, true}, {'H', confirmed}}},
    };
}

/// The order of the requests' digests.
using digest_order = std::string;

std::vector<digest_order> digest_orders() {
    std::vector<digest_order> out;
    std::string order = "HIJK";
    do {
        out.push_back(order);
    } while (std::next_permutation(order.begin(), order.end()));
    return out;
}

request_digest digest(const digest_order& order, char request) {
    const std::size_t place = order.find(request);
    const auto value = place == std::string::npos ? static_cast<std::uint64_t>(request) : place;
    return {value, value};
}

bool is_number(char c) {
    return c >= '0' && c <= '9';
}

request_quarantine run(const attribution_row& row, const digest_order& order) {
    request_quarantine out;
    std::uint64_t server = 0;
    for (const crash& it : row.crashes) {
        ++server;
        for (std::size_t i = 0; i < it.open.size(); ++i) {
            if (it.open[i] == '\'' || is_number(it.open[i])) {
                continue;
            }
            crash_evidence evidence;
            evidence.request = digest(order, it.open[i]);
            evidence.server = server;
            evidence.caller = evidence.request.low;
            evidence.at = start + milliseconds(it.at_ms);
            evidence.answering = true;
            evidence.answered_before = row.answered_before.find(it.open[i]) != std::string::npos;
            evidence.cleared = it.at_ms < 0;
            const char mark = i + 1 < it.open.size() ? it.open[i + 1] : ' ';
            evidence.on_trial = mark == '\'';
            evidence.attempts =
                is_number(mark) ? static_cast<std::uint16_t>((1 << (mark - '0')) - 1) : 0;
            out.add_evidence(evidence, evidence.at);
        }
    }
    out.settle(start + seconds(2));
    for (const char request : row.answered_after) {
        out.clear(digest(order, request), start + seconds(2));
    }
    return out;
}

class crash_attribution_case : public testing::TestWithParam<attribution_row> {};

INSTANTIATE_TEST_SUITE_P(table, crash_attribution_case, testing::ValuesIn(rows()),
                         [](const auto& info) { return info.param.name; });

// Guards against holding an innocent request that is open on most servers in place of the harmful
// requests that crash them, and against trials that crash a server without need.
TEST_P(crash_attribution_case, holds_the_same_whatever_the_digests) {
    for (const digest_order& order : digest_orders()) {
        const request_quarantine quarantine = run(GetParam(), order);
        for (const expectation& it : GetParam().expected) {
            const request_digest request = digest(order, it.request);
            EXPECT_EQ(quarantine.verdict(request), it.verdict) << it.request << " in " << order;
            const suspect_state* held = quarantine.find_suspect(request);
            const bool due = held != nullptr && held->trial_due <= start + seconds(2);
            EXPECT_EQ(due, it.trial_due) << it.request << " in " << order;
        }
    }
}

// Guards against confirming a request, and ending its open attempts, because the evidence against
// another one on the same server arrives a moment later.
TEST(crash_attribution_evidence, of_other_requests_may_arrive_later) {
    const auto open_on = [](std::uint64_t request, std::uint64_t server) {
        crash_evidence out;
        out.request = {request, request};
        out.server = server;
        out.caller = request;
        out.at = start + milliseconds(300 * server);
        return out;
    };
    const request_digest first{1, 1};
    request_quarantine quarantine;
    for (std::uint64_t server = 1; server <= 3; ++server) {
        const crash_evidence it = open_on(1, server);
        if (server < 3) {
            quarantine.add_evidence(open_on(2, server), it.at);
        }
        quarantine.add_evidence(it, it.at);
    }
    EXPECT_EQ(quarantine.verdict(first), contested);
    request_quarantine alone = quarantine;
    const crash_evidence late = open_on(3, 3);
    quarantine.add_evidence(late, late.at + milliseconds(50));
    quarantine.settle(late.at + seconds(1));
    EXPECT_EQ(quarantine.verdict(first), contested);
    alone.settle(late.at + seconds(1));
    EXPECT_EQ(alone.verdict(first), confirmed) << "no other request was open on the third server";
}

// Guards against confirming a request by evidence that was found late, before the evidence against
// the others on the same servers has arrived.
TEST(crash_attribution_evidence, that_is_found_late_settles_late) {
    const quarantine_rules rules;
    request_quarantine quarantine;
    const time_point found = start + seconds(5);
    for (std::uint64_t server = 1; server <= 3; ++server) {
        crash_evidence it;
        it.request = {1, 1};
        it.server = server;
        it.at = start + milliseconds(300 * server);
        it.found_at = found;
        quarantine.add_evidence(it, found);
    }
    const request_digest request{1, 1};
    EXPECT_EQ(quarantine.verdict(request), contested);
    EXPECT_EQ(quarantine.find_suspect(request)->trial_due, found + rules.settling_time);
    quarantine.settle(found + rules.settling_time);
    EXPECT_EQ(quarantine.verdict(request), confirmed);
}

// Guards against rivals that wait for a trial which nobody sends.
TEST(crash_attribution_trial, of_a_request_that_many_callers_send_delays_the_others_for_a_while) {
    const quarantine_rules rules;
    attribution_row crashes;
    crashes.crashes = {{1'000, "HI3"}, {1'300, "JI2"}, {1'600, "KI2"}};
    request_quarantine quarantine = run(crashes, "HIJK");
    const request_digest rival = digest("HIJK", 'H');
    const time_point until = start + milliseconds(1'600) + rules.settling_time + rules.deferral;
    ASSERT_NE(quarantine.find_suspect(rival), nullptr);
    EXPECT_EQ(quarantine.find_suspect(rival)->trial_due, until);
    quarantine.settle(until);
    EXPECT_EQ(quarantine.verdict(rival), not_suspected);
}

// Guards against a contested request that no answer can ever clear.
TEST(crash_attribution_trial, of_each_contested_request_becomes_due) {
    const quarantine_rules rules;
    const request_quarantine quarantine = run(rows().front(), "HIJK");
    const suspect_state* harmful = quarantine.find_suspect(digest("HIJK", 'H'));
    ASSERT_NE(harmful, nullptr);
    EXPECT_EQ(harmful->trial_due, start + milliseconds(900) + rules.trial_delay);
    EXPECT_EQ(harmful->rivals, std::vector{digest("HIJK", 'I')});
}

} // namespace
} // namespace bamboostream::test
