// Responses that stop before they are whole, or whose framing can't be relied on.

#include "bamboostream/src/Http/http_connection.h"
#include "platform/http_generation_mover.h"
#include "platform/store_client.h"
#include "test/platform/forwarding_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// All that a server sends in response to a request, before it closes the connection.
struct cut_row {
    std::string name;
    /// After the status line, the id and the seal if `has_begin`.
    std::string tail;
    bool has_begin = true;
    /// Before all others.
    std::string interim = {};
    bool reset = false;
    friend void PrintTo(const cut_row& row, std::ostream* out) { *out << row.name; }
};

/// A body of 15 bytes, and the same number of bytes of an event.
const std::string plain_body = "body of a call\n";
const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

/// BODY stands for the body.
const std::vector<cut_row> rows = {
    {"in_the_status_line", "HTTP/1.1 20", false},
    {"before_the_empty_line", "Content-Length: 0\r\n"},
    {"interim_response_only", "", false, "HTTP/1.1 100 Continue\r\n\r\n"},
    {"early_hints_only", "", false, hints},
    {"in_early_hints", "HTTP/1.1 103 Early Hints\r\nLink: <", false},
    {"in_the_head_after_an_interim_response", "Content-Le", true, hints},
    {"before_the_empty_line_after_an_interim_response", "", true, "HTTP/1.1 100 Continue\r\n\r\n"},
    {"in_a_chunk_size", chunked + "f"},
    {"in_a_chunk_extension", chunked + "f;a=b"},
    {"in_a_chunk", chunked + "1f\r\nBODY"},
    {"after_a_chunk", chunked + "f\r\nBODY\r\n"},
    {"in_the_last_chunk_size", chunked + "f\r\nBODY\r\n0"},
    {"in_a_trailer", chunked + "f\r\nBODY\r\n0\r\nX-Sum: 1"},
    {"after_a_trailer", chunked + "f\r\nBODY\r\n0\r\nX-Sum: 1\r\n"},
    {"without_the_empty_line_of_the_trailer", chunked + "f\r\nBODY\r\n0\r\n"},
    {"no_chunk", chunked},
    {"neither_length_nor_body", "\r\n"},
    {"neither_length_nor_body_after_an_interim_response", "\r\n", true, hints},
    {"no_length_and_reset", "\r\nBODY", true, "", true},
    {"large_without_length_and_reset", "\r\nBODY" + std::string(600'000, 'x'), true, "", true},
    {"shorter_than_its_length", "Content-Length: 19\r\n\r\nBODY"},
    {"two_lengths", "Content-Length: 15\r\nContent-Length: 19\r\n\r\nBODY"},
    {"two_lengths_in_a_list", "Content-Length: 15, 19\r\n\r\nBODY"},
    {"length_with_a_sign", "Content-Length: +15\r\n\r\nBODY"},
    {"length_out_of_range", "Content-Length: 99999999999999999999999\r\n\r\nBODY"},
    {"folded_length", "Content-Length: 1\r\n 5\r\n\r\nBODY"},
    {"length_and_chunks", "Content-Length: 15\r\n" + chunked + "f\r\nBODY\r\n0\r\n\r\n"},
    {"chunks_and_length",
     "Transfer-Encoding: chunked\r\nContent-Length: 15\r\n\r\nf\r\nBODY\r\n0\r\n\r\n"},
    {"unknown_coding", "Transfer-Encoding: xchunked\r\n\r\nBODY"},
    {"unknown_coding_and_length", "Transfer-Encoding: gzip\r\nContent-Length: 15\r\n\r\nBODY"},
    {"unknown_coding_in_chunks", "Transfer-Encoding: gzip, chunked\r\n\r\nf\r\nBODY\r\n0\r\n\r\n"},
    {"unknown_coding_in_chunks_of_two_fields",
     "Transfer-Encoding: gzip\r\n" + chunked + "f\r\nBODY\r\n0\r\n\r\n"},
    {"chunks_that_are_coded", "Transfer-Encoding: chunked, gzip\r\n\r\nf\r\nBODY\r\n0\r\n\r\n"},
    {"bare_line_feeds", "HTTP/1.1 200 OK\nAttempt-Id: ID\nResponse-Seal: s\n\nBODY", false},
    {"bare_line_feed_before_the_body", "Content-Length: 15\r\n\nBODY"},
    {"bare_line_feeds_around_a_chunk", chunked + "f\nBODY\n0\n\n"}};

void replace(std::string& text, std::string_view name, std::string_view value) {
    if (const std::size_t at = text.find(name); at != std::string::npos) {
        text.replace(at, name.size(), value);
    }
}

std::string bytes_of(const cut_row& row, const std::string& id, const std::string& body) {
    std::string out = row.interim;
    out += row.has_begin ? "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\n" : "";
    out += row.tail;
    replace(out, "ID", id);
    replace(out, "BODY", body);
    return out;
}

asio::awaitable<void> send_cut(scripted_connection& c, const cut_row& row,
                               const std::string& body) {
    const std::string bytes = bytes_of(row, c.field("Attempt-Id"), body);
    co_await c.send(bytes);
    co_await c.pause(20);
    if (row.reset) {
        c.reset();
    } else {
        c.close();
    }
}

class cut_response : public testing::TestWithParam<cut_row> {
protected:
    /// Registers three servers: whichever gets the `cut`-th request stops within its response. In
    /// a stream, the ones before stop after one event.
    void add_servers(const std::string& service, int cut) {
        for (int i = 1; i <= 3; ++i) {
            f_.add(
                fmt::format("i-{}", i),
                [this, service, cut](scripted_connection& c) -> asio::awaitable<void> {
                    const int number = ++begun_;
                    const int first = c.field("Last-Event-Id").empty() ? 1 : 2;
                    const bool streams = service == "engines";
                    if (number == cut) {
                        const std::string body = streams ? events_text(1, 1) : plain_body;
                        co_await send_cut(c, GetParam(), body);
                    } else if (number < cut) {
                        const std::string begin = stream_head(c) + stream_events(1, 1);
                        co_await c.send(begin);
                        c.close();
                    } else {
                        const std::string whole =
                            streams ? stream_head(c) + stream_events(first, 3) + stream_end
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

    static void expect_no_success(const caller_view& view) {
        EXPECT_TRUE(view.closed || view.done) << "no response in time";
        EXPECT_FALSE(view.status() / 100 == 2 && view.complete()) << view.bytes.substr(0, 300);
    }

    forwarding_fixture f_;
    int begun_ = 0;
};

INSTANTIATE_TEST_SUITE_P(table, cut_response, testing::ValuesIn(rows),
                         [](const auto& info) { return info.param.name; });

// Guards against a response that was cut off and reaches its caller as a whole one.
TEST_P(cut_response, is_no_success_of_a_call_that_runs_once) {
    add_servers("calls", 1);
    expect_no_success(*ask("once"));
    EXPECT_EQ(begun_, 1);
}

// Guards against a cut stream that reaches its caller as a whole one.
TEST_P(cut_response, is_no_success_of_a_stream_that_runs_once) {
    add_servers("engines", 1);
    expect_no_success(*ask("long"));
    EXPECT_EQ(begun_, 1);
}

// Guards against a response that was cut off and ends a call that may be repeated.
TEST_P(cut_response, is_repeated_elsewhere) {
    add_servers("calls", 1);
    const auto view = ask("safe");
    if (view->body().size() > 100'000) {
        // The response had begun to reach the caller.
        expect_no_success(*view);
    } else {
        EXPECT_EQ(view->body(), "elsewhere") << view->bytes.substr(0, 300);
    }
    EXPECT_EQ(view->status(), 200);
}

// Guards against a resumable stream that ends where its server's response was cut off.
TEST_P(cut_response, goes_on_elsewhere) {
    add_servers("engines", 1);
    const auto view = ask("label");
    EXPECT_EQ(view->body(), events_text(1, 3)) << view->bytes.substr(0, 300);
    EXPECT_TRUE(view->complete());
    EXPECT_EQ(view->field("Response-Seal"), "s");
}

// Guards against a stream that ends as complete when the server that it goes on at stops.
TEST_P(cut_response, goes_on_elsewhere_twice) {
    f_.route("label").max_attempts = 3;
    add_servers("engines", 2);
    const auto view = ask("label");
    EXPECT_EQ(view->body(), events_text(1, 3)) << view->bytes.substr(0, 300);
    EXPECT_TRUE(view->complete());
    EXPECT_EQ(begun_, 3);
}

// Guards against a cut response that a late copy before it makes look whole.
TEST_P(cut_response, is_no_success_behind_a_late_copy) {
    scripted_backend& server = f_.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        const std::string id = c.field("Attempt-Id");
        std::string bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: attempt-0\r\nResponse-Seal: s\r\n"
                            "Content-Length: 3\r\n\r\nold";
        co_await c.send(bytes);
        if (id != "attempt-0") {
            co_await send_cut(c, GetParam(), plain_body);
        }
    });
    f_.finish(f_.ask("once", "attempt-0"));
    expect_no_success(*ask("once"));
    EXPECT_EQ(server.requests().size(), 2u);
}

// Guards against control calls, and calls of the product's own interface, that take a cut response
// for a whole one.
TEST_P(cut_response, is_no_response_to_fetch) {
    scripted_backend server(f_.context(), [](scripted_connection& c) -> asio::awaitable<void> {
        co_await send_cut(c, GetParam(), plain_body);
    });
    std::optional<http_response> response;
    bool done = false;
    asio::co_spawn(
        f_.context(),
        [&]() -> asio::awaitable<void> {
            http_failure why;
            http_request request = make_request("GET", "/report");
            response = co_await fetch(f_.context().get_executor(), server.address(),
                                      std::move(request), milliseconds(500), why);
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

// Guards against a head without a body that is cut off and reaches its caller as a whole one.
TEST(cut_head, is_no_success_of_a_call_for_the_head) {
    forwarding_fixture f;
    f.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        const std::string bytes =
            fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                        "Content-Length: 4\r\n",
                        c.field("Attempt-Id"));
        co_await c.send(bytes);
        c.close();
    });
    const auto view = f.ask("once", "attempt-1", "", "", "HEAD");
    f.finish(view, milliseconds(500));
    EXPECT_EQ(view->status(), 502) << view->bytes;
}

// Guards against the loss of a sound response without a body that ends with its connection.
TEST(empty_response, that_announces_the_end_of_its_connection_is_whole) {
    forwarding_fixture f;
    f.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        const std::string bytes =
            fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                        "Connection: close\r\n\r\n",
                        c.field("Attempt-Id"));
        co_await c.send(bytes);
        c.close();
    });
    const auto view = f.ask("once", "attempt-1");
    f.finish(view);
    EXPECT_EQ(view->status(), 200) << view->bytes;
}

/// How the carrier of a tunnel ends it after the server's bytes.
class tunneled_cut_response : public testing::TestWithParam<std::tuple<cut_row, bool>> {};

INSTANTIATE_TEST_SUITE_P(table, tunneled_cut_response,
                         testing::Combine(testing::ValuesIn(rows), testing::Bool()),
                         [](const auto& info) {
                             return std::get<0>(info.param).name +
                                    (std::get<1>(info.param) ? "_in_order" : "_broken_off");
                         });

// Guards against a cut response that looks whole at the other end of a tunnel.
TEST_P(tunneled_cut_response, is_not_complete) {
    const auto& [row, in_order] = GetParam();
    asio::io_context context{1};
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    tcp::socket origin(context);
    origin.connect(acceptor.local_endpoint());
    tcp::socket carrier = acceptor.accept();
    const std::string bytes = bytes_of(row, "a", plain_body);
    std::string records;
    for (std::size_t at = 0; at < bytes.size(); at += max_tunnel_record_bytes) {
        records +=
            encode_tunnel_record(std::string_view(bytes).substr(at, max_tunnel_record_bytes));
    }
    // A server that resets its connection doesn't end it in order.
    records += in_order && !row.reset ? encode_tunnel_end() : "";
    const auto connection = std::make_shared<http_connection>(context.get_executor());
    connection->adopt_tunnel(std::move(origin), "carrier");
    bool complete = false;
    bool done = false;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            http_failure why;
            std::string body;
            connection->send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", false);
            if (co_await connection->read_head(why)) {
                while (co_await connection->read(body)) {
                }
                complete = connection->complete();
            }
            done = true;
        },
        asio::detached);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            boost::system::error_code ignored;
            co_await asio::async_write(carrier, asio::buffer(records),
                                       asio::redirect_error(asio::use_awaitable, ignored));
            carrier.shutdown(tcp::socket::shutdown_send, ignored);
        },
        asio::detached);
    const time_point limit = monotonic_now() + seconds(2);
    while (!done && monotonic_now() < limit) {
        context.restart();
        context.run_for(milliseconds(2));
    }
    EXPECT_TRUE(done);
    EXPECT_FALSE(complete);
}

