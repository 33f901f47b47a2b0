// Requests that crash every backend server that runs them.

#include "test/platform/forwarding_fixture.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

constexpr const char* harmful = "harmful";

/// Whether a server has begun to answer a harmful request when its process ends.
struct harm_row {
    std::string name;
    std::string route;
    bool begins_to_answer;
};

std::vector<harm_row> harm_rows() {
    return {
        {"a_stream_before_its_head", "label", false},
        {"a_stream_after_its_first_event", "label", true},
        {"a_call_that_may_be_repeated", "safe", false},
        {"a_call_that_runs_once", "once", false},
        {"a_stream_that_runs_once", "long", true},
    };
}

class harmful_request : public testing::TestWithParam<harm_row> {
protected:
    backend_script script() const {
        return [row = GetParam()](scripted_connection& c) -> asio::awaitable<void> {
            const bool streams = row.route == "label" || row.route == "long";
            if (c.request().ends_with(harmful)) {
                if (row.begins_to_answer) {
                    co_await c.send(stream_head(c) + stream_events(1, 1));
                }
                co_await c.pause(5);
                c.end_process();
            } else if (streams) {
                co_await c.send(stream_head(c) + stream_events(1, 2) + stream_end);
            } else {
                co_await c.send(sealed_answer(c, "sound"));
            }
        };
    }

    void add_servers(int count) {
        const bool engines = GetParam().route == "label" || GetParam().route == "long";
        for (int i = 0; i < count; ++i) {
            servers_.push_back(
                &f_.add(fmt::format("i-{}", i), script(), engines ? "engines" : "calls"));
        }
    }

    /// Sends a request with this body as a new attempt, with a new id, and waits for its response.
    std::shared_ptr<caller_view> ask(const std::string& body) {
        auto view = f_.ask(GetParam().route, fmt::format("attempt-{}", ++attempts_), "", body);
        f_.finish(view);
        return view;
    }

    int ended() const {
        return static_cast<int>(
            std::count_if(servers_.begin(), servers_.end(), [](auto* it) { return it->ended(); }));
    }

    forwarding_fixture f_;
    std::vector<scripted_backend*> servers_;
    int attempts_ = 0;
};

INSTANTIATE_TEST_SUITE_P(table, harmful_request, testing::ValuesIn(harm_rows()),
                         [](const auto& info) { return info.param.name; });

// Guards against a caller that crashes all servers by repeating one request.
TEST_P(harmful_request, ends_no_more_than_three_servers) {
    add_servers(8);
    std::shared_ptr<caller_view> last;
    for (int i = 0; i < 6; ++i) {
        last = ask(harmful);
        f_.run_for(milliseconds(120));
    }
    EXPECT_EQ(ended(), 3);
    EXPECT_EQ(last->status(), 503);
    EXPECT_FALSE(last->field("Retry-After").empty());
    EXPECT_EQ(ask("other")->status(), 200) << "another request is served";
}

// Guards against attempts that were already running when the request was quarantined and that crash
// more servers afterwards.
TEST(harmful_request_at_work, is_ended_on_other_servers_once_it_is_held) {
    forwarding_fixture f;
    int begun = 0;
    std::vector<scripted_backend*> servers;
    for (int i = 0; i < 5; ++i) {
        servers.push_back(&f.add(fmt::format("i-{}", i),
                                 [&begun](scripted_connection& c) -> asio::awaitable<void> {
                                     const int steps = 6 + 12 * begun++;
                                     for (int step = 0; step < steps && !c.is_closed(); ++step) {
                                         co_await c.pause(10);
                                     }
                                     if (!c.is_closed()) {
                                         c.end_process();
                                     }
                                 }));
    }
    std::vector<std::shared_ptr<caller_view>> views;
    for (int i = 0; i < 5; ++i) {
        views.push_back(f.ask("once", fmt::format("attempt-{}", i), "", harmful));
        f.run_for(milliseconds(5));
    }
    f.run_for(milliseconds(800));
    EXPECT_EQ(std::count_if(servers.begin(), servers.end(), [](auto* it) { return it->ended(); }),
              3);
    for (const auto& view : views) {
        EXPECT_EQ(view->status(), 502) << "it may have run";
    }
    EXPECT_EQ(f.state().quarantine.open_calls(), 0u);
}

/// What happens to a server and its connection while it processes a request.
struct loss_row {
    std::string name;
    bool process_ends;
    bool leaving;
    std::size_t evidence;
};

class lost_connection : public testing::TestWithParam<loss_row> {};

