// Tests that quarantined requests are kept in the platform's store.

#include "test/platform/peer_group.h"

#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

constexpr request_digest harmful{1, 2};
constexpr std::int64_t wall_ms = 1'790'000'000'000;

/// Persistent records, held in memory.
class memory_records final : public persistent_records {
public:
    asio::awaitable<std::optional<std::vector<keyed_record>>>
    read_all(store_failure& why) override {
        ++reads;
        if (is_unavailable) {
            why.set(store_error::unavailable, "away");
            co_return std::nullopt;
        }
        std::vector<keyed_record> out;
        for (const auto& [key, value] : records) {
            out.push_back({key, value});
        }
        co_return out;
    }

    asio::awaitable<bool> write(keyed_record record, store_failure& why) override {
        ++writes;
        if (is_unavailable) {
            why.set(store_error::unavailable, "away");
            co_return false;
        }
        if (record.value.empty()) {
            records.erase(record.key);
        } else {
            records[record.key] = record.value;
        }
        co_return true;
    }

    std::map<std::string, std::string> records;
    bool is_unavailable = false;
    int reads = 0;
    int writes = 0;
};

struct record_row {
    std::string name;
    keyed_record record;
    bool readable;
};

class quarantine_record : public testing::TestWithParam<record_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, quarantine_record,
    testing::Values(record_row{"no_evidence", {harmful.text(), R"({"evidence":[]})"}, true},
                    record_row{"not_json", {harmful.text(), "{"}, false},
                    record_row{"another_shape", {harmful.text(), R"([1])"}, false},
                    record_row{"not_a_digest", {"x", R"({"evidence":[]})"}, false},
                    record_row{
                        "a_number_for_an_entry", {harmful.text(), R"({"evidence":[7]})"}, true}),
    [](const auto& info) { return info.param.name; });

// Guards against a damaged record that crashes the instance which reads it.
TEST_P(quarantine_record, is_read_or_rejected) {
    EXPECT_EQ(read_evidence(GetParam().record, monotonic_now(), wall_ms).has_value(),
              GetParam().readable);
}