/// How a stream without events is framed.
struct empty_stream_row {
    std::string name;
    std::string tail;
    friend void PrintTo(const empty_stream_row& row, std::ostream* out) { *out << row.name; }
};

class empty_stream : public testing::TestWithParam<empty_stream_row> {};

INSTANTIATE_TEST_SUITE_P(table, empty_stream,
                         testing::Values(empty_stream_row{"chunked", chunked + "0\r\n\r\n"},
                                         empty_stream_row{"length", "Content-Length: 0\r\n\r\n"}),
                         [](const auto& info) { return info.param.name; });

// Guards against a success without the fields of the server's response.
TEST_P(empty_stream, reaches_the_caller_with_its_fields) {
    forwarding_fixture f;
    f.add(
        "i-1",
        [](scripted_connection& c) -> asio::awaitable<void> {
            const std::string bytes =
                fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n{}",
                            c.field("Attempt-Id"), GetParam().tail);
            co_await c.send(bytes);
        },
        "engines");
    const auto view = f.ask("long", "attempt-1");
    f.finish(view);
    EXPECT_EQ(view->status(), 200);
    EXPECT_TRUE(view->complete());
    EXPECT_EQ(view->field("Response-Seal"), "s");
    EXPECT_EQ(view->field("Attempt-Id"), "attempt-1");
}