INSTANTIATE_TEST_SUITE_P(table, lost_connection,
                         testing::Values(loss_row{"to_a_server_that_ended", true, false, 1},
                                         loss_row{"to_a_server_that_runs", false, false, 0},
                                         loss_row{"to_a_server_that_leaves", true, true, 0}),
                         [](const auto& info) { return info.param.name; });

// Guards against requests that are blamed for a broken connection, or for the end of a server that
// had announced that it leaves.
TEST_P(lost_connection, speaks_against_the_request_only_when_the_server_ended_unannounced) {
    forwarding_fixture f;
    f.add("i-1", [&](scripted_connection& c) -> asio::awaitable<void> {
        if (GetParam().leaving) {
            f.state().registry.mark_leaving(backend_id("i-1"));
        }
        if (GetParam().process_ends) {
            c.end_process();
        } else {
            c.reset();
        }
        co_return;
    });
    f.finish(f.ask("once", "attempt-1", "", harmful));
    EXPECT_EQ(f.state().quarantine.decisions().size(), GetParam().evidence);
}

// Guards against counting the crashes of several incarnations of a server as one, when it restarts
// under the same id each time.
TEST(lost_connection, of_each_life_of_a_server_counts) {
    forwarding_fixture f;
    for (int incarnation = 1; incarnation <= 3; ++incarnation) {
        f.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
            c.end_process();
            co_return;
        });
        f.note_start("i-1", incarnation);
        f.finish(f.ask("once", fmt::format("attempt-{}", incarnation), "", harmful));
        f.run_for(milliseconds(120));
    }
    EXPECT_EQ(f.state().quarantine.decisions().size(), 3u);
    EXPECT_EQ(f.state().quarantine.decisions().held(), 1u);
}

// Guards against blaming a frequent request that runs on every server whenever one crashes.
TEST(lost_connection, of_a_request_answered_just_before_counts_for_nothing) {
    forwarding_fixture f;
    f.add("i-1", answering("sound"));
    f.finish(f.ask("once", "attempt-1", "", harmful));
    f.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        c.end_process();
        co_return;
    });
    f.finish(f.ask("once", "attempt-2", "", harmful));
    ASSERT_EQ(f.state().quarantine.decisions().evidence().size(), 1u);
    EXPECT_TRUE(f.state().quarantine.decisions().evidence().front().cleared);
}

// Guards against clearing a harmful request because a faulty server answered 500 without running
// it.
TEST(lost_connection, of_a_request_that_failed_elsewhere_still_counts) {
    forwarding_fixture f;
    f.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        c.end_process();
        co_return;
    });
    f.finish(f.ask("once", "attempt-1", "", harmful));
    f.add("i-2", [](scripted_connection& c) -> asio::awaitable<void> {
        co_await c.send(sealed_answer(c, "fault", 500));
    });
    const auto again = f.ask("once", "attempt-2", "", harmful);
    f.finish(again);
    EXPECT_EQ(again->status(), 500);
    ASSERT_EQ(f.state().quarantine.decisions().evidence().size(), 1u);
    EXPECT_FALSE(f.state().quarantine.decisions().evidence().front().cleared);
}

// Guards against clearing a harmful request because the address of a server that it crashed belongs
// to another process by now, which answers anything with 404.
TEST(lost_connection, of_a_request_that_a_foreign_process_answered_still_counts) {
    forwarding_fixture f;
    f.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        c.end_process();
        co_return;
    });
    f.finish(f.ask("once", "attempt-1", "", harmful));
    f.add("i-2", [](scripted_connection& c) -> asio::awaitable<void> {
        co_await c.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    });
    f.finish(f.ask("once", "attempt-2", "", harmful));
    ASSERT_EQ(f.state().quarantine.decisions().evidence().size(), 1u);
    EXPECT_FALSE(f.state().quarantine.decisions().evidence().front().cleared);
}

// Guards against blaming a request that another server has answered successfully since.
TEST(lost_connection, of_a_request_that_was_answered_since_counts_no_more) {
    forwarding_fixture f;
    f.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        c.end_process();
        co_return;
    });
    f.finish(f.ask("once", "attempt-1", "", harmful));
    f.add("i-2", answering("sound"));
    ASSERT_EQ(f.state().quarantine.decisions().evidence().size(), 1u);
    f.finish(f.ask("safe", "attempt-2", "", harmful));
    EXPECT_FALSE(f.state().quarantine.decisions().evidence().front().cleared) << "another path";
    const auto again = f.ask("once", "attempt-3", "", harmful);
    f.finish(again);
    EXPECT_EQ(again->status(), 200);
    EXPECT_TRUE(f.state().quarantine.decisions().evidence().front().cleared);
}

} // namespace
} // namespace bamboostream::test
