// Routes, backend servers, placement, budgets and duties, without a network.

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

TEST(route_table_test, services_are_drawn_by_weight) {
    route_rule route;
    route.services = {{service_id("a"), 90.0}, {service_id("b"), 10.0}, {service_id("c"), 0.0}};
    std::mt19937_64 random(7);
    std::map<std::string, int> drawn;
    for (int i = 0; i < 10'000; ++i) {
        ++drawn[draw_service(route, random)->text()];
    }
    EXPECT_NEAR(drawn["a"], 9'000, 150);
    EXPECT_EQ(drawn["c"], 0);
}

// --- backend servers

// A server says that it leaves; later the store's history has a gap and an older entry, still
// ready, is read again. A request sent to it then would be cut when it goes, so it stays leaving.
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

/// What is heard of one id whose server has started twice, in this order.
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

// An engine leaves and starts again under the id that it had. If its earlier leaving stuck to the
// id, it would stay idle for good; if an old entry heard late counted, callers would be sent to an
// engine that leaves, or a sound one would get nothing.
TEST_P(second_start, is_another_life) {
    backend_registry registry;
    for (const registered_backend& entry : GetParam().heard) {
        registry.update(entry, start);
    }
    EXPECT_EQ(!registry.usable(service_id("s")).empty(), GetParam().usable);
}

// Whoever keeps something by the id of an engine is told that it began anew.
TEST(backend_registry_test, a_second_start_is_told) {
    backend_registry registry;
    registry.update(started_at(1'000, true), start);
    registry.take_changes();
    registry.update(started_at(2'000, false), start);
    const auto changes = registry.take_changes();
    ASSERT_EQ(changes.size(), 1u);
    EXPECT_EQ(changes.front().event, registry_event::restarted);
    // A telling of another instance about the first life.
    registry.mark_leaving(backend_id("i-1"), 1'000);
    EXPECT_FALSE(registry.usable(service_id("s")).empty());
}

// The server that was passed over for its failures is gone; the one that has its id now is new.
TEST(backend_picker_test, a_second_start_has_a_clean_record) {
    backend_picker picker(1);
    const registered_backend b = backend("i-1");
    const registered_backend other = backend("i-2");
    const std::vector<const registered_backend*> servers = {&b, &other};
    load_book loads;
    loads.add(other.id, {3, 0, 0});
    picker.on_unreachable(b.id, start);
    ASSERT_EQ(picker.pick(servers, loads, {}, start)->id, other.id);
    picker.forget(b.id);
    EXPECT_EQ(picker.pick(servers, loads, {}, start)->id, b.id);
}

/// When an entry is removed, relative to an outage of the store from 0 to 10 s.
struct removal_row {
    std::string name;
    int removed_at_ms;
    int asked_at_ms;
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

// While the store is away entries lapse although their servers live. Dropping them would refuse all
// requests; keeping them for ever would send requests to the dead. They wait for their return.
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
    std::vector<int> moments = {row.removed_at_ms, row.asked_at_ms, 0, 10'000};
    std::sort(moments.begin(), moments.end());
    for (const int ms : moments) {
        if (ms > row.asked_at_ms) {
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
    registry.expire(at(row.asked_at_ms));
    EXPECT_EQ(!registry.usable(service_id("s")).empty(), row.usable);
}

// --- choice of a server

TEST(backend_picker_test, prefers_the_server_with_less_work_over_all_instances) {
    backend_picker picker(1);
    load_book loads;
    const registered_backend a = backend("a");
    const registered_backend b = backend("b");
    const std::vector<const registered_backend*> servers = {&a, &b};
    loads.add(a.id, {1, 0, 0});
    const std::vector<backend_work_entry> told = {{work_key(b.id), {4, 0, 0}}};
    loads.hear("peer", told, start);
    placement_request request;
    request.near = failure_domain_id("norra");
    EXPECT_EQ(picker.pick(servers, loads, request, start)->id, a.id);
    // What a peer told is forgotten when it has been silent.
    EXPECT_EQ(picker.pick(servers, loads, request, start + seconds(3))->id, b.id);
}

// Instances tell of their work again and again, fall silent and come back. Whatever the order, the
// work at a server is what each of those heard of lately told last, and this instance's own.
TEST(load_book_test, sums_are_those_of_the_latest_tellings) {
    constexpr int peers = 12;
    constexpr int servers = 5;
    std::mt19937_64 random(5);
    load_book loads;
    struct telling {
        time_point at;
        std::vector<backend_work_entry> entries;
    };
    std::map<std::string, telling> latest;
    time_point now = start;
    for (int round = 0; round < 2'000; ++round) {
        now += milliseconds(random() % 300);
        const std::string peer = std::to_string(random() % peers);
        telling told{now, {}};
        for (int s = 0; s < servers; ++s) {
            if (random() % 2 == 0) {
                const auto tokens = static_cast<std::int64_t>(random() % 4'000);
                told.entries.push_back({work_key(backend_id(std::to_string(s))), {1, tokens, 7}});
            }
        }
        loads.hear(peer, told.entries, now);
        latest[peer] = told;
        const backend_id asked(std::to_string(random() % servers));
        backend_work expected;
        std::set<std::string> holders;
        for (const auto& [name, from] : latest) {
            for (const backend_work_entry& entry : from.entries) {
                if (now - from.at <= load_book::peer_validity && entry.backend == work_key(asked)) {
                    expected += entry.work;
                    holders.insert(name);
                }
            }
        }
        ASSERT_EQ(loads.total(asked, now), expected) << round;
        const auto found = loads.holders(asked, now);
        ASSERT_EQ(std::set<std::string>(found.begin(), found.end()), holders) << round;
    }
}

TEST(backend_picker_test, queued_prompts_weigh_more_than_memory) {
    backend_picker picker(1);
    load_book loads;
    const registered_backend a = backend("a");
    const registered_backend b = backend("b");
    const std::vector<const registered_backend*> servers = {&a, &b};
    loads.add(a.id, {2, 8'000, 6'000});
    loads.add(b.id, {3, 12'000, 0});
    placement_request request;
    request.server_memory_tokens = 34'000;
    EXPECT_EQ(picker.pick(servers, loads, request, start)->id, b.id);
}

// One of four servers fails everything. Requests turn to the others, and when all fail nobody is
// left out for good: the crowd is never ejected.
TEST(backend_picker_test, a_failing_server_gets_little_and_the_crowd_is_kept) {
    backend_picker picker(1);
    load_book loads;
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

// The store is away and engines go without a word. Each request that finds one gone goes to
// another, and nobody tries the gone one again for a while, unless nothing else is left.
TEST(backend_picker_test, an_unreachable_server_is_passed_over_for_a_while) {
    backend_picker picker(1);
    load_book loads;
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

// Backend servers fail and every instance wants to send again. The sum over all instances must stay
// under the ratio of all requests plus the slack, also while the count of instances lags.
TEST(window_budget_test, the_sum_over_all_instances_stays_under_the_rule) {
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

TEST(window_budget_test, what_was_spent_comes_back_after_the_window) {
    window_budget budget({0.0, 2.0, seconds(10)});
    EXPECT_TRUE(budget.try_spend(service_id("s"), 1, start));
    EXPECT_FALSE(budget.try_spend(service_id("s"), 1, start + seconds(9)));
    EXPECT_TRUE(budget.try_spend(service_id("s"), 1, start + seconds(11)));
}

} // namespace
} // namespace bamboostream