/// The length of the part of a late copy that arrives before the response that is due.
class cut_late_copy : public testing::TestWithParam<int> {};

const std::string late_copy_bytes =
    "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Id: attempt-0\r\nContent-Length: 3\r\n\r\nold";

INSTANTIATE_TEST_SUITE_P(lengths, cut_late_copy,
                         testing::Range(1, static_cast<int>(late_copy_bytes.size())));

// Guards against a failure that becomes a success because its head is read as the rest of another.
TEST_P(cut_late_copy, makes_no_success_of_a_failure) {
    forwarding_fixture f;
    f.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        if (c.field("Attempt-Id") != "attempt-0") {
            const std::string part =
                late_copy_bytes.substr(0, static_cast<std::size_t>(GetParam()));
            co_await c.send(part);
        }
        const int status = c.field("Attempt-Id") == "attempt-0" ? 200 : 500;
        const std::string own = sealed_answer(c, "own", status);
        co_await c.send(own);
    });
    f.finish(f.ask("once", "attempt-0"));
    const time_point began = monotonic_now();
    const auto view = f.ask("once", "attempt-1");
    f.finish(view);
    EXPECT_GE(view->status(), 500) << view->bytes;
    EXPECT_LT(monotonic_now() - began, milliseconds(600));
}

/// A field of a sound response whose value resembles a status line.
class version_in_a_field : public testing::TestWithParam<std::string> {};

