// Requests that an instance refuses itself: what the caller is told, and that no server sees them.

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
    f.route("once");
    f.run_for(milliseconds(1));
    routing_configuration changed = f.state().routes->configuration();
    changed.workspaces->front().keys = {"another-key"};
    f.state().routes = std::make_shared<const route_table>(changed);
    const auto view = f.ask("once", "a1");
    f.finish(view);
    EXPECT_EQ(view->status(), 401);
}

// Before the first configuration an instance knows neither routes nor keys; the caller is told that
// the request has not run, instead of 401 or 404 for what may be allowed.
TEST(forwarding, without_a_configuration_it_says_not_run) {
    forwarding_fixture f;
    f.state().routes = nullptr;
    const auto view = f.ask("once", "a1");
    f.finish(view);
    EXPECT_EQ(view->status(), 503);
    EXPECT_FALSE(view->field("Retry-After").empty());
}

/// A request that only the configuration allows which the instance has been told of.
struct late_row {
    std::string name;
    /// What the instance knows meanwhile: neither the route nor, with it, the caller's key.
    bool has_route;
    bool comes;
    int status;
};

class late_configuration : public testing::TestWithParam<late_row> {};

INSTANTIATE_TEST_SUITE_P(table, late_configuration,
                         testing::Values(late_row{"route_comes", false, true, 200},
                                         late_row{"route_stays_out", false, false, 503},
                                         late_row{"key_comes", true, true, 200},
                                         late_row{"key_stays_out", true, false, 503}),
                         [](const auto& info) { return info.param.name; });

// An operator has added a route or a key. The instance has been told that there is a newer
// configuration and doesn't have it yet; by its old one the caller would get 404 or 401 and never
// come back. It waits a moment for the newer one, and otherwise says "not run".
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
    const time_point asked = monotonic_now();
    const auto view = f.ask("once", "a1");
    f.run_for(milliseconds(40));
    EXPECT_FALSE(view->done);
    if (GetParam().comes) {
        routing_configuration changed = newest->configuration();
        ++changed.version;
        f.state().routes = std::make_shared<const route_table>(changed);
    }
    f.finish(view);
    EXPECT_EQ(view->status(), GetParam().status);
    EXPECT_EQ(view->field("Retry-After").empty(), GetParam().comes);
    EXPECT_LT(monotonic_now() - asked, milliseconds(500));
}

// All servers are down: nothing was sent, so "not run" is true and said at once.
TEST(forwarding, servers_that_refuse_connections_leave_the_request_unrun) {
    forwarding_fixture f;
    f.add_dead("i-1");
    f.add_dead("i-2");
    const auto view = f.ask("once", "a1");
    f.finish(view, milliseconds(500));
    EXPECT_EQ(view->status(), 503);
}

/// A request that arrives while the instance shuts down and ends in 700 ms.
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

// A graceful shutdown has begun, and callers still use connections that they keep. What may last
// beyond the end of the process would be cut there, after a backend server has worked on it. Its
// caller is told at once that it has not run and may come back right away, elsewhere; what surely
// ends in time is served.
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

/// Ranks and whether a generation is taken by an engine whose memory would be promised 1.07 times
/// over with it.
struct rank_row {
    std::string name;
    int route_rank;
    std::optional<int> workspace_rank;
    int status;
};

class ranked : public testing::TestWithParam<rank_row> {};

INSTANTIATE_TEST_SUITE_P(table, ranked,
                         testing::Values(rank_row{"urgent_route", 0, std::nullopt, 200},
                                         rank_row{"less_urgent_route", 1, std::nullopt, 503},
                                         rank_row{"urgent_workspace", 1, 0, 200},
                                         rank_row{"less_urgent_workspace", 0, 1, 503}),
                         [](const auto& info) { return info.param.name; });

// Engines are crowded. Who is more urgent is served and the others are told to come back; the
// workspace's rank goes before the route's.
TEST_P(ranked, the_workspace_s_rank_goes_first) {
    forwarding_fixture f;
    f.add(
        "i-1",
        [](scripted_connection& c) -> asio::awaitable<void> {
            co_await c.send(stream_head(c) + stream_events(0, 1) + stream_end);
        },
        "engines");
    f.route("long").priority = GetParam().route_rank;
    f.run_for(milliseconds(1));
    routing_configuration changed = f.state().routes->configuration();
    changed.workspaces->front().priority = GetParam().workspace_rank;
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
