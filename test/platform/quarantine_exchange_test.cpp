// Tests the exchange, between instances, of evidence against requests that crash backend servers.

#include "test/platform/peer_group.h"

#include <algorithm>
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

} // namespace
} // namespace bamboostream::test