INSTANTIATE_TEST_SUITE_P(table, version_in_a_field,
                         testing::Values("Via: HTTP/1.1 192.168.0.1",
                                         "Via: HTTP/1.1 203.0.113.7:80",
                                         "Via: HTTP/1.1 127.0.0.1 (proxy), 1.1 b",
                                         "Upgrade: HTTP/1.1 2000", "Server: HTTP/1.1 100x"));

// Guards against the loss of a sound response because one of its fields names a version of HTTP.
TEST_P(version_in_a_field, is_no_second_head) {
    forwarding_fixture f;
    f.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        const std::string bytes =
            fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n{}\r\n"
                        "Content-Length: 3\r\n\r\nown",
                        c.field("Attempt-Id"), GetParam());
        co_await c.send(bytes);
    });
    const auto view = f.ask("once", "attempt-1");
    f.finish(view);
    EXPECT_EQ(view->body(), "own") << view->bytes;
}

// Guards against a page of the store that is cut off and hides records, or parts of them.
TEST(cut_page, has_whole_records_and_goes_on_after_them) {
    const std::string record("\0\0\0\4\1kvv", 8);
    const std::string page = std::string(16, '\0') + record + record;
    for (std::size_t size = 0; size < page.size(); ++size) {
        const auto parsed = platform::parse_records(std::string_view(page).substr(0, size), 5);
        const bool at_boundary = size == 16 || size == 16 + record.size();
        ASSERT_EQ(parsed.has_value(), at_boundary) << size;
        if (parsed) {
            EXPECT_EQ(parsed->records.size(), (size - 16) / record.size());
            EXPECT_EQ(parsed->next, 5 + static_cast<std::int64_t>(parsed->records.size()));
        }
    }
}

