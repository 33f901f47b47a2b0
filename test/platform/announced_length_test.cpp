// Responses that announce a length beyond the memory of the instance.

#include "test/platform/forwarding_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

struct length_row {
    std::string name;
    /// The end of the head, up to the first byte of the body.
    std::string framing;
    friend void PrintTo(const length_row& row, std::ostream* out) { *out << row.name; }
};

/// A server that sends the begin of such a response and closes the connection.
class announced_length : public testing::TestWithParam<length_row> {
protected:
    static asio::awaitable<void> send_begin(scripted_connection& c) {
        const std::string bytes =
            fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n{}{}",
                        c.field("Attempt-Id"), GetParam().framing, std::string(800, 'x'));
        co_await c.send(bytes);
        co_await c.pause(20);
        c.close();
    }

    /// Registers two servers: whichever gets the first request sends the begin of a response.
    void add_servers(const std::string& service, const std::string& whole) {
        for (int i = 1; i <= 2; ++i) {
            f_.add(
                fmt::format("i-{}", i),
                [this, whole](scripted_connection& c) -> asio::awaitable<void> {
                    if (++begun_ == 1) {
                        co_await send_begin(c);
                    } else {
                        const std::string bytes =
                            whole.empty() ? stream_head(c) + stream_events(1, 3) + stream_end
                                          : sealed_answer(c, whole);
                        co_await c.send(bytes);
                    }
                },
                service);
        }
    }

    std::shared_ptr<caller_view> ask(const std::string& route) {
        auto view = f_.ask(route, "attempt-1");
        f_.finish(view);
        return view;
    }

    forwarding_fixture f_;
    int begun_ = 0;
};

INSTANTIATE_TEST_SUITE_P(
    table, announced_length,
    testing::Values(length_row{"petabytes", "Content-Length: 8008008008008008\r\n\r\n"},
                    length_row{"half_of_64_bits", "Content-Length: 9223372036854775807\r\n\r\n"},
                    length_row{"all_of_64_bits", "Content-Length: 18446744073709551615\r\n\r\n"},
                    length_row{"petabytes_in_a_chunk",
                               "Transfer-Encoding: chunked\r\n\r\n1c7338e8b2f4a8\r\n"}),
    [](const auto& info) { return info.param.name; });

// Guards against a call whose connection ends without a response.
TEST_P(announced_length, is_a_failure_that_the_caller_is_told_of) {
    add_servers("calls", "elsewhere");
    const auto view = ask("once");
    EXPECT_EQ(view->status(), 502) << view->bytes;
    EXPECT_EQ(begun_, 1);
}

// Guards against a stream whose connection ends without a response.
TEST_P(announced_length, is_a_failure_of_a_stream_that_the_caller_is_told_of) {
    add_servers("engines", "");
    EXPECT_EQ(ask("long")->status(), 502);
    EXPECT_EQ(begun_, 1);
}

// Guards against a call that fails although another server can run it.
TEST_P(announced_length, is_replaced_by_the_response_of_another_server) {
    add_servers("calls", "elsewhere");
    EXPECT_EQ(ask("safe")->body(), "elsewhere");
    f_.route("label").max_attempts = 2;
    begun_ = 0;
    add_servers("engines", "");
    EXPECT_EQ(ask("label")->body(), events_text(1, 3));
}

// Guards against control calls that end without a result, and their callers with them.
TEST_P(announced_length, is_a_failure_of_a_control_call) {
    scripted_backend server(f_.context(), send_begin);
    bool done = false;
    asio::co_spawn(
        f_.context(),
        [&]() -> asio::awaitable<void> {
            http_failure why;
            const auto response =
                co_await fetch(f_.context().get_executor(), server.address(),
                               make_request("GET", "/report"), milliseconds(500), why);
            EXPECT_FALSE(response);
            done = true;
        },
        asio::detached);
    f_.run_for(milliseconds(200));
    EXPECT_TRUE(done);
    server.stop();
}

} // namespace
} // namespace bamboostream::test