TEST(quarantine_records, keep_age_and_what_was_seen) {
    const time_point now = monotonic_now();
    const crash_evidence written{harmful, 11, 12, now - milliseconds(700), true, false};
    const std::string value = write_evidence({&written, 1}, now, wall_ms);
    const time_point later = now + seconds(5);
    const auto read = read_evidence({harmful.text(), value}, later, wall_ms + 5'000);
    ASSERT_TRUE(read && read->size() == 1);
    EXPECT_EQ(read->front().server, 11u);
    EXPECT_EQ(read->front().caller, 12u);
    EXPECT_TRUE(read->front().answering);
    EXPECT_EQ(to_milliseconds(later - read->front().at), 5'700.0);
}

// Guards against instances that decide differently after a start of all of them.
TEST(quarantine_records, keep_the_marks_of_evidence) {
    const time_point now = monotonic_now();
    std::vector<crash_evidence> written(4, {harmful, 11, 12, now, true, false});
    written[0].answered_before = true;
    written[1].on_trial = true;
    written[2].shared = true;
    const auto read =
        read_evidence({harmful.text(), write_evidence(written, now, wall_ms)}, now, wall_ms);
    ASSERT_TRUE(read && read->size() == written.size());
    for (std::size_t i = 0; i < written.size(); ++i) {
        EXPECT_EQ((*read)[i].answered_before, written[i].answered_before);
        EXPECT_EQ((*read)[i].on_trial, written[i].on_trial);
        EXPECT_EQ((*read)[i].shared, written[i].shared);
    }
}

class quarantine_persister_test : public testing::Test {
protected:
    quarantine_persister_test() : group_(2, 3) {
        for (const auto& it : group_.all) {
            persisters_.push_back(std::make_unique<quarantine_persister>(
                group_.context, store_, *it->membership, it->forwarding.quarantine));
            it->forwarding.quarantine.on_change(
                [persister = persisters_.back().get()](const request_digest& request) {
                    persister->note_change(request);
                });
            it->quarantine->start();
        }
    }

    void start_persisters() {
        for (const auto& it : persisters_) {
            it->start();
        }
    }

    void quarantine_request() {
        peer_instance& observer = *group_.all.front();
        for (std::uint64_t server = 1; server <= 3; ++server) {
            const time_point now = monotonic_now();
            const crash_evidence evidence{harmful, server, 7, now - milliseconds(400 * server),
                                          true,    false};
            observer.forwarding.quarantine.add_local_evidence(evidence, now);
        }
    }

    memory_records store_;
    peer_group group_;
    std::vector<std::unique_ptr<quarantine_persister>> persisters_;
};

// Guards against a record that every instance writes, or that remains after the request's release.
TEST_F(quarantine_persister_test, two_instances_write_and_remove_the_record) {
    start_persisters();
    quarantine_request();
    group_.run_for(milliseconds(400));
    EXPECT_EQ(store_.records.count(harmful.text()), 1u);
    EXPECT_EQ(store_.writes, 2);
    group_.all.back()->forwarding.quarantine.note_answer(harmful, monotonic_now());
    group_.run_for(milliseconds(100));
    EXPECT_TRUE(store_.records.empty());
    EXPECT_EQ(store_.writes, 4);
}

// Guards against a record without the trial that proved the request harmful: after a start of all
// instances it would be tried again.
TEST_F(quarantine_persister_test, the_record_is_written_again_when_a_trial_confirms_the_request) {
    start_persisters();
    peer_instance& observer = *group_.all.front();
    const time_point now = monotonic_now();
    const auto add = [&](request_digest request, std::uint64_t server, bool on_trial) {
        crash_evidence crash{request, server, 7, now - milliseconds(2'000 - 400 * server),
                             true,    false};
        crash.on_trial = on_trial;
        observer.forwarding.quarantine.add_local_evidence(crash, now);
    };
    for (std::uint64_t server = 1; server <= 3; ++server) {
        add(harmful, server, false);
        if (server < 3) {
            add({5, 5}, server, false);
        }
    }
    add({6, 6}, 3, false);
    group_.run_for(milliseconds(200));
    ASSERT_EQ(observer.forwarding.quarantine.verdict(harmful), quarantine_verdict::contested);
    ASSERT_EQ(store_.records.count(harmful.text()), 1u);
    add(harmful, 4, true);
    group_.run_for(milliseconds(200));
    ASSERT_EQ(observer.forwarding.quarantine.verdict(harmful), quarantine_verdict::confirmed);
    const auto stored = read_evidence({harmful.text(), store_.records.at(harmful.text())},
                                      monotonic_now(), wall_now());
    ASSERT_TRUE(stored.has_value());
    EXPECT_EQ(stored->size(), 4u);
}

// Guards against a request that is lost because the store was unavailable when it was quarantined.
TEST_F(quarantine_persister_test, the_record_is_written_once_the_store_is_back) {
    store_.is_unavailable = true;
    start_persisters();
    quarantine_request();
    group_.run_for(milliseconds(300));
    EXPECT_TRUE(store_.records.empty());
    store_.is_unavailable = false;
    group_.run_for(milliseconds(1'300));
    EXPECT_EQ(store_.records.count(harmful.text()), 1u);
}

// Guards against instances that don't restore the records in the store after all have restarted.
TEST_F(quarantine_persister_test, a_start_of_all_knows_what_the_store_has) {
    std::vector<crash_evidence> evidence;
    const time_point now = monotonic_now();
    for (std::uint64_t server = 1; server <= 3; ++server) {
        evidence.push_back({harmful, server, 7, now - milliseconds(400 * server), true, false});
    }
    store_.records[harmful.text()] = write_evidence(evidence, now, wall_now());
    start_persisters();
    group_.run_for(milliseconds(400));
    for (const auto& it : group_.all) {
        EXPECT_TRUE(it->forwarding.quarantine.holds(harmful));
    }
    EXPECT_EQ(store_.writes, 0) << "the store has it already";
}

// Guards against a part of prompts that crashes servers again after a start of all instances.
TEST_F(quarantine_persister_test, a_held_part_is_known_after_a_start_of_all) {
    constexpr request_digest part{3, 4};
    std::vector<crash_evidence> evidence;
    const time_point now = monotonic_now();
    for (std::uint64_t server = 1; server <= 3; ++server) {
        evidence.push_back({{8, server}, server, 7, now - milliseconds(400 * server), true, false});
        evidence.back().parts = {part};
    }
    start_persisters();
    for (const crash_evidence& it : evidence) {
        group_.all.front()->forwarding.quarantine.add_local_evidence(it, now);
    }
    group_.run_for(milliseconds(200));
    for (const auto& it : group_.all) {
        it->forwarding.quarantine.settle(monotonic_now());
    }
    group_.run_for(milliseconds(200));
    ASSERT_EQ(store_.records.count(part.text()), 1U);
    const auto stored =
        read_evidence({part.text(), store_.records.at(part.text())}, now, wall_now());
    ASSERT_TRUE(stored && stored->size() == 3);
    quarantine_registry restarted;
    restarted.take(*stored, "store", now);
    restarted.settle(now + seconds(1));
    EXPECT_TRUE(restarted.holds(part));
}

} // namespace
} // namespace bamboostream::test
