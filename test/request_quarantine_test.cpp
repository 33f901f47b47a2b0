// Tests which requests are held because they crash the backend servers that run them.

#include "bamboostream/Limits"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

namespace bamboostream::test {
namespace {

const time_point start = time_point{} + std::chrono::hours(1);

request_digest digest(std::uint64_t which) {
    return {which, which};
}

crash_evidence evidence_at(std::uint64_t request, std::uint64_t server, int at_ms,
                           bool answering = true) {
    crash_evidence out;
    out.request = digest(request);
    out.server = server;
    out.caller = request;
    out.at = start + milliseconds(at_ms);
    out.answering = answering;
    return out;
}

struct quarantine_row {
    std::string name;
    std::vector<crash_evidence> evidence;
    std::vector<std::uint64_t> held;
};

std::vector<quarantine_row> rows() {
    return {
        {"two_servers", {evidence_at(1, 1, 0), evidence_at(1, 2, 500)}, {}},
        {"three_servers",
         {evidence_at(1, 1, 0), evidence_at(1, 2, 500), evidence_at(1, 3, 900)},
         {1}},
        {"one_server_reported_three_times",
         {evidence_at(1, 1, 0), evidence_at(1, 1, 500), evidence_at(1, 1, 900)},
         {}},
        {"three_servers_lost_at_one_moment",
         {evidence_at(1, 1, 0), evidence_at(1, 2, 5), evidence_at(1, 3, 90)},
         {}},
        {"three_requests_on_three_servers",
         {evidence_at(1, 1, 0), evidence_at(2, 2, 500), evidence_at(3, 3, 900)},
         {}},
        {"a_bystander_of_two_crashes_with_one_of_its_own",
         {evidence_at(1, 1, 0), evidence_at(1, 2, 500), evidence_at(1, 3, 900),
          evidence_at(2, 1, 0), evidence_at(2, 2, 500), evidence_at(2, 9, 1'300),
          evidence_at(1, 4, 1'700)},
         {1}},
        {"a_bystander_that_follows_it_to_a_fourth_server",
         {evidence_at(1, 1, 0), evidence_at(1, 2, 500), evidence_at(1, 3, 900),
          evidence_at(1, 4, 1'300), evidence_at(2, 2, 500), evidence_at(2, 3, 900),
          evidence_at(2, 4, 1'300)},
         {1}},
        {"a_bystander_that_waited_for_its_turn_on_the_same_servers",
         {evidence_at(1, 1, 0, false), evidence_at(1, 2, 500, false), evidence_at(1, 3, 900, false),
          evidence_at(2, 1, 0), evidence_at(2, 2, 500), evidence_at(2, 3, 900)},
         {2}},
        {"two_that_met_on_three_servers_and_go_on_in_turns",
         {evidence_at(1, 1, 0), evidence_at(1, 2, 500), evidence_at(1, 3, 900),
          evidence_at(2, 1, 0), evidence_at(2, 2, 500), evidence_at(2, 3, 900),
          evidence_at(2, 4, 4'000), evidence_at(1, 5, 5'000)},
         {1, 2}},
        {"a_bystander_of_three_crashes_and_of_a_fourth_by_the_same",
         {evidence_at(1, 1, 0), evidence_at(1, 2, 500), evidence_at(1, 3, 900),
          evidence_at(1, 4, 1'300), evidence_at(1, 5, 1'700), evidence_at(2, 1, 0),
          evidence_at(2, 2, 500), evidence_at(2, 3, 900), evidence_at(2, 4, 1'300)},
         {1}},
        {"all_callers_send_one_of_them_while_two_others_end_servers",
         {evidence_at(1, 1, 0), evidence_at(1, 2, 300), evidence_at(1, 3, 600),
          evidence_at(1, 4, 900), evidence_at(2, 1, 0), evidence_at(2, 2, 300),
          evidence_at(3, 3, 600), evidence_at(2, 4, 900)},
         {1, 2}},
        {"all_callers_send_one_of_them_and_another_ends_a_server_alone",
         {evidence_at(1, 1, 0), evidence_at(1, 2, 300), evidence_at(1, 3, 600),
          evidence_at(1, 4, 900), evidence_at(2, 1, 0), evidence_at(2, 2, 300),
          evidence_at(3, 3, 600), evidence_at(2, 4, 900), evidence_at(2, 5, 1'200)},
         {2}},
        {"two_that_end_servers_of_their_own",
         {evidence_at(1, 1, 0), evidence_at(1, 2, 500), evidence_at(1, 3, 900),
          evidence_at(2, 4, 0), evidence_at(2, 5, 500), evidence_at(2, 6, 900)},
         {1, 2}},
    };
}

std::vector<std::uint64_t> held_of(const request_quarantine& quarantine) {
    std::vector<std::uint64_t> out;
    for (std::uint64_t request = 1; request <= 3; ++request) {
        if (quarantine.holds(digest(request))) {
            out.push_back(request);
        }
    }
    return out;
}

class quarantine : public testing::TestWithParam<quarantine_row> {};

INSTANTIATE_TEST_SUITE_P(table, quarantine, testing::ValuesIn(rows()),
                         [](const auto& info) { return info.param.name; });

// Guards against instances that hold different requests because evidence arrived in a different
// order or more than once.
TEST_P(quarantine, holds_the_same_in_any_order_and_with_repeats) {
    std::vector<crash_evidence> evidence = GetParam().evidence;
    std::mt19937 random(1);
    std::uint64_t fingerprint = 0;
    for (int i = 0; i < 20; ++i) {
        request_quarantine quarantine;
        for (const crash_evidence& it : evidence) {
            quarantine.add_evidence(it, start + seconds(6));
            quarantine.add_evidence(it, start + seconds(6));
        }
        EXPECT_EQ(held_of(quarantine), GetParam().held);
        EXPECT_TRUE(i == 0 || quarantine.fingerprint() == fingerprint);
        fingerprint = quarantine.fingerprint();
        std::shuffle(evidence.begin(), evidence.end(), random);
    }
}

request_quarantine with_one_held(quarantine_rules rules = {}) {
    request_quarantine out(rules);
    for (std::uint64_t server = 1; server <= 3; ++server) {
        out.add_evidence(evidence_at(1, server, static_cast<int>(server) * 400),
                         start + seconds(2));
    }
    return out;
}

// Guards against old evidence that arrives again and holds a request which has been answered since.
TEST(quarantine_evidence, that_was_cleared_stays_cleared) {
    request_quarantine quarantine = with_one_held();
    EXPECT_TRUE(quarantine.clear(digest(1), start + seconds(3)));
    EXPECT_FALSE(quarantine.holds(digest(1)));
    EXPECT_FALSE(quarantine.add_evidence(evidence_at(1, 2, 800), start + seconds(4)));
    EXPECT_FALSE(quarantine.holds(digest(1)));
    quarantine.add_evidence(evidence_at(1, 7, 5'000), start + seconds(6));
    EXPECT_FALSE(quarantine.holds(digest(1))) << "one crash since it was answered";
}

// Guards against an instance that learns of the response before it learns of the crashes.
TEST(quarantine_evidence, that_arrives_as_cleared_is_never_counted) {
    request_quarantine quarantine;
    for (std::uint64_t server = 1; server <= 3; ++server) {
        crash_evidence cleared = evidence_at(1, server, static_cast<int>(server) * 400);
        cleared.cleared = true;
        quarantine.add_evidence(cleared, start + seconds(2));
        cleared.cleared = false;
        quarantine.add_evidence(cleared, start + seconds(2));
    }
    EXPECT_FALSE(quarantine.holds(digest(1)));
}

TEST(quarantine_evidence, expires) {
    request_quarantine quarantine = with_one_held();
    quarantine.add_evidence(evidence_at(2, 1, 0), start + seconds(2));
    quarantine.expire(start + seconds(125));
    EXPECT_TRUE(quarantine.holds(digest(1)));
    EXPECT_EQ(quarantine.size(), 3u) << "the evidence of a single server has expired";
    EXPECT_LE(quarantine.held_for(digest(1), start + seconds(125)), std::chrono::minutes(28));
    quarantine.expire(start + std::chrono::minutes(31));
    EXPECT_FALSE(quarantine.any());
    EXPECT_EQ(quarantine.fingerprint(), 0u);
}

// Guards against a caller that crashes one server every few minutes indefinitely.
TEST(quarantine_evidence, of_two_servers_lasts_as_long_as_a_request_is_held) {
    request_quarantine quarantine;
    for (int attempt = 0; attempt < 3; ++attempt) {
        const int at_ms = 100'000 * attempt;
        quarantine.add_evidence(evidence_at(1, static_cast<std::uint64_t>(attempt), at_ms),
                                start + milliseconds(at_ms));
        quarantine.expire(start + milliseconds(at_ms + 99'000));
    }
    EXPECT_TRUE(quarantine.holds(digest(1)));
    quarantine.expire(start + std::chrono::minutes(34));
    EXPECT_FALSE(quarantine.any());
}

// Guards against instances that send each other all evidence repeatedly because theirs differs in
// evidence that affects no decision.
TEST(quarantine_evidence, against_requests_of_one_server_is_not_compared) {
    request_quarantine one = with_one_held();
    request_quarantine other = with_one_held();
    for (std::uint64_t i = 0; i < 1'000; ++i) {
        crash_evidence single = evidence_at(100 + i, 50, 2'000 + static_cast<int>(i));
        single.caller = 1;
        one.add_evidence(single, start + seconds(4));
    }
    EXPECT_EQ(one.fingerprint(), other.fingerprint());
    EXPECT_EQ(one.suspicious_evidence().size(), 3u);
}

// Guards against instances that each know of their own attempts only.
TEST(quarantine_evidence, of_attempts_is_merged) {
    request_quarantine one;
    request_quarantine other;
    for (std::uint64_t server = 1; server <= 3; ++server) {
        crash_evidence crash = evidence_at(1, server, static_cast<int>(server) * 400);
        crash.attempts = 0x1001;
        one.add_evidence(crash, start + seconds(2));
        crash.attempts = 0x0102;
        other.add_evidence(crash, start + seconds(2));
    }
    EXPECT_NE(one.fingerprint(), other.fingerprint());
    EXPECT_TRUE(one.add_evidence(other.evidence(), start + seconds(2)));
    EXPECT_TRUE(other.add_evidence(one.evidence(), start + seconds(2)));
    EXPECT_EQ(one.evidence().front().attempts, 0x1103);
    EXPECT_EQ(one.fingerprint(), other.fingerprint());
}

// Guards against a caller whose many requests evict the evidence against another caller's request.
TEST(quarantine_evidence, of_one_caller_is_bounded) {
    request_quarantine quarantine = with_one_held();
    for (std::uint64_t i = 0; i < 1'000; ++i) {
        crash_evidence other = evidence_at(100 + i, 50, 2'000);
        other.caller = 99;
        quarantine.add_evidence(other, start + seconds(3));
    }
    EXPECT_TRUE(quarantine.holds(digest(1)));
    EXPECT_EQ(quarantine.size(), 3u + quarantine_rules{}.max_evidence_per_caller);
}

} // namespace
} // namespace bamboostream::test
