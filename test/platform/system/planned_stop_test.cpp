// Tests with real gateway processes that are told to stop while callers go on sending requests.

#include "bamboostream/src/Control/async_wait.h"
#include "test/platform/system/gateway_fixture.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <optional>
#include <set>
#include <thread>

namespace bamboostream::test {
namespace {

/// The grace period in the settings of the fixture.
constexpr milliseconds grace{4'000};

class planned_stop : public gateway_test {
protected:
    planned_stop() {
        store_.write("keyed.op", "config", R"({"version":1,"routes":[
{"name":"once","host":"h.example","path_prefix":"/a/","kind":"non_idempotent","timeout_ms":3000,
 "slo_ms":300,"service":"s","max_attempts":1},
{"name":"safe","host":"h.example","path_prefix":"/b/","kind":"idempotent","timeout_ms":3000,
 "slo_ms":300,"service":"s","max_attempts":2},
{"name":"slow","host":"h.example","path_prefix":"/l/","kind":"non_idempotent","timeout_ms":30000,
 "slo_ms":300,"service":"s","max_attempts":1},
{"name":"stream","host":"h.example","path_prefix":"/s/","kind":"streaming","timeout_ms":30000,
 "slo_ms":300,"gap_slo_ms":180,"service":"s","max_attempts":1}],
"services":[{"name":"s","max_conns":900}],"tenants":[{"name":"desk","api_keys":["key"]}]})");
    }

    /// Registers a server that answers requests with this prefix and is silent to all others.
    void add_server(const std::string& answered) {
        add_backend("i-1", [this, answered](scripted_connection& c) -> asio::awaitable<void> {
            arrived_.insert(c.field("Attempt-Id"));
            if (c.request().find(answered) == std::string::npos) {
                co_await c.wait_for_close();
                co_return;
            }
            co_await c.pause(5);
            co_await c.send(fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                                        "Content-Length: 2\r\n\r\nok",
                                        c.field("Attempt-Id")));
        });
    }

    std::shared_ptr<call_result> send(const std::string& path, const std::string& id,
                                      milliseconds deadline) {
        http_request request = make_request("GET", path);
        request.fields = {{"Attempt-Id", id},
                          {"Authorization", "Bearer key"},
                          {"Deadline-Ms", std::to_string(deadline.count())}};
        return results_[id] = call_with_host(instances_.front()->ip + ":8740", request);
    }

    /// Starts an instance and waits until it serves.
    void start_serving() {
        add_instance(serving_store_);
        ASSERT_TRUE(wait_until([&] {
            const auto result = send("/a/served", random_id(), milliseconds(200));
            wait_until_done(result);
            return result->status == 200;
        }));
    }

    void stop() {
        instances_.front()->running->signal(SIGTERM);
        stopped_at_ = monotonic_now();
    }

    void wait_for_end() {
        process& running = *instances_.front()->running;
        EXPECT_TRUE(wait_until([&] { return running.wait_for_end(milliseconds(0)); }));
        EXPECT_EQ(running.exit_code(), 0);
        wait_until([&] {
            return std::all_of(results_.begin(), results_.end(),
                               [](const auto& it) { return it.second->done; });
        });
    }

    int count(const std::function<bool(const std::string&, const call_result&)>& condition) const {
        return static_cast<int>(
            std::count_if(results_.begin(), results_.end(),
                          [&](const auto& it) { return condition(it.first, *it.second); }));
    }

    bool has_arrived(const std::string& id) const { return arrived_.contains(id); }

    std::set<std::string> arrived_;
    std::map<std::string, std::shared_ptr<call_result>> results_;
    time_point stopped_at_;
};

