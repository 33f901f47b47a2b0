// Tests the exchange, between instances, of evidence against requests that crash backend servers.

#include "test/platform/peer_group.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <utility>

namespace bamboostream::test {
namespace {

constexpr request_digest harmful{1, 2};

void add_evidence(peer_instance& by, std::uint64_t server, milliseconds ago) {
    const time_point now = monotonic_now();
    const crash_evidence evidence{harmful, server, 7, now - ago, true, false};
    by.forwarding.quarantine.add_local_evidence(evidence, now);
}

std::size_t holding(const peer_group& group) {
    return static_cast<std::size_t>(
        std::count_if(group.all.begin(), group.all.end(),
                      [](const auto& it) { return it->forwarding.quarantine.holds(harmful); }));
}

void start_all(peer_group& group) {
    for (const auto& it : group.all) {
        it->quarantine->start();
    }
}

// Guards against instances that count only the crashes which they have seen themselves.
TEST(quarantine_exchange_test, ends_seen_by_three_instances_hold_the_request_at_all) {
    peer_group group(3, 3);
    start_all(group);
    group.run_for(milliseconds(20));
    add_evidence(*group.all[0], 1, milliseconds(1'500));
    add_evidence(*group.all[4], 2, milliseconds(800));
    add_evidence(*group.all[8], 3, milliseconds(0));
    group.run_for(milliseconds(60));
    EXPECT_EQ(holding(group), group.all.size());
}

// Guards against an instance that was unreachable when the evidence was announced.
TEST(quarantine_exchange_test, an_instance_that_missed_the_announcement_asks_for_it) {
    peer_group group(2, 2);
    for (std::uint64_t server = 1; server <= 3; ++server) {
        add_evidence(*group.all[0], server, milliseconds(500 * server));
    }
    EXPECT_EQ(holding(group), 1u);
    start_all(group);
    // The evidence found before the start is announced now; the last instance receives none of it.
    group.all.back()->drops_harm_reports = true;
    group.run_for(milliseconds(100));
    EXPECT_EQ(holding(group), group.all.size() - 1);
    group.all.back()->drops_harm_reports = false;
    group.run_for(milliseconds(1'500));
    EXPECT_EQ(holding(group), group.all.size());
}

// Guards against a request that stays refused although one instance has seen it answered.
TEST(quarantine_exchange_test, an_answer_at_one_instance_releases_the_request_at_all) {
    peer_group group(2, 2);
    start_all(group);
    for (std::uint64_t server = 1; server <= 3; ++server) {
        add_evidence(*group.all[0], server, milliseconds(500 * server));
    }
    group.run_for(milliseconds(60));
    ASSERT_EQ(holding(group), group.all.size());
    group.all[3]->forwarding.quarantine.note_answer(harmful, monotonic_now());
    group.run_for(milliseconds(60));
    EXPECT_EQ(holding(group), 0u);
}

// Guards against instances that decide differently because they don't know that a request was
// answered before, was on trial or was not alone on a server.
TEST(quarantine_exchange_test, marks_reach_all_instances) {
    peer_group group(2, 2);
    start_all(group);
    const time_point now = monotonic_now();
    for (std::uint64_t server = 1; server <= 3; ++server) {
        crash_evidence evidence{harmful, server, 7, now - milliseconds(500 * server), true, false};
        evidence.answered_before = server == 1;
        evidence.on_trial = server == 2;
        evidence.shared = server == 3;
        group.all[0]->forwarding.quarantine.add_local_evidence(evidence, now);
    }
    group.run_for(milliseconds(60));
    for (const auto& it : group.all) {
        const auto evidence = it->forwarding.quarantine.decisions().evidence_of(harmful);
        ASSERT_EQ(evidence.size(), 3u);
        for (const crash_evidence& crash : evidence) {
            EXPECT_EQ(crash.answered_before, crash.server == 1);
            EXPECT_EQ(crash.on_trial, crash.server == 2);
            EXPECT_EQ(crash.shared, crash.server == 3);
        }
    }
}

// Guards against instances that don't learn how many callers send a request.
TEST(quarantine_exchange_test, attempts_reach_all_instances) {
    peer_group group(1, 3);
    start_all(group);
    const time_point now = monotonic_now();
    std::uint16_t attempts = 0x1001;
    for (const auto& it : group.all) {
        crash_evidence evidence{harmful, 1, 7, now, true, false};
        evidence.attempts = std::exchange(attempts, std::uint16_t{0x0142});
        it->forwarding.quarantine.add_local_evidence(evidence, now);
    }
    group.run_for(milliseconds(300));
    for (const auto& it : group.all) {
        const auto known = it->forwarding.quarantine.decisions().evidence();
        ASSERT_EQ(known.size(), 1u);
        EXPECT_EQ(known.front().attempts, 0x1143);
    }
}

// Guards against exchange traffic that grows over time while there is no new evidence.
TEST(quarantine_exchange_test, a_calm_group_asks_once_a_second_each) {
    peer_group group(2, 3);
    start_all(group);
    group.run_for(milliseconds(2'500));
    int requests = 0;
    for (const auto& it : group.all) {
        requests += it->received_frames[wire::Message::HarmRequest];
    }
    EXPECT_LE(requests, 3 * 6);
    EXPECT_GE(requests, 2 * 6);
}

constexpr request_digest harmful_part{3, 4};

/// Evidence that a new request with the part crashed a server.
void add_part_evidence(peer_instance& by, std::uint64_t server, milliseconds ago) {
    const time_point now = monotonic_now();
    crash_evidence evidence{{8, server}, server, 7, now - ago, true, false};
    evidence.parts = {{3, 1}, harmful_part};
    evidence.streamed_for = milliseconds(40);
    by.forwarding.quarantine.add_local_evidence(evidence, now);
}

std::size_t holding_part(const peer_group& group) {
    const quarantine_subject next({9, 9}, 7, {{3, 1}, harmful_part});
    return static_cast<std::size_t>(
        std::count_if(group.all.begin(), group.all.end(), [&](const auto& it) {
            it->forwarding.quarantine.settle(monotonic_now());
            return it->forwarding.quarantine.verdict(next) >= quarantine_verdict::contested;
        }));
}

// Guards against instances that count only the crashes under a part which they have seen
// themselves.
TEST(part_exchange_test, crashes_seen_by_three_instances_hold_the_part_at_all) {
    peer_group group(3, 3);
    start_all(group);
    group.run_for(milliseconds(20));
    add_part_evidence(*group.all[0], 1, milliseconds(1'500));
    add_part_evidence(*group.all[4], 2, milliseconds(800));
    add_part_evidence(*group.all[8], 3, milliseconds(0));
    group.run_for(milliseconds(200));
    EXPECT_EQ(holding_part(group), group.all.size());
}

// Guards against an instance that was cut off, or has just started, and sends requests with a part
// that all others hold.
TEST(part_exchange_test, an_instance_that_missed_the_evidence_asks_for_it) {
    peer_group group(2, 2);
    for (std::uint64_t server = 1; server <= 3; ++server) {
        add_part_evidence(*group.all[0], server, milliseconds(500 * server));
    }
    group.all.back()->drops_harm_reports = true;
    start_all(group);
    group.run_for(milliseconds(200));
    EXPECT_EQ(holding_part(group), group.all.size() - 1);
    group.all.back()->drops_harm_reports = false;
    group.run_for(milliseconds(1'500));
    EXPECT_EQ(holding_part(group), group.all.size());
}

// Guards against a part that stays held at some instances although one has seen it answered.
TEST(part_exchange_test, an_answer_at_one_instance_releases_the_part_at_all) {
    peer_group group(2, 2);
    start_all(group);
    for (std::uint64_t server = 1; server <= 3; ++server) {
        add_part_evidence(*group.all[0], server, milliseconds(500 * server));
    }
    group.run_for(milliseconds(200));
    ASSERT_EQ(holding_part(group), group.all.size());
    const std::array answered = {request_digest{3, 1}, harmful_part};
    group.all[3]->forwarding.quarantine.note_part_answers(answered, monotonic_now());
    group.run_for(milliseconds(60));
    EXPECT_EQ(holding_part(group), 0u);
}

// Guards against a report whose lists don't fit together.
TEST(part_reports, with_foreign_indices_are_read_without_these) {
    const time_point now = monotonic_now();
    crash_evidence evidence{{8, 1}, 1, 7, now, true, false};
    evidence.parts = {harmful_part};
    wire::HarmReportT report = to_wire({&evidence, 1}, now);
    report.parts.front()->entry = 7;
    const auto read = from_wire(report, now);
    ASSERT_EQ(read.size(), 1U);
    EXPECT_TRUE(read.front().parts.empty());
}

// Guards against evidence that counts differently at other instances.
TEST(part_reports, keep_parts_and_times) {
    const time_point now = monotonic_now();
    crash_evidence evidence{{8, 1}, 1, 7, now, true, false};
    evidence.parts = {{3, 1}, harmful_part};
    evidence.streamed_for = milliseconds(1'234);
    wire::HarmReportT report = to_wire({&evidence, 1}, now);
    const part_answer answer{harmful_part, now - seconds(3)};
    add_part_answers(report, {&answer, 1}, now);
    const auto read = from_wire(report, now);
    ASSERT_EQ(read.size(), 1U);
    EXPECT_EQ(read.front().parts, evidence.parts);
    EXPECT_EQ(read.front().streamed_for, evidence.streamed_for);
    const auto answers = part_answers_of(report, now);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().part, answer.part);
    EXPECT_EQ(answers.front().at, answer.at);
}

} // namespace
} // namespace bamboostream::test
