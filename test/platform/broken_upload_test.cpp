// Responses without a length whose connection ends while the request is still being written.

#include "test/platform/forwarding_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

/// More than the buffers of both sockets hold.
constexpr std::size_t upload_bytes = 900'000;

enum class ending : std::uint8_t { reset, close_in_order };

/// How the connection ends, and how long after the last byte of the response.
struct ending_row {
    ending how;
    int after_ms;
    std::size_t body_bytes;
};

std::string name_of(const testing::TestParamInfo<ending_row>& info) {
    return fmt::format("{}_after_{}_ms_and_{}_bytes",
                       info.param.how == ending::reset ? "reset" : "closed", info.param.after_ms,
                       info.param.body_bytes);
}

class broken_upload : public testing::TestWithParam<ending_row> {
protected:
    /// Registers two servers that answer before they have read the body. Whichever gets the first
    /// request ends its connection behind `body`.
    void add_servers(const std::string& service, const std::string& body,
                     const std::string& elsewhere) {
        for (int i = 1; i <= 2; ++i) {
            scripted_backend& server = f_.add(
                fmt::format("i-{}", i),
                [this, body, elsewhere](scripted_connection& c) -> asio::awaitable<void> {
                    const bool first = ++begun_ == 1;
                    const std::string bytes = fmt::format(
                        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n{}\r\n{}",
                        c.field("Attempt-Id"),
                        first ? "" : fmt::format("Content-Length: {}\r\n", elsewhere.size()),
                        first ? body : elsewhere);
                    co_await c.send(bytes);
                    if (!first) {
                        co_return;
                    }
                    co_await c.pause(GetParam().after_ms);
                    if (GetParam().how == ending::reset) {
                        c.reset();
                    } else {
                        c.close();
                    }
                },
                service);
            server.answer_before_the_body();
        }
    }

    std::shared_ptr<caller_view> ask(const std::string& route) {
        auto view = f_.ask(route, "attempt-1", "", std::string(upload_bytes, 'u'));
        f_.finish(view);
        return view;
    }

    static std::string body() { return std::string(GetParam().body_bytes, 'b'); }
    static bool is_sound() { return GetParam().how == ending::close_in_order; }
    static bool is_whole(const caller_view& view) {
        return view.status() == 200 && view.complete();
    }

    forwarding_fixture f_;
    int begun_ = 0;
};

INSTANTIATE_TEST_SUITE_P(table, broken_upload,
                         testing::Values(ending_row{ending::reset, 0, 15},
                                         ending_row{ending::reset, 20, 15},
                                         ending_row{ending::reset, 0, 100'000},
                                         ending_row{ending::reset, 20, 100'000},
                                         ending_row{ending::reset, 20, 600'000},
                                         ending_row{ending::close_in_order, 0, 15},
                                         ending_row{ending::close_in_order, 20, 15},
                                         ending_row{ending::close_in_order, 20, 100'000}),
                         name_of);

// Guards against a part of a response that reaches its caller as a whole one, and against the loss
// of a whole one.
TEST_P(broken_upload, completes_a_call_only_if_the_server_closed_in_order) {
    add_servers("calls", body(), "elsewhere");
    const auto view = ask("once");
    EXPECT_EQ(is_whole(*view), is_sound()) << view->bytes.substr(0, 300);
    EXPECT_EQ(begun_, 1);
}

// Guards against a part of a response that ends a call which another server could run.
TEST_P(broken_upload, is_repeated_elsewhere) {
    add_servers("calls", body(), "elsewhere");
    const auto view = ask("safe");
    if (body().size() > 256 * 1024) {
        // The response had begun to reach the caller.
        EXPECT_FALSE(is_whole(*view));
    } else {
        EXPECT_EQ(view->body(), is_sound() ? body() : "elsewhere");
    }
}

// Guards against a part of a stream that reaches its caller as a whole one.
TEST_P(broken_upload, completes_a_stream_only_if_the_server_closed_in_order) {
    add_servers("engines", events_text(1, 2), events_text(2, 3));
    const auto view = ask("long");
    EXPECT_EQ(is_whole(*view), is_sound()) << view->bytes.substr(0, 300);
}

// Guards against a resumable stream that ends where its server reset the connection.
TEST_P(broken_upload, goes_on_elsewhere) {
    add_servers("engines", events_text(1, 2), events_text(3, 4));
    const auto view = ask("label");
    EXPECT_EQ(view->body(), events_text(1, is_sound() ? 2 : 4)) << view->bytes.substr(0, 300);
    EXPECT_TRUE(view->complete());
}

// Guards against a control call that takes a part of a response for a whole one.
TEST_P(broken_upload, is_a_response_to_fetch_only_if_the_server_closed_in_order) {
    scripted_backend server(f_.context(), [](scripted_connection& c) -> asio::awaitable<void> {
        co_await c.send("HTTP/1.1 200 OK\r\n\r\n" + body());
        co_await c.pause(GetParam().after_ms);
        if (GetParam().how == ending::reset) {
            c.reset();
        } else {
            c.close();
        }
    });
    server.answer_before_the_body();
    std::optional<http_response> response;
    bool done = false;
    asio::co_spawn(
        f_.context(),
        [&]() -> asio::awaitable<void> {
            http_failure why;
            response = co_await fetch(
                f_.context().get_executor(), server.address(),
                make_request("POST", "/log-append", std::string(4 * upload_bytes, 'u')),
                milliseconds(1'000), why);
            done = true;
        },
        asio::detached);
    const time_point limit = monotonic_now() + seconds(2);
    while (!done && monotonic_now() < limit) {
        f_.run_for(milliseconds(5));
    }
    EXPECT_TRUE(done);
    EXPECT_EQ(response.has_value(), is_sound());
    server.stop();
}

} // namespace
} // namespace bamboostream::test