/// Lets a process run for a part of each tenth of a second, as a limit on its processor time does.
class processor_limit {
public:
    processor_limit(pid_t pid, milliseconds running)
        : thread_([this, pid, running] {
              while (!stopped_) {
                  std::this_thread::sleep_for(running);
                  kill(pid, SIGSTOP);
                  std::this_thread::sleep_for(milliseconds(100) - running);
                  kill(pid, SIGCONT);
              }
          }) {}
    ~processor_limit() {
        stopped_ = true;
        thread_.join();
    }
    processor_limit(const processor_limit&) = delete;
    processor_limit& operator=(const processor_limit&) = delete;

private:
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

/// The time in each tenth of a second in which the process may run.
class limited_planned_stop : public planned_stop, public testing::WithParamInterface<int> {};

INSTANTIATE_TEST_SUITE_P(table, limited_planned_stop, testing::Values(100, 25));

// Guards against requests that are accepted during the grace period, sent to a server, and cut
// without a response when the process ends.
TEST_P(limited_planned_stop, answers_every_request_that_it_has_sent_on) {
    add_server("/served");
    start_serving();
    std::optional<processor_limit> limit;
    if (GetParam() < 100) {
        limit.emplace(instances_.front()->running->pid(), milliseconds(GetParam()));
    }
    stop();
    int sent = 0;
    for (duration since{}; since < grace; since = monotonic_now() - stopped_at_) {
        // The time left of the grace period, and less.
        const auto left = std::chrono::duration_cast<milliseconds>(grace - since);
        const milliseconds deadline =
            std::max(milliseconds(1), left - milliseconds(sent % 100) * 10);
        send(sent % 2 == 0 ? "/a/x" : "/b/x", fmt::format("a{}", sent), deadline);
        ++sent;
        wait_until([] { return false; }, milliseconds(10));
    }
    wait_for_end();
    const int sent_on = count([this](const auto& id, const auto& /*result*/) { //
        return has_arrived(id);
    });
    const int cut = count([this](const auto& id, const auto& result) {
        return has_arrived(id) && result.status == -1;
    });
    const int refused_and_run = count([this](const auto& id, const auto& result) {
        return has_arrived(id) && result.status == 503;
    });
    fmt::print("{} of {} requests sent on, {} cut\n", sent_on, sent, cut);
    EXPECT_GT(sent_on, 30);
    EXPECT_EQ(cut, 0);
    EXPECT_EQ(refused_and_run, 0);
}

// Guards against requests from before the shutdown that end with the process and without a
// response.
TEST_F(planned_stop, answers_requests_that_outlast_the_grace_period) {
    add_server("/served");
    start_serving();
    const auto call = send("/l/x", "call", seconds(30));
    const auto stream = send("/s/x", "stream", seconds(30));
    ASSERT_TRUE(wait_until([this] { return has_arrived("call") && has_arrived("stream"); }));
    stop();
    wait_for_end();
    EXPECT_EQ(call->status, 504);
    EXPECT_EQ(stream->status, 504);
}

// Guards against requests that end without a response because the process was suspended until the
// grace period had almost passed.
TEST_F(planned_stop, answers_after_a_suspension) {
    add_server("/served");
    start_serving();
    const auto before = send("/a/x", "before", seconds(2));
    ASSERT_TRUE(wait_until([this] { return has_arrived("before"); }));
    stop();
    const auto after = send("/a/x", "after", seconds(2));
    ASSERT_TRUE(wait_until([this] { return has_arrived("after"); }));
    instances_.front()->running->signal(SIGSTOP);
    wait_until([] { return false; }, grace - milliseconds(200));
    instances_.front()->running->signal(SIGCONT);
    wait_for_end();
    EXPECT_EQ(before->status, 504);
    EXPECT_EQ(after->status, 504);
}

// Guards against a shutdown that refuses requests which end within the grace period.
TEST_F(planned_stop, serves_what_ends_in_time) {
    add_server("/");
    start_serving();
    stop();
    std::vector<std::shared_ptr<call_result>> calls;
    while (monotonic_now() - stopped_at_ < milliseconds(2'500)) {
        calls.push_back(send("/a/x", fmt::format("a{}", calls.size()), milliseconds(500)));
        wait_until_done(calls.back());
    }
    wait_for_end();
    const auto served =
        std::count_if(calls.begin(), calls.end(), [](const auto& it) { return it->status == 200; });
    EXPECT_EQ(served, static_cast<std::ptrdiff_t>(calls.size()));
}

} // namespace
} // namespace bamboostream::test
