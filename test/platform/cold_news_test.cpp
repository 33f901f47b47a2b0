// Tests how all instances learn that a backend server has become cold.

#include "test/platform/decision_helpers.h"
#include "test/platform/peer_group.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

namespace bamboostream::test {
namespace {

// --- when the registry reports it

struct cold_row {
    std::string name;
    /// What a server that was warm, or cold for 1 s, says `after` later.
    milliseconds cold_for_before;
    milliseconds after;
    milliseconds cold_for;
    std::int64_t started_ms;
    std::vector<registry_event> reported;
};

void PrintTo(const cold_row& row, std::ostream* out) {
    *out << row.name;
}

class cold_entry : public testing::TestWithParam<cold_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, cold_entry,
    testing::Values(cold_row{"warm_becomes_cold",
                             milliseconds(0),
                             seconds(5),
                             seconds(1),
                             1,
                             {registry_event::became_cold}},
                    cold_row{"cold_for_longer",
                             seconds(1),
                             milliseconds(500),
                             seconds(1),
                             1,
                             {registry_event::became_cold}},
                    cold_row{"still_cold", seconds(1), milliseconds(500), milliseconds(500), 1, {}},
                    cold_row{
                        "arrives_late", seconds(1), milliseconds(500), milliseconds(600), 1, {}},
                    cold_row{"warm_earlier", seconds(1), milliseconds(500), milliseconds(0), 1, {}},
                    cold_row{"stays_warm", milliseconds(0), seconds(5), milliseconds(0), 1, {}},
                    cold_row{"new_process",
                             milliseconds(0),
                             seconds(5),
                             seconds(1),
                             2,
                             {registry_event::restarted}}),
    [](const auto& info) { return info.param.name; });

// Guards against instances that aren't told of a server that has become cold, and against an
// announcement for each entry of a server that still is.
TEST_P(cold_entry, is_reported_when_it_says_something_new) {
    const cold_row& row = GetParam();
    backend_registry registry;
    registered_backend server = backend("i-1");
    server.started_ms = 1;
    server.slow_until = start + row.cold_for_before;
    registry.update(server, start);
    registry.take_changes();
    server.started_ms = row.started_ms;
    server.slow_until = start + row.after + row.cold_for;
    registry.update(server, start + row.after);
    std::vector<registry_event> reported;
    for (const registry_change& change : registry.take_changes()) {
        reported.push_back(change.event);
        EXPECT_EQ(change.backend.slow_until, server.slow_until);
    }
    EXPECT_EQ(reported, row.reported);
    EXPECT_EQ(registry.find(server.id)->slow_until, server.slow_until);
}

// --- how it reaches all instances

struct loss_row {
    std::string name;
    /// Positions in the order of instances that read the store for all.
    std::vector<std::size_t> turned_away;
    std::vector<std::size_t> deaf;
    std::vector<std::size_t> dead;
    milliseconds deaf_for;
    /// By when all know it.
    milliseconds limit;
};

void PrintTo(const loss_row& row, std::ostream* out) {
    *out << row.name;
}

class cold_news : public testing::TestWithParam<loss_row> {
protected:
    static constexpr int domains = 3;
    static constexpr int instances_a_domain = 4;

    cold_news() {
        group_.records.append(record_topic::operator_documents,
                              {"config", R"({"version":1,"routes":[],"services":[],"limits":{}})"});
        write_entry(seconds(0));
        for (const auto& it : group_.all) {
            it->distributor->start();
            it->news->start();
            it->follower.start(*it->news);
        }
        group_.run_for(milliseconds(1'500));
    }
    void write_entry(milliseconds cold_for) {
        group_.records.append(
            record_topic::backend_entries,
            {"i-1", fmt::format(R"({{"service":"s","address":"10.0.0.1:80","zone":"norra",)"
                                R"("version":"v","slots":6,"state":"ready","cold_left_ms":{},)"
                                R"("sequence":1}})",
                                cold_for.count())});
    }
    bool all_know_it() const {
        return std::ranges::all_of(group_.all, [this](const auto& it) {
            const registered_backend* known = it->forwarding.registry.find(backend_id("i-1"));
            return dead_.contains(it.get()) ||
                   (known != nullptr && monotonic_now() < known->slow_until);
        });
    }

    peer_group group_{domains, instances_a_domain};
    std::set<const peer_instance*> dead_;
};

INSTANTIATE_TEST_SUITE_P(
    table, cold_news,
    testing::Values(
        loss_row{"nothing_lost", {}, {}, {}, {}, milliseconds(300)},
        loss_row{"one_announcement_lost", {}, {11}, {}, milliseconds(400), milliseconds(1'500)},
        loss_row{"one_hears_nobody", {}, {11}, {}, seconds(10), milliseconds(2'500)},
        loss_row{"one_reader_turned_away", {0}, {}, {}, {}, milliseconds(2'500)},
        loss_row{"both_readers_turned_away", {0, 1}, {}, {}, {}, milliseconds(2'500)},
        loss_row{"one_reader_dead", {}, {}, {0}, {}, milliseconds(2'500)},
        loss_row{"both_readers_dead", {}, {}, {0, 1}, {}, milliseconds(2'500)}),
    [](const auto& info) { return info.param.name; });

// Guards against instances that treat a server as warm because they don't read the store, missed
// the announcement, or lost the instances that read the store for them.
TEST_P(cold_news, reach_all_instances) {
    const loss_row& row = GetParam();
    const auto order = group_.owners("store");
    for (const std::size_t i : row.turned_away) {
        order[i]->store.turned_away = true;
    }
    for (const std::size_t i : row.deaf) {
        order[i]->drops_store_news = true;
    }
    for (const std::size_t i : row.dead) {
        group_.kill(*order[i]);
        dead_.insert(order[i]);
    }
    write_entry(seconds(60));
    const time_point began = monotonic_now();
    while (!all_know_it() && monotonic_now() - began < row.limit) {
        group_.run_for(milliseconds(5));
        for (const std::size_t i : row.deaf) {
            order[i]->drops_store_news = monotonic_now() - began < row.deaf_for;
        }
    }
    EXPECT_TRUE(all_know_it());
    RecordProperty("known_after_ms", static_cast<int>(to_milliseconds(monotonic_now() - began)));
}

} // namespace
} // namespace bamboostream::test
