// From a failed request's id to its cause, with the logs of real gateway processes.

#include "bamboostream/Report"
#include "bamboostream/src/Control/async_wait.h"
#include "test/platform/system/gateway_fixture.h"

namespace bamboostream::test {
namespace {

class explanation_test : public gateway_test {
protected:
    std::vector<log_line> logs() const {
        std::vector<log_line> out;
        for (const auto& it : instances_) {
            std::ifstream input(it->log);
            for (std::string text; std::getline(input, text);) {
                if (auto line = parse_log_line(text, it->ip)) {
                    out.push_back(std::move(*line));
                }
            }
        }
        return out;
    }

    /// What the logs tell of a request once its last line is there.
    std::vector<log_line> story_of(const std::string& id, const std::string& last_event) {
        std::vector<log_line> story;
        wait_until([&] {
            story = explain_request(id, logs());
            return std::any_of(story.begin(), story.end(),
                               [&](const log_line& l) { return l.name == last_event; });
        });
        return story;
    }

    /// Expects the events in this order, with others between them.
    static void expect_in_order(const std::vector<log_line>& story,
                                const std::vector<std::string>& names) {
        auto at = story.begin();
        for (const std::string& name : names) {
            at = std::find_if(at, story.end(), [&](const log_line& l) { return l.name == name; });
            ASSERT_NE(at, story.end()) << name << " is missing or out of order";
            ++at;
        }
    }

    static const log_line& line(const std::vector<log_line>& story, const std::string& name) {
        static const log_line none;
        const auto found = std::find_if(story.begin(), story.end(),
                                        [&](const log_line& l) { return l.name == name; });
        return found == story.end() ? none : *found;
    }
};

// A caller gets 502: the backend server read its call and closed the connection. The log names the
// server, what the choice went by, and that the call may have run, so nobody repeated it.
TEST_F(explanation_test, a_call_whose_fate_is_unknown) {
    configure(1, "k");
    auto& a = add_instance(good_store_);
    add_backend("i-bad", [](scripted_connection& c) -> asio::awaitable<void> {
        c.close();
        co_return;
    });
    std::string id;
    ASSERT_TRUE(wait_until([&] {
        id = random_id();
        const auto asked = ask(a, "k", "/a/x", id);
        finish(asked);
        return asked->status == 502;
    }));
    const auto story = story_of(id, "request_failed");
    expect_in_order(story, {"backend_joined", "request_sent", "attempt_failed", "request_failed"});
    EXPECT_EQ(line(story, "request_sent").field("backend"), "i-bad");
    EXPECT_EQ(line(story, "request_sent").field("configuration_version"), "1");
    EXPECT_EQ(line(story, "attempt_failed").field("end"), "lost");
    EXPECT_EQ(line(story, "request_failed").field("result"), "unknown");
    EXPECT_EQ(line(story, "request_failed").field("sends"), "1");
}

// A caller is refused by an instance that has just started while the store doesn't answer. The log
// tells that no configuration is known and since when the store has been away.
TEST_F(explanation_test, a_refusal_while_the_store_is_away) {
    const std::string bad_store = store_.add_address();
    store_.set_manner(bad_store, store_manner::refuses);
    auto& a = add_instance(bad_store);
    std::string id;
    ASSERT_TRUE(wait_until([&] {
        id = random_id();
        const auto asked = ask(a, "k", "/a/x", id);
        finish(asked);
        return asked->status == 503;
    }));
    const auto story = story_of(id, "request_refused");
    expect_in_order(story, {"started", "request_refused"});
    EXPECT_EQ(line(story, "request_refused").field("reason"), "not_ready");
    EXPECT_EQ(line(story, "request_refused").field("configuration_version"), "0");
    EXPECT_NE(line(story, "store_unavailable").field("topic"), "");
}

// A caller's stream breaks off: its backend server left and ended it before its last event. The log
// tells after how many events, and that the server had said it would leave.
TEST_F(explanation_test, a_stream_that_breaks_off) {
    configure(1, "k");
    auto& a = add_instance(good_store_);
    bool ended = false;
    add_backend("i-engine", [&](scripted_connection& c) -> asio::awaitable<void> {
        co_await c.send(fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                                    "Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n"
                                    "13\r\nid: 0\ndata: word\n\n\r\n",
                                    c.field("Attempt-Id")));
        while (!ended) {
            co_await pause_for(milliseconds(5));
        }
        c.close();
    });
    std::string id;
    std::shared_ptr<call_result> asked;
    ASSERT_TRUE(wait_until([&] {
        id = random_id();
        asked = ask(a, "k", "/s/x", id);
        return wait_until([&] { return asked->done || !asked->body.empty(); }) && !asked->done;
    }));
    store_.write("keyed.servers", "i-engine",
                 fmt::format(R"({{"service":"s","address":"{}","zone":"z0","version":"v1","slots":6,
"state":"draining","cold_left_ms":0,"sequence":1,"born":1}})",
                             backends_.front()->address()));
    wait_until([&] { return line(logs(), "backend_leaving").field("backend") == "i-engine"; });
    ended = true;
    finish(asked);
    EXPECT_EQ(asked->status, -1);
    const auto story = story_of(id, "request_failed");
    expect_in_order(story, {"request_sent", "backend_leaving", "attempt_failed", "request_failed"});
    EXPECT_EQ(line(story, "request_failed").field("result"), "broken_off");
    EXPECT_EQ(line(story, "request_failed").field("events"), "1");
}

} // namespace
} // namespace bamboostream::test
