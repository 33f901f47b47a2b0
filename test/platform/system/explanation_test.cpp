// Tests that the logs of real gateway processes lead from the id of a failed request to its cause.

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

    /// Waits until the logs contain `last_event` of a request, and returns all lines that explain
    /// it.
    std::vector<log_line> wait_for_explanation(const std::string& id,
                                               const std::string& last_event) {
        std::vector<log_line> explanation;
        wait_until([&] {
            explanation = explain_request(id, logs());
            return std::any_of(explanation.begin(), explanation.end(),
                               [&](const log_line& l) { return l.name == last_event; });
        });
        return explanation;
    }

    /// Expects the events in this order; other events may occur between them.
    static void expect_in_order(const std::vector<log_line>& explanation,
                                const std::vector<std::string>& names) {
        auto at = explanation.begin();
        for (const std::string& name : names) {
            at = std::find_if(at, explanation.end(),
                              [&](const log_line& l) { return l.name == name; });
            ASSERT_NE(at, explanation.end()) << name << " is missing or out of order";
            ++at;
        }
    }

    static const log_line& line(const std::vector<log_line>& explanation, const std::string& name) {
        static const log_line none;
        const auto found = std::find_if(explanation.begin(), explanation.end(),
                                        [&](const log_line& l) { return l.name == name; });
        return found == explanation.end() ? none : *found;
    }
};

// A caller receives 502 because the backend server read the request and closed the connection. The
// log names the server and the state that its choice was based on, and says that the request may
// have run and was therefore not retried.
TEST_F(explanation_test, a_call_whose_fate_is_unknown) {
    configure(1, "k");
    auto& a = add_instance(serving_store_);
    add_backend("i-bad", [](scripted_connection& c) -> asio::awaitable<void> {
        c.close();
        co_return;
    });
    std::string id;
    ASSERT_TRUE(wait_until([&] {
        id = random_id();
        const auto result = send_request(a, "k", "/a/x", id);
        wait_until_done(result);
        return result->status == 502;
    }));
    const auto explanation = wait_for_explanation(id, "request_failed");
    expect_in_order(explanation,
                    {"backend_joined", "request_sent", "attempt_failed", "request_failed"});
    EXPECT_EQ(line(explanation, "request_sent").field("backend"), "i-bad");
    EXPECT_EQ(line(explanation, "request_sent").field("configuration_version"), "1");
    EXPECT_EQ(line(explanation, "attempt_failed").field("end"), "lost");
    EXPECT_EQ(line(explanation, "request_failed").field("result"), "unknown");
    EXPECT_EQ(line(explanation, "request_failed").field("sends"), "1");
}

// An instance that started while the store is unavailable refuses a request. The log says that no
// configuration is known and since when the store has been unavailable.
TEST_F(explanation_test, a_refusal_while_the_store_is_away) {
    const std::string bad_store = store_.add_address();
    store_.set_manner(bad_store, store_manner::refuses);
    auto& a = add_instance(bad_store);
    std::string id;
    ASSERT_TRUE(wait_until([&] {
        id = random_id();
        const auto result = send_request(a, "k", "/a/x", id);
        wait_until_done(result);
        return result->status == 503;
    }));
    const auto explanation = wait_for_explanation(id, "request_refused");
    expect_in_order(explanation, {"started", "request_refused"});
    EXPECT_EQ(line(explanation, "request_refused").field("reason"), "not_ready");
    EXPECT_EQ(line(explanation, "request_refused").field("configuration_version"), "0");
    EXPECT_NE(line(explanation, "store_unavailable").field("topic"), "");
}

// A stream is cut off because its backend server left and closed it before the last event. The log
// says after how many events, and that the server had announced that it would leave.
TEST_F(explanation_test, a_stream_that_breaks_off) {
    configure(1, "k");
    auto& a = add_instance(serving_store_);
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
    std::shared_ptr<call_result> result;
    ASSERT_TRUE(wait_until([&] {
        id = random_id();
        result = send_request(a, "k", "/s/x", id);
        return wait_until([&] { return result->done || !result->body.empty(); }) && !result->done;
    }));
    store_.write("keyed.servers", "i-engine",
                 fmt::format(R"({{"service":"s","address":"{}","zone":"z0","version":"v1","slots":6,
"state":"draining","cold_left_ms":0,"sequence":1,"born":1}})",
                             backends_.front()->address()));
    wait_until([&] { return line(logs(), "backend_leaving").field("backend") == "i-engine"; });
    ended = true;
    wait_until_done(result);
    EXPECT_EQ(result->status, -1);
    const auto explanation = wait_for_explanation(id, "request_failed");
    expect_in_order(explanation,
                    {"request_sent", "backend_leaving", "attempt_failed", "request_failed"});
    EXPECT_EQ(line(explanation, "request_failed").field("result"), "broken_off");
    EXPECT_EQ(line(explanation, "request_failed").field("events"), "1");
}

} // namespace
} // namespace bamboostream::test
