// Tests routes, the registry and choice of backend servers, load reports and retry budgets, without
// a network.

#include "bamboostream/Forwarding"
#include "bamboostream/Gateway"
#include "bamboostream/Routing"
#include "test/platform/decision_helpers.h"

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>

namespace bamboostream {
namespace {

// --- routes

struct route_row {
    std::string host;
    std::string path;
    std::string expected;
};

class route_lookup : public testing::TestWithParam<route_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, route_lookup,
    testing::Values(route_row{"a.example", "/x/1", "x"}, route_row{"a.example", "/x/y/1", "x-y"},
                    route_row{"a.example", "/x/y", "x"}, route_row{"a.example:80", "/x/", "x"},
                    route_row{"a.example", "/x", ""}, route_row{"a.example", "/z/1", ""},
                    route_row{"b.example", "/x/1", "b-root"}, route_row{"c.example", "/x/1", ""},
                    route_row{"a.example", "", ""}, route_row{"b.example", "*", ""}));

TEST_P(route_lookup, longest_prefix_of_the_host_wins) {
    routing_configuration c;
    for (const auto& [name, host, prefix] :
         std::vector<std::array<std::string, 3>>{{"x", "a.example", "/x/"},
                                                 {"x-y", "a.example", "/x/y/"},
                                                 {"b-root", "b.example", "/"}}) {
        route_rule route;
        route.name = name;
        route.host = host;
        route.path_prefix = prefix;
        c.routes.push_back(route);
    }
    const route_table table(c);
    const route_rule* found = table.find_route(GetParam().host, GetParam().path);
    EXPECT_EQ(found ? found->name : "", GetParam().expected);
}

TEST(route_table_test, services_are_picked_by_weight) {
    route_rule route;
    route.services = {{service_id("a"), 90.0}, {service_id("b"), 10.0}, {service_id("c"), 0.0}};
    std::mt19937_64 random(7);
    std::map<std::string, int> picked;
    for (int i = 0; i < 10'000; ++i) {
        ++picked[pick_weighted_service(route, random)->text()];
    }
    EXPECT_NEAR(picked["a"], 9'000, 150);
    EXPECT_EQ(picked["c"], 0);
}

// --- backend servers

// A server announces that it is leaving; later the store's history has a gap, and an older entry,
// still marked ready, is read again. A request sent to the server then would be interrupted when it
// stops, so it must stay marked as leaving.
TEST(backend_registry_test, leaving_is_sticky) {
    backend_registry registry;
    registered_backend b = backend("i-1");
    registry.update(b, start);
    b.leaving = true;
    registry.update(b, start);
    b.leaving = false;
    registry.update(b, start);
    EXPECT_TRUE(registry.usable(service_id("s")).empty());
    registry.remove(b.id, start);
    registry.update(b, start);
    EXPECT_TRUE(registry.usable(service_id("s")).empty());
}

registered_backend started_at(std::int64_t started_ms, bool leaving) {
    registered_backend out = backend("i-1");
    out.started_ms = started_ms;
    out.leaving = leaving;
    return out;
}

/// Entries of one id whose server has started twice, in the order in which they arrive.
struct second_start_row {
    std::string name;
    std::vector<registered_backend> heard;
    bool usable;
};

void PrintTo(const second_start_row& row, std::ostream* out) {
    *out << row.name;
}

class second_start : public testing::TestWithParam<second_start_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, second_start,
    testing::Values(
        second_start_row{
            "left_then_new", {started_at(1'000, true), started_at(2'000, false)}, true},
        second_start_row{
            "old_leaving_heard_late", {started_at(2'000, false), started_at(1'000, true)}, true},
        second_start_row{
            "new_one_leaves", {started_at(1'000, false), started_at(2'000, true)}, false},
        second_start_row{
            "old_ready_heard_late",
            {started_at(1'000, false), started_at(2'000, true), started_at(1'000, false)},
            false},
        second_start_row{"left_then_the_same_again",
                         {started_at(1'000, true), started_at(1'000, false)},
                         false}),
    [](const auto& info) { return info.param.name; });

// An engine leaves and starts again under the same id. If the leaving state applied to the id, the
// new process would stay idle forever; if a late entry of the old process counted, requests would
// go to an engine that is leaving, or a healthy engine would get none.
TEST_P(second_start, is_another_incarnation) {
    backend_registry registry;
    for (const registered_backend& entry : GetParam().heard) {
        registry.update(entry, start);
    }
    EXPECT_EQ(!registry.usable(service_id("s")).empty(), GetParam().usable);
}

// Components that keep state by the id of an engine must be notified of its restart.
TEST(backend_registry_test, a_second_start_is_reported) {
    backend_registry registry;
    registry.update(started_at(1'000, true), start);
    registry.take_changes();
    registry.update(started_at(2'000, false), start);
    const auto changes = registry.take_changes();
    ASSERT_EQ(changes.size(), 1u);
    EXPECT_EQ(changes.front().event, registry_event::restarted);
    // A report of another instance about the first incarnation.
    registry.mark_leaving(backend_id("i-1"), 1'000);
    EXPECT_FALSE(registry.usable(service_id("s")).empty());
}

// The server that was excluded for its failures is gone; the process that has its id now is new.
TEST(backend_picker_test, a_second_start_has_a_clean_record) {
    backend_picker picker(1);
    const registered_backend b = backend("i-1");
    const registered_backend other = backend("i-2");
    const std::vector<const registered_backend*> servers = {&b, &other};
    load_table loads;
    loads.add(other.id, {3, 0, 0});
    picker.on_unreachable(b.id, start);
    ASSERT_EQ(picker.pick(servers, loads, {}, start)->id, other.id);
    picker.forget(b.id);
    EXPECT_EQ(picker.pick(servers, loads, {}, start)->id, b.id);
}

/// When an entry is removed and when it is looked up, relative to an outage of the store from 0 to
/// 10 s.
struct removal_row {
    std::string name;
    int removed_at_ms;
    int checked_at_ms;
    bool back_in_time;
    bool usable;
};

class entry_removal : public testing::TestWithParam<removal_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, entry_removal,
    testing::Values(removal_row{"before_an_outage", -100, -50, false, false},
                    removal_row{"lapsed_while_away", 5'000, 9'000, false, true},
                    removal_row{"lapsed_and_just_returned", 10'100, 12'000, false, true},
                    removal_row{"lapsed_and_never_back", 10'100, 12'600, false, false},
                    removal_row{"lapsed_and_back", 10'100, 13'000, true, true},
                    removal_row{"long_after", 20'000, 20'001, false, false}),
    [](const auto& info) { return info.param.name; });

// During an outage of the store, entries expire although their servers are alive. Removing them
// would refuse all requests, and keeping them forever would send requests to dead servers. They are
// kept until shortly after the outage, so that servers can register again.
TEST_P(entry_removal, waits_only_around_an_outage) {
    const removal_row row = GetParam();
    backend_registry registry;
    registry.update(backend("i-1"), start - seconds(60));
    const auto at = [](int ms) { return start + milliseconds(ms); };
    const auto step = [&](int ms) {
        if (ms == row.removed_at_ms) {
            registry.remove(backend_id("i-1"), at(ms));
        }
    };
    std::vector<int> moments = {row.removed_at_ms, row.checked_at_ms, 0, 10'000};
    std::sort(moments.begin(), moments.end());
    for (const int ms : moments) {
        if (ms > row.checked_at_ms) {
            break;
        }
        if (ms == 0) {
            registry.store_failed(at(ms));
        }
        if (ms == 10'000) {
            registry.store_answered(at(ms));
        }
        step(ms);
    }
    if (row.back_in_time) {
        registry.update(backend("i-1"), at(11'500));
    }
    registry.expire(at(row.checked_at_ms));
    EXPECT_EQ(!registry.usable(service_id("s")).empty(), row.usable);
}

// --- choice of a server

TEST(backend_picker_test, prefers_the_server_with_less_work_over_all_instances) {
    backend_picker picker(1);
    load_table loads;
    const registered_backend a = backend("a");
    const registered_backend b = backend("b");
    const std::vector<const registered_backend*> servers = {&a, &b};
    loads.add(a.id, {1, 0, 0});
    const std::vector<backend_work_entry> report = {{backend_hash(b.id), {4, 0, 0}}};
    loads.hear("peer", report, start);
    placement_request request;
    request.preferred_domain = failure_domain_id("norra");
    EXPECT_EQ(picker.pick(servers, loads, request, start)->id, a.id);
    // The report of a peer expires when the peer is silent.
    EXPECT_EQ(picker.pick(servers, loads, request, start + seconds(3))->id, b.id);
}

// Instances report their work repeatedly, fall silent and return. In any order, the work at a
// server must be the sum of the latest unexpired reports and this instance's own work.
TEST(load_table_test, sums_are_those_of_the_latest_tellings) {
    constexpr int peers = 12;
    constexpr int servers = 5;
    std::mt19937_64 random(5);
    load_table loads;
    struct work_report {
        time_point at;
        std::vector<backend_work_entry> entries;
    };
    std::map<std::string, work_report> latest;
    time_point now = start;
    for (int round = 0; round < 2'000; ++round) {
        now += milliseconds(random() % 300);
        const std::string peer = std::to_string(random() % peers);
        work_report report{now, {}};
        for (int s = 0; s < servers; ++s) {
            if (random() % 2 == 0) {
                const auto tokens = static_cast<std::int64_t>(random() % 4'000);
                report.entries.push_back(
                    {backend_hash(backend_id(std::to_string(s))), {1, tokens, 7}});
            }
        }
        loads.hear(peer, report.entries, now);
        latest[peer] = report;
        const backend_id checked(std::to_string(random() % servers));
        backend_work expected;
        std::set<std::string> peers_reporting;
        for (const auto& [name, from] : latest) {
            for (const backend_work_entry& entry : from.entries) {
                if (now - from.at <= load_table::peer_report_lifetime &&
                    entry.backend == backend_hash(checked)) {
                    expected += entry.work;
                    peers_reporting.insert(name);
                }
            }
        }
        ASSERT_EQ(loads.total(checked, now), expected) << round;
        const auto found = loads.peers_reporting(checked, now);
        ASSERT_EQ(std::set<std::string>(found.begin(), found.end()), peers_reporting) << round;
    }
}

TEST(backend_picker_test, queued_prompts_weigh_more_than_memory) {
    backend_picker picker(1);
    load_table loads;
    const registered_backend a = backend("a");
    const registered_backend b = backend("b");
    const std::vector<const registered_backend*> servers = {&a, &b};
    loads.add(a.id, {2, 8'000, 6'000});
    loads.add(b.id, {3, 12'000, 0});
    placement_request request;
    request.server_memory_tokens = 34'000;
    EXPECT_EQ(picker.pick(servers, loads, request, start)->id, b.id);
}

// One of four servers fails all requests, and the others get nearly all of the load. When all
// servers fail, there must still be one to choose: outlier detection never ejects all of them.
TEST(backend_picker_test, failing_server_is_avoided_but_never_all_are_ejected) {
    backend_picker picker(1);
    load_table loads;
    std::vector<registered_backend> all = {backend("a"), backend("b"), backend("c"), backend("d")};
    std::vector<const registered_backend*> servers;
    for (const registered_backend& b : all) {
        servers.push_back(&b);
    }
    placement_request request;
    int to_a = 0;
    for (int i = 0; i < 400; ++i) {
        const registered_backend* chosen = picker.pick(servers, loads, request, start);
        const bool fails = chosen->id == all[0].id;
        to_a += fails ? 1 : 0;
        fails ? picker.on_failure(chosen->id, 4, start) : picker.on_success(chosen->id, start);
    }
    EXPECT_LT(to_a, 10);
    for (int i = 0; i < 100; ++i) {
        for (const registered_backend& b : all) {
            picker.on_failure(b.id, 4, start);
        }
    }
    EXPECT_NE(picker.pick(servers, loads, request, start), nullptr);
}

// During an outage of the store engines stop without their entries being removed. A request that
// can't reach one goes to another, and the unreachable one is excluded for a while unless no other
// is left.
TEST(backend_picker_test, unreachable_server_is_excluded_for_a_while) {
    backend_picker picker(1);
    load_table loads;
    const registered_backend a = backend("a");
    const registered_backend b = backend("b");
    const std::vector<const registered_backend*> both = {&a, &b};
    const std::vector<const registered_backend*> only = {&a};
    placement_request request;
    picker.on_unreachable(a.id, start);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(picker.pick(both, loads, request, start + seconds(1))->id, b.id);
    }
    EXPECT_EQ(picker.pick(only, loads, request, start + seconds(1))->id, a.id);
    bool tried_again = false;
    for (int i = 0; i < 40; ++i) {
        tried_again |= picker.pick(both, loads, request, start + seconds(3))->id == a.id;
    }
    EXPECT_TRUE(tried_again);
}

// --- retries

// Backend servers fail and all instances retry. The sum over all instances must stay under the
// ratio of all requests plus the slack, with a margin for a count of instances that lags.
TEST(window_budget_test, the_sum_over_all_instances_stays_under_the_limit) {
    constexpr int instances = 8;
    constexpr int requests_each = 50;
    const window_budget_rules rules{0.2, 56.0, seconds(10)};
    int spent = 0;
    for (int i = 0; i < instances; ++i) {
        window_budget budget(rules);
        for (int r = 0; r < requests_each; ++r) {
            const time_point now = start + milliseconds(100 * r);
            budget.on_request(service_id("s"), now);
            spent += budget.try_spend(service_id("s"), instances, now) ? 1 : 0;
            spent += budget.try_spend(service_id("s"), instances, now) ? 1 : 0;
        }
    }
    EXPECT_LE(spent, 0.2 * instances * requests_each + 56.0);
    EXPECT_GE(spent, 0.4 * (0.2 * instances * requests_each + 56.0));
}

TEST(window_budget_test, budget_is_restored_after_the_window) {
    window_budget budget({0.0, 2.0, seconds(10)});
    EXPECT_TRUE(budget.try_spend(service_id("s"), 1, start));
    EXPECT_FALSE(budget.try_spend(service_id("s"), 1, start + seconds(9)));
    EXPECT_TRUE(budget.try_spend(service_id("s"), 1, start + seconds(11)));
}

} // namespace
} // namespace bamboostream
