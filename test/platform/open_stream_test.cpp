// Responses that arrive when the caller has received the first events of a stream.

#include "bamboostream/src/Core/event_log.h"
#include "test/platform/forwarding_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

struct second_response {
    std::string name;
    std::string status;
    std::string tail;
    friend void PrintTo(const second_response& row, std::ostream* out) { *out << row.name; }
};

const std::string long_report = std::string(300'000, 'r');

const std::vector<second_response> second_responses = {
    {"own_failure", "409", "Response-Seal: s\r\nContent-Length: 6\r\n\r\nlocked"},
    {"own_failure_in_chunks", "404",
     "Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngone\r\n0\r\n\r\n"},
    {"redirection", "302", "Response-Seal: s\r\nLocation: /\r\nContent-Length: 0\r\n\r\n"},
    {"failure", "500", "Response-Seal: s\r\nContent-Length: 3\r\n\r\nbad"},
    {"long_failure", "500",
     fmt::format("Response-Seal: s\r\nContent-Length: 300000\r\n\r\n{}", long_report)},
    {"long_own_failure", "409",
     fmt::format("Response-Seal: s\r\nContent-Length: 300000\r\n\r\n{}", long_report)},
    {"refusal", "503", "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
    {"success_without_seal", "200", "Content-Length: 4\r\n\r\ntext"},
    {"success_of_another_type", "200",
     "Response-Seal: s\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"},
    {"success_without_body", "204", "Response-Seal: s\r\n\r\n"}};

class open_stream : public testing::TestWithParam<second_response> {
protected:
    /// Asks for a stream that stops at its first server after three events.
    std::shared_ptr<caller_view> ask() {
        f_.add(
            "i-1",
            [this](scripted_connection& c) -> asio::awaitable<void> {
                co_await c.send(stream_head(c) + stream_events(0, 2));
                while (!stops_) {
                    co_await c.pause(1);
                }
                c.reset();
            },
            "engines");
        auto view = f_.ask("label", "a1");
        for (int ms = 0; view->body() != events_text(0, 2) && ms < 2'000; ++ms) {
            f_.run_for(milliseconds(1));
        }
        f_.add(
            "i-2",
            [row = GetParam()](scripted_connection& c) -> asio::awaitable<void> {
                const std::string bytes = fmt::format("HTTP/1.1 {} X\r\nAttempt-Id: {}\r\n{}",
                                                      row.status, c.field("Attempt-Id"), row.tail);
                co_await c.send(bytes);
            },
            "engines");
        return view;
    }

    forwarding_fixture f_;
    bool stops_ = false;
};

INSTANTIATE_TEST_SUITE_P(table, open_stream, testing::ValuesIn(second_responses),
                         [](const auto& info) { return info.param.name; });

// Guards against a second server's response that is written into the stream that the caller reads.
TEST_P(open_stream, is_broken_off_by_a_response_that_does_not_continue_it) {
    const auto view = ask();
    stops_ = true;
    f_.finish(view);
    EXPECT_TRUE(view->closed);
    EXPECT_FALSE(view->complete());
    EXPECT_EQ(view->body(), events_text(0, 2));
    EXPECT_EQ(view->bytes.find("HTTP/1.1", 1), std::string::npos);
    EXPECT_TRUE(view->bytes.ends_with("\r\n"));
    EXPECT_EQ(f_.state().counters.open, 0U);
}

// Guards against a stream that is broken off although its route allows another attempt.
TEST_P(open_stream, goes_on_at_a_third_server) {
    f_.route("label").max_attempts = 3;
    const auto view = ask();
    scripted_backend& third = f_.add(
        "i-3",
        [](scripted_connection& c) -> asio::awaitable<void> {
            co_await c.send(stream_head(c) + stream_events(3, 5) + stream_end);
        },
        "engines");
    f_.state().picker.on_unreachable(backend_id("i-3"), monotonic_now());
    stops_ = true;
    f_.finish(view);
    EXPECT_TRUE(view->complete());
    EXPECT_EQ(view->body(), events_text(0, 5));
    EXPECT_EQ(third.requests().size(), 1U);
}

/// How a handler begins a response after it has begun another one.
struct second_begin {
    std::string name;
    std::function<asio::awaitable<bool>(http_exchange&)> begin;
};

class begun_response : public testing::TestWithParam<second_begin> {};

INSTANTIATE_TEST_SUITE_P(
    table, begun_response,
    testing::Values(
        second_begin{"whole", [](http_exchange& e) { return e.respond(409, {}, "locked", {}); }},
        second_begin{"body", [](http_exchange& e) { return e.begin_body(500, 3, {}); }},
        second_begin{"stream", [](http_exchange& e) { return e.begin_stream(200, {}, {}); }}),
    [](const auto& info) { return info.param.name; });

// Guards against an exchange that lets any handler write a second response into the first one.
TEST_P(begun_response, has_no_second_one) {
    asio::io_context context{1};
    std::optional<bool> accepted;
    http_server server({&context}, {}, [&](http_exchange& e) -> asio::awaitable<void> {
        co_await e.begin_stream(200, "text/event-stream", {});
        co_await e.write("id: 1\n\n");
        accepted = co_await GetParam().begin(e);
        co_await e.end_stream();
    });
    std::string why;
    const std::string address = server.listen("127.0.0.1:0", why).value();
    std::string received;
    const auto connection = std::make_shared<http_connection>(context.get_executor());
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            http_failure failure;
            const bool connected = co_await connection->connect(address, seconds(1), failure);
            EXPECT_TRUE(connected);
            connection->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false);
            const bool answered = co_await connection->read_head(failure);
            EXPECT_TRUE(answered);
            bool more = true;
            while (more) {
                more = co_await connection->read(received);
            }
        },
        asio::detached);
    context.run_for(milliseconds(100));
    EXPECT_EQ(accepted, false);
    EXPECT_EQ(received, "id: 1\n\n");
    EXPECT_FALSE(connection->complete());
}

} // namespace
} // namespace bamboostream::test
