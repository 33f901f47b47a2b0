// Second copies of responses that arrive where the response to the next request is due.

#include "test/platform/forwarding_fixture.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

/// A response that arrives where the response to "a2" is due: as far as it follows its status line
/// and its ids.
struct late_copy {
    std::string name;
    std::string status;
    std::string tail;
    /// What the caller of the next request gets.
    int expected_status = 200;
    int copies = 1;
    std::vector<std::string> ids = {"a1"};
    friend void PrintTo(const late_copy& row, std::ostream* out) { *out << row.name; }
};

std::string bytes_of(const late_copy& row) {
    std::string out;
    for (int i = 0; i < row.copies; ++i) {
        out += fmt::format("HTTP/1.1 {} X\r\n", row.status);
        for (const std::string& id : row.ids) {
            out += fmt::format("Attempt-Id: {}\r\n", id);
        }
        out += row.tail;
    }
    return out;
}

const std::string refusal_tail = "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

const std::vector<late_copy> copies = {
    {"refusal", "503", refusal_tail},
    {"refusal_for_a_limit", "429", "Server-Limit: 0.5\r\n" + refusal_tail},
    {"refusal_with_a_body", "503", "Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"},
    {"refusal_in_chunks", "503",
     "Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"},
    {"another_server", "421", "Content-Length: 0\r\n\r\n"},
    {"success", "200", "Response-Seal: s\r\nContent-Length: 3\r\n\r\nold"},
    {"success_with_load", "200",
     "Response-Seal: s\r\nReplica-Load: 9,9,9\r\nContent-Length: 3\r\n\r\nold"},
    {"failure", "500", "Response-Seal: s\r\nContent-Length: 3\r\n\r\nold"},
    {"own_failure", "404", "Response-Seal: s\r\nContent-Length: 3\r\n\r\nold"},
    {"two_refusals", "503", refusal_tail, 200, 2},
    {"refusals_without_end", "503", refusal_tail, 502, 100},
    {"a_long_body", "500",
     fmt::format("Content-Length: 400000\r\n\r\n{}", std::string(400000, 'x')), 502},
    {"without_framing", "503", "Not-Executed: 1\r\n\r\n", 502},
    {"with_the_end_of_the_connection", "503",
     "Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 502},
    {"refusal_of_nobody", "503", refusal_tail, 200, 1, {}},
    {"refusal_for_a_limit_of_nobody", "429", "Server-Limit: 0.5\r\n" + refusal_tail, 200, 1, {}},
    {"refusal_with_an_empty_id", "503", refusal_tail, 200, 1, {""}},
    {"refusal_with_two_ids", "503", refusal_tail, 200, 1, {"a2", "a1"}},
    {"refusal_with_an_id_in_another_case", "503", refusal_tail, 200, 1, {"A2"}},
    {"another_server_of_nobody", "421", "Content-Length: 0\r\n\r\n", 200, 1, {}},
    {"success_of_nobody", "200", "Response-Seal: s\r\nContent-Length: 3\r\n\r\nold", 200, 1, {}},
    {"failure_of_nobody", "500", "Response-Seal: s\r\nContent-Length: 3\r\n\r\nold", 200, 1, {}},
    {"own_failure_of_nobody",
     "404",
     "Response-Seal: s\r\nContent-Length: 3\r\n\r\nold",
     200,
     1,
     {}},
    {"refusals_of_nobody", "503", refusal_tail, 200, 3, {}},
    {"refusal_of_nobody_without_framing", "503", "Not-Executed: 1\r\n\r\n", 502, 1, {}}};

class late_response : public testing::TestWithParam<late_copy> {
protected:
    /// Answers "a1" with the response, and "a2" with its second copy and then its own response.
    backend_script server() {
        return [row = GetParam()](scripted_connection& c) -> asio::awaitable<void> {
            const std::string id = c.field("Attempt-Id");
            if (id == "a1") {
                co_await c.send(sealed_answer(c, "first"));
                co_return;
            }
            if (id == "a2") {
                const std::string copy = bytes_of(row);
                co_await c.send(copy);
                co_await c.pause(20);
            }
            co_await c.send(sealed_answer(c, "done"));
        };
    }

    forwarding_fixture f_;
};

INSTANTIATE_TEST_SUITE_P(table, late_response, testing::ValuesIn(copies),
                         [](const auto& info) { return info.param.name; });

// Guards against a request that runs and is refused, or runs twice, because the second copy of a
// response to an earlier request, or one to nobody, is taken for its own.
TEST_P(late_response, says_nothing_about_the_next_request) {
    scripted_backend& first = f_.add("i-1", server());
    f_.route("once").max_attempts = 2;
    f_.finish(f_.ask("once", "a1"));
    scripted_backend& second = f_.add("i-2", answering("elsewhere"));
    f_.state().picker.on_unreachable(backend_id("i-2"), monotonic_now());
    const auto view = f_.ask("once", "a2");
    f_.finish(view);
    EXPECT_EQ(view->status(), GetParam().expected_status) << view->bytes;
    EXPECT_EQ(view->body() == "done", GetParam().expected_status == 200) << view->bytes;
    EXPECT_EQ(first.requests().size(), 2U);
    EXPECT_EQ(second.requests().size(), 0U);
    EXPECT_FALSE(f_.state().registry.find(backend_id("i-1"))->leaving);
    EXPECT_FALSE(f_.state().rate_limits.find(backend_id("i-1")));
    EXPECT_GT(f_.state().counters.late_responses, 0U);
}

// Guards against the loss of a connection that is sound again once the copy was read.
TEST(late_response_connection, is_used_again) {
    forwarding_fixture f;
    scripted_backend& server = f.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        const std::string id = c.field("Attempt-Id");
        const std::string copy =
            fmt::format("HTTP/1.1 503 X\r\nAttempt-Id: old\r\n{}", refusal_tail);
        if (id == "a2") {
            co_await c.send(copy);
        }
        co_await c.send(sealed_answer(c, id));
    });
    for (const std::string id : {"a1", "a2", "a3"}) {
        const auto view = f.ask("once", id);
        f.finish(view);
        EXPECT_EQ(view->body(), id);
    }
    EXPECT_EQ(server.connections(), 1);
}