/// A response to the order to move a generation.
struct move_row {
    std::string name;
    std::string response;
    bool last;
    move_error expected;
    friend void PrintTo(const move_row& row, std::ostream* out) { *out << row.name; }
};

class cut_move_response : public testing::TestWithParam<move_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, cut_move_response,
    testing::Values(
        move_row{"copied", "200 OK\r\n\r\n{\"handle\":\"h", true, move_error::unreachable},
        move_row{"first_copy", "200 OK\r\n\r\n{\"handle\":\"h", false, move_error::unreachable},
        move_row{"without_handle", "200 OK\r\nContent-Length: 2\r\n\r\n{}", true,
                 move_error::unreachable},
        move_row{"stopped", "503 X\r\n\r\n{\"handle\":", true, move_error::unreachable},
        move_row{"refused", "503 X\r\nContent-Length: 2\r\n\r\n{}", true, move_error::refused},
        move_row{"refused_without_body", "503 X\r\nContent-Length: 0\r\n\r\n", true,
                 move_error::refused},
        move_row{"refused_in_words", "503 X\r\nContent-Length: 4\r\n\r\nfull", true,
                 move_error::refused},
        move_row{"not_running", "404 X\r\nContent-Length: 0\r\n\r\n", true,
                 move_error::not_running}),
    [](const auto& info) { return info.param.name; });

// Guards against a move whose outcome isn't known and that counts as copied or refused: a stream
// that was stopped for it would look complete.
TEST_P(cut_move_response, says_what_is_known_of_the_move) {
    asio::io_context context{1};
    scripted_backend engine(context, [](scripted_connection& c) -> asio::awaitable<void> {
        const std::string bytes = "HTTP/1.1 " + GetParam().response;
        co_await c.send(bytes);
        c.close();
    });
    std::optional<move_result> result;
    move_failure why;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            platform::http_generation_mover mover(context.get_executor());
            result = co_await mover.move(engine.address(), "g", "10.0.0.1:1", GetParam().last,
                                         milliseconds(300), why);
        },
        asio::detached);
    context.run_for(milliseconds(150));
    EXPECT_FALSE(result);
    EXPECT_EQ(why.code, GetParam().expected) << why.text;
    engine.stop();
    context.run_for(milliseconds(10));
}

} // namespace
} // namespace bamboostream::test
