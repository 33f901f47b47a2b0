// Response heads that are not valid HTTP/1.1.

#include "test/platform/forwarding_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;
using namespace std::string_literals;

struct head_row {
    std::string name;
    std::string status_line = "HTTP/1.1 200 OK";
    /// A line behind the id and the seal.
    std::string line = "Content-Length: 15";
    /// Between the id and the seal.
    std::string line_before_the_seal = {};
    /// Before the head.
    std::string interim = {};
    friend void PrintTo(const head_row& row, std::ostream* out) { *out << row.name; }
};

const std::string sound = "HTTP/1.1 200 OK";

const std::vector<head_row> rows = {
    {"status_000", "HTTP/1.1 000 OK"},
    {"status_000_without_body", "HTTP/1.1 000 OK", "Content-Length: 0"},
    {"status_020", "HTTP/1.1 020 OK"},
    {"status_099", "HTTP/1.1 099 OK"},
    {"status_101", "HTTP/1.1 101 Switching Protocols", "Upgrade: other"},
    {"status_600", "HTTP/1.1 600 Odd"},
    {"status_999", "HTTP/1.1 999 Odd"},
    {"status_000_after_an_interim_response", "HTTP/1.1 000 OK", "Content-Length: 15", "",
     "HTTP/1.1 100 Continue\r\n\r\n"},
    {"blank_before_a_name", sound, " Content-Length: 15"},
    {"tab_before_a_name", sound, "\tContent-Length: 15"},
    {"blank_in_a_name", sound, "Content Length: 15"},
    {"tab_in_a_name", sound, "Content\tLength: 15"},
    {"blank_after_a_name", sound, "Content-Length : 15"},
    {"control_byte_in_a_name", sound, "Content\x01Length: 15"},
    {"null_in_a_name", sound, "Content\0Length: 15"s},
    {"delete_in_a_name", sound, "Content\x7fLength: 15"},
    {"line_feed_in_a_name", sound, "Content\nLength: 15"},
    {"carriage_return_in_a_name", sound, "Content\rLength: 15"},
    {"escape_before_a_name", sound,
     "\x1b"
     "Content-Length: 15"},
    {"byte_beyond_ascii_in_a_name", sound, "Content\xc3\xa4Length: 15"},
    {"no_name", sound, ": 15"},
    {"no_colon", sound, "Content-Length 15"},
    {"blank_before_another_name", sound, "Content-Length: 15", " X-Odd: 1"},
    {"blank_in_another_name", sound, "Content-Length: 15", "X Odd: 1"},
    {"control_byte_in_another_name", sound, "Content-Length: 15", "X\x02Odd: 1"},
    {"control_byte_in_a_value", sound, "Content-Length: 15",
     "X-Odd: a\x02"
     "b"},
    {"blank_before_a_name_of_an_interim_response", sound, "Content-Length: 15", "",
     "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n X-Odd: 1\r\n\r\n"},
    {"blank_before_the_only_name_of_an_interim_response", sound, "Content-Length: 15", "",
     "HTTP/1.1 103 Early Hints\r\n X-Odd: 1\r\n\r\n"}};

/// Sends the head in pieces of `piece` bytes, then a body, and a sound response behind it.
asio::awaitable<void> send_spoiled(scripted_connection& c, const head_row& row, std::size_t piece) {
    const std::string bytes = fmt::format(
        "{}{}\r\nAttempt-Id: {}\r\n{}Response-Seal: s\r\n{}\r\n\r\nbody of a call\n", row.interim,
        row.status_line, c.field("Attempt-Id"),
        row.line_before_the_seal.empty() ? "" : row.line_before_the_seal + "\r\n", row.line);
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        co_await c.send(bytes.substr(at, piece));
        if (piece < bytes.size()) {
            co_await c.pause(1);
        }
    }
    co_await c.send(sealed_answer(c, "another response"));
    co_await c.pause(20);
    c.close();
}

constexpr std::size_t at_once = 1'000'000;

class spoiled_head : public testing::TestWithParam<std::tuple<head_row, std::size_t>> {
protected:
    static const head_row& row() { return std::get<0>(GetParam()); }