// Guards against a copy that has arrived on an idle connection before the next request is sent.
TEST(late_response_connection, with_waiting_bytes_gets_no_request) {
    forwarding_fixture f;
    bool copy_sent = false;
    scripted_backend& server = f.add("i-1", [&](scripted_connection& c) -> asio::awaitable<void> {
        const std::string answer = sealed_answer(c, c.field("Attempt-Id"));
        co_await c.send(answer);
        if (c.field("Attempt-Id") == "a1") {
            co_await c.pause(20);
            co_await c.send(answer);
            copy_sent = true;
        }
    });
    f.finish(f.ask("once", "a1"));
    while (!copy_sent) {
        f.context().restart();
        f.context().run_one();
    }
    // Taken before the instance has handled that the connection can be read.
    EXPECT_EQ(f.state().connections.take(server.address(), seconds(1), monotonic_now()), nullptr);
}

/// The first response on a connection, before a refusal that names no request.
struct unnamed_row {
    std::string name;
    bool first_is_refused = false;
    bool first_is_named = true;
    int expected_status = 503;
    int expected_connections = 1;
    friend void PrintTo(const unnamed_row& row, std::ostream* out) { *out << row.name; }
};

class unnamed_refusal : public testing::TestWithParam<unnamed_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, unnamed_refusal,
    testing::Values(unnamed_row{"after_a_success", false, true, 504, 1},
                    unnamed_row{"after_a_refusal", true, true, 504, 1},
                    unnamed_row{"after_an_unnamed_success", false, false, 503, 2},
                    unnamed_row{"after_an_unnamed_refusal", true, false, 503, 2}),
    [](const auto& info) { return info.param.name; });

// Guards against a refusal without an id that is believed although another response has arrived on
// its connection, and against a sound one that is reported as an unknown outcome.
TEST_P(unnamed_refusal, is_believed_only_as_the_first_response) {
    forwarding_fixture f;
    const unnamed_row row = GetParam();
    scripted_backend& server = f.add("i-1", [row](scripted_connection& c) -> asio::awaitable<void> {
        const bool is_first = c.field("Attempt-Id") == "a1";
        const std::string id = is_first && row.first_is_named ? "Attempt-Id: a1\r\n" : "";
        std::string answer = "HTTP/1.1 503 X\r\n" + id + refusal_tail;
        if (is_first && !row.first_is_refused) {
            // A failure of the server may lack an id, a success may not.
            answer = row.first_is_named
                         ? sealed_answer(c, "first")
                         : "HTTP/1.1 404 X\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n";
        }
        co_await c.send(answer);
    });
    const auto first = f.ask("once", "a1");
    f.finish(first);
    EXPECT_EQ(first->status(), row.first_is_refused ? 503 : row.first_is_named ? 200 : 404);
    const auto second = f.ask("once", "a2", "Deadline-Ms: 300\r\n");
    f.finish(second);
    EXPECT_EQ(second->status(), row.expected_status);
    EXPECT_EQ(server.connections(), row.expected_connections);
}

