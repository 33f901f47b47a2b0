// Streams that end with their connection at an engine that is being evacuated.

#include "test/platform/forwarding_fixture.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

/// What is known of the last step of a move when the stream ends.
enum class stop : std::uint8_t {
    not_asked_for,
    announced_long_ago,
    not_stopped,
    moved,
    unknown,
    unknown_without_limit
};

struct stop_row {
    std::string name;
    stop what;
    bool is_resumed_elsewhere;
    bool expected_complete;
    friend void PrintTo(const stop_row& row, std::ostream* out) { *out << row.name; }
};

class unframed_stop : public testing::TestWithParam<stop_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, unframed_stop,
    testing::Values(stop_row{"not_asked_for", stop::not_asked_for, false, true},
                    stop_row{"announced_long_ago", stop::announced_long_ago, false, true},
                    stop_row{"not_stopped", stop::not_stopped, false, true},
                    stop_row{"moved", stop::moved, true, true},
                    stop_row{"outcome_unknown", stop::unknown, false, false},
                    stop_row{"outcome_unknown_without_limit", stop::unknown_without_limit, false,
                             false}),
    [](const auto& info) { return info.param.name; });

// Guards against a whole stream that is broken off because its generation might have been moved,
// and against a stopped one that is delivered as whole.
TEST_P(unframed_stop, decides_whether_the_stream_is_whole) {
    forwarding_fixture f;
    bool ends = false;
    f.add(
        "i-1",
        [&ends](scripted_connection& c) -> asio::awaitable<void> {
            const std::string head =
                fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n\r\n{}",
                            c.field("Attempt-Id"), events_text(0, 3));
            co_await c.send(head);
            while (!ends) {
                co_await c.pause(1);
            }
            c.close();
        },
        "engines");
    const auto view = f.ask("long", "a1");
    for (int ms = 0; view->body() != events_text(0, 3) && ms < 2'000; ++ms) {
        f.run_for(milliseconds(1));
    }
    scripted_backend& target = f.add(
        "i-2",
        [](scripted_connection& c) -> asio::awaitable<void> {
            co_await c.send(stream_head(c) + stream_events(4, 6) + stream_end);
        },
        "engines");
    f.state().registry.mark_leaving(backend_id("i-1"));
    active_streams& streams = f.state().streams;
    EXPECT_EQ(streams.list_movable(backend_id("i-1")).size(), 1U);
    const stop what = GetParam().what;
    if (what != stop::not_asked_for) {
        const milliseconds within(what == stop::announced_long_ago ? 1 : 300);
        const time_point until =
            what == stop::unknown_without_limit ? time_point::max() : monotonic_now() + within;
        EXPECT_TRUE(streams.expect_stop("a1", backend_id("i-1"), until));
        f.run_for(milliseconds(5));
    }
    ends = true;
    f.run_for(milliseconds(60));
    EXPECT_EQ(view->done, what == stop::not_asked_for || what == stop::announced_long_ago);
    if (what == stop::not_stopped) {
        streams.cancel_stop("a1");
    } else if (what == stop::moved) {
        streams.notify("a1", {backend_id("i-2"), target.address(), {"10.0.0.1:80", "handle-7"}},
                       monotonic_now());
    }
    f.finish(view);
    EXPECT_TRUE(view->done || view->closed);
    EXPECT_EQ(view->complete(), GetParam().expected_complete) << view->bytes;
    EXPECT_EQ(view->body(), events_text(0, GetParam().is_resumed_elsewhere ? 6 : 3));
    EXPECT_EQ(target.requests().size(), GetParam().is_resumed_elsewhere ? 1U : 0U);
}

// Guards against a whole stream that is broken off because the call for the last part of its move
// was lost, so that its engine never stopped it.
TEST(refuted_move, leaves_the_stream_whole) {
    forwarding_fixture f;
    f.route("long").timeout = seconds(6);
    bool goes_on = false;
    f.add(
        "i-1",
        [&goes_on](scripted_connection& c) -> asio::awaitable<void> {
            const std::string head =
                fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n\r\n{}",
                            c.field("Attempt-Id"), events_text(0, 3));
            co_await c.send(head);
            while (!goes_on) {
                co_await c.pause(1);
            }
            co_await c.send(events_text(4, 6));
            co_await c.pause(20);
            c.close();
        },
        "engines");
    const auto view = f.ask("long", "a1");
    for (int ms = 0; view->body() != events_text(0, 3) && ms < 2'000; ++ms) {
        f.run_for(milliseconds(1));
    }
    scripted_backend& target = f.add("i-2", answering("no such copy"), "engines");
    f.state().registry.mark_leaving(backend_id("i-1"));
    EXPECT_TRUE(f.state().streams.expect_stop("a1", backend_id("i-1"),
                                              monotonic_now() + milliseconds(300)));
    f.state().streams.notify(
        "a1", {backend_id("i-2"), target.address(), {"10.0.0.1:80", "handle-7"}}, monotonic_now());
    f.run_for(milliseconds(1'800));
    goes_on = true;
    f.finish(view);
    EXPECT_EQ(view->body(), events_text(0, 6));
    EXPECT_TRUE(view->complete()) << view->bytes;
    EXPECT_TRUE(target.requests().empty());
}

// Guards against a stop that is asked of an engine at which the stream doesn't run any more.
TEST(expected_stop, is_refused_for_a_stream_that_runs_elsewhere_or_has_ended) {
    asio::io_context context;
    active_streams streams;
    const auto stream = std::make_shared<active_stream>(context.get_executor(), "a1");
    stream->backend = backend_id("i-1");
    stream->movable = true;
    stream->output_tokens = 4;
    stream->origin.version = software_version("v1");
    streams.add(stream);
    const time_point until = monotonic_now() + seconds(1);
    EXPECT_FALSE(streams.expect_stop("a1", backend_id("i-2"), until));
    EXPECT_FALSE(streams.expect_stop("a2", backend_id("i-1"), until));
    EXPECT_FALSE(stream->stop_expected_until);
    EXPECT_TRUE(streams.expect_stop("a1", backend_id("i-1"), until));
    EXPECT_TRUE(stream->stop_expected_until);
    streams.notify("a1", {backend_id("i-2"), "10.0.0.2:80", {"10.0.0.1:80", "h"}}, until);
    EXPECT_FALSE(streams.expect_stop("a1", backend_id("i-1"), until));
}

} // namespace
} // namespace bamboostream::test
