// Requests that an instance rejects itself: the response to the caller, and that no backend server
// receives them.

#include "bamboostream/src/Gateway/gateway_metrics.h"
#include "test/platform/forwarding_fixture.h"

#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

struct refusal_row {
    std::string name;
    std::string route;
    std::string fields;
    int status;
};

class refused_at_once : public testing::TestWithParam<refusal_row> {};

INSTANTIATE_TEST_SUITE_P(table, refused_at_once,
                         testing::Values(refusal_row{"unknown_route", "nowhere", "", 404},
                                         refusal_row{"bad_deadline", "once",
                                                     "Deadline-Ms: soon\r\n", 400}),
                         [](const auto& info) { return info.param.name; });

TEST_P(refused_at_once, without_reaching_a_server) {
    forwarding_fixture f;
    scripted_backend& backend = f.add("i-1", answering("x"));
    const auto view = f.ask(GetParam().route, "a1", GetParam().fields);
    f.finish(view);
    EXPECT_EQ(view->status(), GetParam().status);
    EXPECT_TRUE(backend.requests().empty());
}

TEST(forwarding, an_unknown_key_is_refused) {
    forwarding_fixture f;
    f.add("i-1", answering("x"));
    routing_configuration changed = f.state().routes->configuration();
    changed.workspaces->front().keys = {"another-key"};
    f.state().routes = std::make_shared<const route_table>(changed);
    const auto view = f.ask("once", "a1");
    f.finish(view);
    EXPECT_EQ(view->status(), 401);
}

// Before it has a configuration, an instance knows neither routes nor keys. It answers 503 ("not
// run") instead of 401 or 404, because the request may be allowed.
TEST(forwarding, without_a_configuration_it_says_not_run) {
    forwarding_fixture f;
    f.state().routes = nullptr;
    const auto view = f.ask("once", "a1");
    f.finish(view);
    EXPECT_EQ(view->status(), 503);
    EXPECT_FALSE(view->field("Retry-After").empty());
}

/// A request that is allowed only by an announced configuration that the instance doesn't have yet.
struct late_configuration_row {
    std::string name;
    /// With true, the old configuration has the route but not the caller's key; with false, it
    /// lacks the route.
    bool has_route;
    bool arrives;
    int status;
};

class late_configuration : public testing::TestWithParam<late_configuration_row> {};

INSTANTIATE_TEST_SUITE_P(table, late_configuration,
                         testing::Values(late_configuration_row{"route_comes", false, true, 200},
                                         late_configuration_row{"route_stays_out", false, false,
                                                                503},
                                         late_configuration_row{"key_comes", true, true, 200},
                                         late_configuration_row{"key_stays_out", true, false, 503}),
                         [](const auto& info) { return info.param.name; });

// An operator has added a route or a key, and the instance knows that a newer configuration exists
// but hasn't received it. By the old one the caller would get 404 or 401 and never retry. The
// instance waits briefly for the newer one, and otherwise answers 503 ("not run").
TEST_P(late_configuration, denies_nothing_for_good) {
    forwarding_fixture f;
    f.add("i-1", answering("x"));
    f.route("once");
    f.run_for(milliseconds(1));
    const auto newest = f.state().routes;
    routing_configuration old = newest->configuration();
    if (GetParam().has_route) {
        old.workspaces->front().keys = {"another-key"};
    } else {
        std::erase_if(old.routes, [](const route_rule& route) { return route.name == "once"; });
    }
    f.state().routes = std::make_shared<const route_table>(old);
    f.state().announced_configuration = old.version + 1;
    const time_point sent_at = monotonic_now();
    const auto view = f.ask("once", "a1");
    f.run_for(milliseconds(40));
    EXPECT_FALSE(view->done);
    if (GetParam().arrives) {
        routing_configuration changed = newest->configuration();
        ++changed.version;
        f.state().routes = std::make_shared<const route_table>(changed);
    }
    f.finish(view);
    EXPECT_EQ(view->status(), GetParam().status);
    EXPECT_EQ(view->field("Retry-After").empty(), GetParam().arrives);
    EXPECT_LT(monotonic_now() - sent_at, milliseconds(500));
}