    /// Registers two servers: whichever gets the first request sends the spoiled head.
    void add_servers(const std::string& service) {
        for (int i = 1; i <= 2; ++i) {
            f_.add(
                fmt::format("i-{}", i),
                [this, service](scripted_connection& c) -> asio::awaitable<void> {
                    if (++begun_ == 1) {
                        co_await send_spoiled(c, row(), std::get<1>(GetParam()));
                    } else {
                        const std::string whole =
                            service == "engines" ? stream_head(c) + stream_events(1, 3) + stream_end
                                                 : sealed_answer(c, "elsewhere");
                        co_await c.send(whole);
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

INSTANTIATE_TEST_SUITE_P(table, spoiled_head,
                         testing::Combine(testing::ValuesIn(rows),
                                          testing::Values(at_once, std::size_t{7})),
                         [](const auto& info) {
                             return std::get<0>(info.param).name +
                                    (std::get<1>(info.param) == at_once ? "" : "_in_pieces");
                         });

// Guards against bytes that are no response, or the body of another one, which reach a caller as
// its response.
TEST_P(spoiled_head, is_no_response_to_a_call) {
    add_servers("calls");
    const auto view = ask("once");
    EXPECT_EQ(view->status(), 502) << view->bytes;
    EXPECT_EQ(view->bytes.find("Odd"), std::string::npos) << view->bytes;
    EXPECT_EQ(begun_, 1);
}

// Guards against a stream that begins or ends with bytes that are no response.
TEST_P(spoiled_head, is_no_response_to_a_stream) {
    add_servers("engines");
    EXPECT_EQ(ask("long")->status(), 502);
}

// Guards against a call that ends although another server can run it.
TEST_P(spoiled_head, is_replaced_by_the_response_of_another_server) {
    add_servers("calls");
    EXPECT_EQ(ask("safe")->body(), "elsewhere");
}

// Guards against a stream that ends although another server can run it.
TEST_P(spoiled_head, is_replaced_by_the_stream_of_another_server) {
    add_servers("engines");
    EXPECT_EQ(ask("label")->body(), events_text(1, 3));
}

// Guards against a control call that takes such bytes for its response.
TEST_P(spoiled_head, is_no_response_to_fetch) {
    scripted_backend server(f_.context(), [](scripted_connection& c) -> asio::awaitable<void> {
        co_await send_spoiled(c, row(), std::get<1>(GetParam()));
    });
    std::optional<http_response> response;
    bool done = false;
    asio::co_spawn(
        f_.context(),
        [&]() -> asio::awaitable<void> {
            http_failure why;
            response = co_await fetch(f_.context().get_executor(), server.address(),
                                      make_request("GET", "/report"), milliseconds(700), why);
            done = true;
        },
        asio::detached);
    const time_point limit = monotonic_now() + seconds(1);
    while (!done && monotonic_now() < limit) {
        f_.run_for(milliseconds(5));
    }
    EXPECT_TRUE(done);
    EXPECT_FALSE(response);
    server.stop();
}

// Guards against the loss of sound heads with unusual but valid fields.
TEST(sound_head, reaches_its_caller) {
    forwarding_fixture f;
    f.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        const std::string bytes = fmt::format(
            "HTTP/1.1 299 \r\nAttempt-Id: {}\r\nResponse-Seal:s\r\n!#$%&'*+-.^_`|~9: odd\r\n"
            "X-Empty:\r\nX-Blank:  a \t b \r\nX-Text: \xc3\xa4\r\nContent-Length: 4\r\n\r\nbody",
            c.field("Attempt-Id"));
        for (const char byte : bytes) {
            co_await c.send(std::string(1, byte));
        }
    });
    const auto view = f.ask("once", "attempt-1");
    f.finish(view);
    EXPECT_EQ(view->status(), 299) << view->bytes;
    EXPECT_EQ(view->field("!#$%&'*+-.^_`|~9"), "odd");
    EXPECT_EQ(view->field("X-Blank"), "a \t b");
    EXPECT_EQ(view->body(), "body");
}

} // namespace
} // namespace bamboostream::test
