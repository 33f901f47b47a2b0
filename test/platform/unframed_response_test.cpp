// Responses with neither a length nor chunks, which end with their connection.

#include "bamboostream/src/Core/digest.h"
#include "test/platform/forwarding_fixture.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

/// What a server does with the last byte of such a response.
enum class ending : std::uint8_t { survives, crashes, ends_while_leaving };

struct unframed_row {
    std::string name;
    std::string route;
    ending how;
    /// The caller gets a complete response from this server, and it shows that the server survived.
    bool complete;
    bool shows_survival;
    friend void PrintTo(const unframed_row& row, std::ostream* out) { *out << row.name; }
};

const request_digest shared_part = prompt_part::of("m", "5c").digest;

class unframed_response : public testing::TestWithParam<unframed_row> {
protected:
    unframed_response() {
        const bool streams = GetParam().route == "long" || GetParam().route == "label";
        service_ = streams ? "engines" : "calls";
        body_ = streams ? events_text(1, 2) : "sound";
        first_ = &f_.add(
            "i-1",
            [this](scripted_connection& c) -> asio::awaitable<void> {
                const std::string bytes =
                    fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n\r\n{}",
                                c.field("Attempt-Id"), body_);
                co_await c.send(bytes);
                co_await c.pause(20);
                if (GetParam().how == ending::survives) {
                    c.close();
                } else {
                    c.end_process();
                }
            },
            service_);
    }

    std::shared_ptr<caller_view> ask() {
        auto view =
            f_.ask(GetParam().route, "attempt-1", "Model: m\r\nPrompt-Prefix: 5c:80,e4:2\r\n");
        f_.run_for(milliseconds(10));
        if (GetParam().how == ending::ends_while_leaving) {
            f_.state().registry.mark_leaving(backend_id("i-1"));
        }
        f_.finish(view);
        return view;
    }

    /// Adds evidence against the part, as if other servers had crashed before.
    void add_evidence() {
        for (std::uint64_t server = 1; server <= 3; ++server) {
            crash_evidence it;
            it.request = {server, 1};
            it.server = server;
            it.caller = stable_hash("desk");
            it.at = monotonic_now() - milliseconds(500 * server);
            it.parts = {shared_part};
            evidence_.push_back(it);
        }
    }

    forwarding_fixture f_;
    std::string service_;
    std::string body_;
    scripted_backend* first_ = nullptr;
    std::vector<crash_evidence> evidence_;
};

INSTANTIATE_TEST_SUITE_P(
    table, unframed_response,
    testing::Values(unframed_row{"call", "once", ending::survives, true, true},
                    unframed_row{"call_that_crashes", "once", ending::crashes, false, false},
                    unframed_row{"call_of_a_server_that_leaves", "once", ending::ends_while_leaving,
                                 true, false},
                    unframed_row{"stream", "long", ending::survives, true, true},
                    unframed_row{"stream_that_crashes", "long", ending::crashes, false, false},
                    unframed_row{"stream_of_a_server_that_leaves", "long",
                                 ending::ends_while_leaving, true, false}),
    [](const auto& info) { return info.param.name; });

// Guards against a response that a crash cut off and that looks complete to its caller.
TEST_P(unframed_response, is_complete_if_its_server_did_not_crash) {
    const auto view = ask();
    const bool complete = view->status() == 200 && view->complete();
    EXPECT_EQ(complete, GetParam().complete) << view->bytes;
}

// Guards against a crash that counts as an answer and clears the part that caused it.
TEST_P(unframed_response, clears_a_part_only_if_its_server_is_known_to_run) {
    add_evidence();
    const auto view = ask();
    f_.run_for(milliseconds(50));
    const time_point now = monotonic_now();
    quarantine_registry& quarantine = f_.state().quarantine;
    quarantine.take(evidence_, "peer", now);
    quarantine.settle(now + seconds(1));
    EXPECT_EQ(quarantine.holds(shared_part), !GetParam().shows_survival);
}

// Guards against a stream that ends at a crash instead of going on at another server.
TEST(unframed_stream, goes_on_at_another_server_after_a_crash) {
    forwarding_fixture f;
    int begun = 0;
    for (int i = 1; i <= 2; ++i) {
        f.add(
            fmt::format("i-{}", i),
            [&begun](scripted_connection& c) -> asio::awaitable<void> {
                const bool crashes = begun++ == 0;
                const int first = c.field("Last-Event-Id").empty() ? 1 : 2;
                const std::string bytes =
                    fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n\r\n{}",
                                c.field("Attempt-Id"), events_text(first, crashes ? 1 : 3));
                co_await c.send(bytes);
                co_await c.pause(10);
                if (crashes) {
                    c.end_process();
                } else {
                    c.close();
                }
            },
            "engines");
    }
    const auto view = f.ask("label", "attempt-1");
    f.finish(view);
    EXPECT_EQ(begun, 2);
    EXPECT_EQ(view->body(), events_text(1, 3));
    EXPECT_TRUE(view->complete());
}

/// A request that may be repeated, and what the caller gets from both servers.
struct repeated_row {
    std::string route;
    std::string body;
    friend void PrintTo(const repeated_row& row, std::ostream* out) { *out << row.route; }
};

class response_of_a_leaving_server : public testing::TestWithParam<repeated_row> {};

INSTANTIATE_TEST_SUITE_P(table, response_of_a_leaving_server,
                         testing::Values(repeated_row{"label", events_text(1, 4)},
                                         repeated_row{"safe", "elsewhere"}),
                         [](const auto& info) { return info.param.route; });

// Guards against a response that looks complete although its server was killed while it left.
TEST_P(response_of_a_leaving_server, is_asked_of_another_one_if_its_own_has_ended) {
    forwarding_fixture f;
    const bool streams = GetParam().route == "label";
    bool ends = false;
    f.add(
        "i-1",
        [&](scripted_connection& c) -> asio::awaitable<void> {
            const std::string bytes =
                fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n\r\n{}",
                            c.field("Attempt-Id"), streams ? events_text(1, 2) : "a part");
            co_await c.send(bytes);
            while (!ends) {
                co_await c.pause(1);
            }
            c.end_process();
        },
        streams ? "engines" : "calls");
    const auto view = f.ask(GetParam().route, "attempt-1");
    f.run_for(milliseconds(20));
    f.add(
        "i-2",
        [&](scripted_connection& c) -> asio::awaitable<void> {
            const std::string bytes = streams ? stream_head(c) + stream_events(3, 4) + stream_end
                                              : sealed_answer(c, "elsewhere");
            co_await c.send(bytes);
        },
        streams ? "engines" : "calls");
    f.state().registry.mark_leaving(backend_id("i-1"));
    ends = true;
    f.finish(view);
    EXPECT_EQ(view->body(), GetParam().body) << view->bytes;
    EXPECT_TRUE(view->complete());
}

} // namespace
} // namespace bamboostream::test