// Guards against memory that isn't counted for its workspace while a generation runs, or still is
// after it has ended, and against a refusal that isn't counted or doesn't say when to retry.
TEST(forwarding, a_workspace_above_its_share_is_told_to_return) {
    forwarding_fixture f;
    f.add(
        "i-1",
        [](scripted_connection& c) -> asio::awaitable<void> {
            co_await c.wait_for_close();
            c.close();
        },
        "engines");
    const service_id engines("engines");
    const share_key desk = make_share_key(engines, workspace_id("desk"));
    const share_key other = make_share_key(engines, std::nullopt);
    workspace_shares& shares = f.state().shares;
    f.state().server_loads.set_reports_host_load(engines);
    shares.set_chooses(engines, true, true, monotonic_now() - seconds(1));
    const auto running = f.ask("long", "a1");
    f.run_for(milliseconds(50));
    EXPECT_EQ(shares.held(desk, monotonic_now()), 140);
    shares.add(desk, 40'000);
    shares.check({other, 1'000, 900, 0, 30'000}, {}, monotonic_now());
    const auto refused = f.ask("long", "a2");
    f.finish(refused);
    EXPECT_EQ(refused->status(), 503);
    EXPECT_FALSE(refused->field("Retry-After").empty());
    EXPECT_NE(exposition(f.state(), {}, monotonic_now())
                  .find("bamboostream_refused_total{cause=\"workspace_over_share\"} 1\n"),
              std::string::npos);
    f.leave(running);
    f.run_for(milliseconds(100));
    EXPECT_EQ(shares.held(desk, monotonic_now()), 40'000);
}

// All servers are down. Nothing was sent, so the instance answers 503 ("not run") at once.
TEST(forwarding, servers_that_refuse_connections_leave_the_request_unrun) {
    forwarding_fixture f;
    f.add_dead("i-1");
    f.add_dead("i-2");
    const auto view = f.ask("once", "a1");
    f.finish(view, milliseconds(500));
    EXPECT_EQ(view->status(), 503);
}

/// A request that arrives during a graceful shutdown, 700 ms before the instance's process ends.
struct shutdown_row {
    std::string name;
    std::string route;
    std::string fields;
    bool served;
};

class shutting_down : public testing::TestWithParam<shutdown_row> {};

INSTANTIATE_TEST_SUITE_P(table, shutting_down,
                         testing::Values(shutdown_row{"long_stream", "long", "", false},
                                         shutdown_row{"label", "label", "", false},
                                         shutdown_row{"slow_call", "once", "", false},
                                         shutdown_row{"call_that_fits", "once",
                                                      "Deadline-Ms: 300\r\n", true}),
                         [](const auto& info) { return info.param.name; });

// During a graceful shutdown, callers still send requests on their open connections. A request that
// may outlast the process would be interrupted after a backend server has worked on it, so it is
// answered at once with "not run" and a short Retry-After, for a retry at another instance. A
// request that is certain to end in time is served.
TEST_P(shutting_down, takes_only_what_ends_in_time) {
    forwarding_fixture f;
    scripted_backend& engine = f.add(
        "i-1",
        [](scripted_connection& c) -> asio::awaitable<void> {
            co_await c.send(stream_head(c) + stream_events(0, 1) + stream_end);
        },
        "engines");
    scripted_backend& calls = f.add("i-2", answering("ok"));
    f.state().leaving = true;
    f.state().shutdown_deadline = monotonic_now() + milliseconds(700);
    const auto view = f.ask(GetParam().route, "a1", GetParam().fields);
    f.finish(view);
    EXPECT_EQ(view->status(), GetParam().served ? 200 : 503);
    EXPECT_EQ(view->field("Retry-After"), GetParam().served ? "" : "0.05");
    EXPECT_EQ(view->field("Connection"), "close");
    EXPECT_EQ(engine.requests().size() + calls.requests().size(), GetParam().served ? 1u : 0u);
}

/// Priorities, and the status of a generation that would raise the committed memory of the only
/// engine to 1.07 times its capacity.
struct priority_row {
    std::string name;
    int route_priority;
    std::optional<int> workspace_priority;
    int status;
};

class ranked : public testing::TestWithParam<priority_row> {};

INSTANTIATE_TEST_SUITE_P(table, ranked,
                         testing::Values(priority_row{"urgent_route", 0, std::nullopt, 200},
                                         priority_row{"less_urgent_route", 1, std::nullopt, 503},
                                         priority_row{"urgent_workspace", 1, 0, 200},
                                         priority_row{"less_urgent_workspace", 0, 1, 503}),
                         [](const auto& info) { return info.param.name; });

// All engines are overcommitted: generations of the highest priority are served, and the others get
// 503. The workspace's priority overrides the route's.
TEST_P(ranked, the_workspace_s_rank_goes_first) {
    forwarding_fixture f;
    f.add(
        "i-1",
        [](scripted_connection& c) -> asio::awaitable<void> {
            co_await c.send(stream_head(c) + stream_events(0, 1) + stream_end);
        },
        "engines");
    f.route("long").priority = GetParam().route_priority;
    f.run_for(milliseconds(1));
    routing_configuration changed = f.state().routes->configuration();
    changed.workspaces->front().priority = GetParam().workspace_priority;
    f.state().routes = std::make_shared<const route_table>(changed);
    const auto memory = changed.services.back().engine->memory_tokens;
    const std::int64_t own = 140;
    f.state().loads.add(backend_id("i-1"), {3, memory * 107 / 100 - own, 0});
    const auto view = f.ask("long", "a1");
    f.finish(view);
    EXPECT_EQ(view->status(), GetParam().status);
}

} // namespace
} // namespace bamboostream::test