// Guards against a refusal without an id that is believed although the response to the request
// follows it.
TEST(unnamed_refusal_on_a_new_connection, is_not_believed_before_another_response) {
    forwarding_fixture f;
    scripted_backend& server = f.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        co_await c.send("HTTP/1.1 503 X\r\n" + refusal_tail + sealed_answer(c, "done"));
    });
    const auto view = f.ask("once", "a1");
    f.finish(view);
    EXPECT_EQ(view->status(), 502);
    EXPECT_EQ(server.requests().size(), 1U);
}

// Guards against a refusal that is believed since neither it nor its request has an id.
TEST(unnamed_request, is_sent_on_a_new_connection) {
    forwarding_fixture f;
    scripted_backend& server = f.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        std::string answer = "HTTP/1.1 503 X\r\n" + refusal_tail;
        if (!c.field("Attempt-Id").empty()) {
            answer = sealed_answer(c, "first");
        }
        co_await c.send(answer);
    });
    f.finish(f.ask("once", "a1"));
    for (const int connections : {2, 3}) {
        const auto view = f.ask("once", "");
        f.finish(view);
        EXPECT_EQ(view->status(), 503);
        EXPECT_EQ(server.connections(), connections);
    }
}

// Guards against the body of a copy that is taken for a response, and against a response that is
// taken for the body of a copy: the response to HEAD has none whatever its head says.
TEST(late_response_connection, of_a_head_request_carries_no_other) {
    forwarding_fixture f;
    scripted_backend& server = f.add("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        const bool is_head = c.request().starts_with("HEAD");
        std::string answer = sealed_answer(c, "text");
        if (is_head) {
            answer.resize(answer.size() - 4);
        }
        co_await c.send(answer);
    });
    for (const std::string method : {"POST", "HEAD", "POST"}) {
        const auto view = f.ask("once", "a" + method, "", "", method);
        f.finish(view, milliseconds(300));
        EXPECT_EQ(view->status(), 200);
        EXPECT_EQ(view->body(), method == "HEAD" ? "" : "text");
    }
    EXPECT_EQ(server.connections(), 2);
}

// Guards against the copy of a refusal that is taken for the response to the same request, which
// has come back to the server as the target of its move.
TEST(late_response_connection, of_the_same_request_is_not_used_again) {
    forwarding_fixture f;
    const backend_script source = [](scripted_connection& c) -> asio::awaitable<void> {
        co_await c.send(stream_head(c) + stream_events(0, 3));
        co_await c.pause(60);
        c.close();
    };
    int tries = 0;
    scripted_backend& target = f.add(
        "i-1",
        [&](scripted_connection& c) -> asio::awaitable<void> {
            if (++tries == 1) {
                f.add("i-2", source, "engines");
                const std::string refusal = "HTTP/1.1 503 X\r\nAttempt-Id: a1\r\n" + refusal_tail;
                co_await c.send(refusal);
                co_return;
            }
            co_await c.send(stream_head(c) + stream_events(4, 6) + stream_end);
        },
        "engines");
    f.route("long").max_attempts = 2;
    const auto view = f.ask("long", "a1");
    for (int ms = 0; view->body() != events_text(0, 3) && ms < 2'000; ++ms) {
        f.run_for(milliseconds(1));
    }
    f.state().streams.notify("a1", {backend_id("i-1"), target.address(), {"10.0.0.1:80", "h"}},
                             monotonic_now());
    f.finish(view);
    EXPECT_EQ(view->body(), events_text(0, 6));
    EXPECT_EQ(target.connections(), 2);
}

// Guards against a refusal that is believed although it arrived on a new connection before the
// request was sent, and against a request that is sent on that connection.
TEST(refusal_before_the_request, is_not_believed) {
    forwarding_fixture f;
    scripted_backend& early = f.add("i-1", answering("late"));
    early.greet_with("HTTP/1.1 503 X\r\n" + refusal_tail);
    const auto alone = f.ask("once", "a1");
    f.finish(alone);
    EXPECT_EQ(alone->status(), 503);
    EXPECT_EQ(f.state().counters.sends, 0U);
    scripted_backend& second = f.add("i-2", answering("elsewhere"));
    const auto view = f.ask("once", "a2");
    f.finish(view);
    EXPECT_EQ(view->body(), "elsewhere") << view->bytes;
    EXPECT_EQ(early.requests().size(), 0U);
    EXPECT_EQ(second.requests().size(), 1U);
}

} // namespace
} // namespace bamboostream::test
