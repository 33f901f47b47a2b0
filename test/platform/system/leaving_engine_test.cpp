#include "test/platform/system/gateway_fixture.h"

#include <algorithm>
#include <csignal>

namespace bamboostream::test {
namespace {

/// After its announcement a leaving server may get requests for this long.
constexpr milliseconds leaving_bound{2'000};
constexpr int instance_count = 3;
constexpr int events_per_stream = 160;
constexpr int event_gap_ms = 30;
/// From when a generation is stopped until its connection ends.
constexpr int stop_delay_ms = 1'000;
/// How long the instance that moves generations stands still.
constexpr milliseconds standstill{2'200};

/// Three instances and two engines whose generations can be moved. A stream runs at the first
/// engine, and the instance that moves generations isn't the one that forwards the stream.
class leaving_engine : public gateway_test {
protected:
    struct engine {
        std::string id;
        scripted_backend* backend = nullptr;
        std::optional<time_point> left{};
        int late_requests = 0;
    };

    leaving_engine() {
        store_.write("keyed.op", "config", R"({"version":1,"routes":[{"name":"stream",
"host":"h.example","path_prefix":"/g/","kind":"streaming","timeout_ms":39000,"slo_ms":1800,
"gap_slo_ms":180,"service":"m","max_attempts":1,"sticky":true}],"services":[{"name":"m",
"max_conns":312,"engine":{"slots":32,"kv_tokens":34485,"kv_bytes":96256,"link_mbps":14000.0,
"moves":true,"stride":4}}],"tenants":[{"name":"desk","api_keys":["k"]}]})");
    }

    void add_engine(engine& it, const std::string& id) {
        it.id = id;
        backends_.push_back(std::make_unique<scripted_backend>(
            context_, [this, &it](scripted_connection& c) { return serve(c, it); }));
        it.backend = backends_.back().get();
        write_entry(it, "ready");
    }

    void write_entry(const engine& it, const std::string& state) {
        store_.write("keyed.servers", it.id,
                     fmt::format(R"({{"service":"m","address":"{}","zone":"z0","version":"v1",
"slots":32,"state":"{}","cold_left_ms":0,"sequence":1,"born":1}})",
                                 it.backend->address(), state));
    }

    void leave(engine& it) {
        write_entry(it, "draining");
        it.left = monotonic_now();
    }

    asio::awaitable<void> serve(scripted_connection& c, engine& it) {
        if (c.request().starts_with("GET /report")) {
            co_await c.send(json_response(
                200, fmt::format(R"({{"state":"{}"}})", it.left ? "draining" : "ready")));
        } else if (c.request().starts_with("POST /kv-move")) {
            co_await c.send(answer_move(c.request().find(R"("last":true)") != std::string::npos));
        } else {
            const bool late = it.left && monotonic_now() - *it.left > leaving_bound;
            it.late_requests += late ? 1 : 0;
            co_await stream(c);
        }
    }

    /// Sends events until the generation is stopped, which ends the connection some time later.
    asio::awaitable<void> stream(scripted_connection& c) {
        const int run = ++runs_;
        co_await c.send(
            fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\nContent-Type: "
                        "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                        c.field("Attempt-Id")));
        const std::string after = c.field("Last-Event-Id");
        for (int i = after.empty() ? 1 : std::stoi(after) + 1; i <= events_per_stream; ++i) {
            const std::string event = fmt::format("id: {}\ndata: x\n\n", i);
            co_await c.send(fmt::format("{:x}\r\n{}\r\n", event.size(), event));
            co_await c.pause(event_gap_ms);
            if (run == stopped_run_) {
                co_await c.pause(stop_delay_ms);
                c.close();
                co_return;
            }
        }
        co_await c.send("0\r\n\r\n");
    }

    static std::string json_response(int status, const std::string& body) {
        return fmt::format("HTTP/1.1 {} X\r\nContent-Type: application/json\r\n"
                           "Content-Length: {}\r\n\r\n{}",
                           status, body.size(), body);
    }

    void start_all() {
        add_engine(decoy_, "i-0");
        add_engine(source_, "i-1");
        for (int i = 0; i < instance_count; ++i) {
            add_instance(serving_store_);
        }
        ASSERT_TRUE(wait_until([&] {
            return std::all_of(instances_.begin(), instances_.end(), [](const auto& it) {
                return has_logged(*it, "backend_joined", "backend=i-1");
            });
        }));
        // The instances have found each other.
        wait_until([] { return false; }, milliseconds(1'000));
        leave(decoy_);
        ASSERT_TRUE(wait_until([&] {
            for (const auto& it : instances_) {
                if (has_logged(*it, "evacuation_started", "backend=i-0")) {
                    mover_ = it.get();
                }
            }
            return mover_ != nullptr;
        }));
        store_.write("keyed.servers", decoy_.id, "");
        forwarder_ = std::find_if(instances_.begin(), instances_.end(), [this](const auto& it) {
                         return it.get() != mover_;
                     })->get();
        begin_stream();
    }

    void begin_stream() {
        http_request request = make_request("POST", "/g/x");
        request.fields = {
            {"Attempt-Id", random_id()}, {"Authorization", "Bearer k"}, {"Model", "m"},
            {"Token-Count", "460,640"},  {"Deadline-Ms", "39000"},      {"Content-Length", "0"}};
        response_ = call_with_host(forwarder_->ip + ":8740", request);
        ASSERT_TRUE(wait_until([this] { return runs_ == 1; }));
        add_engine(target_, "i-2");
        ASSERT_TRUE(wait_until([&] {
            return has_logged(*forwarder_, "backend_joined", "backend=i-2") &&
                   has_logged(*mover_, "backend_joined", "backend=i-2");
        }));
        wait_until([] { return false; }, milliseconds(300));
    }

    void wait_for_response() {
        wait_until([this] { return response_->done; }, milliseconds(12'000));
    }

    /// The target announces that it leaves, and the instance that moves generations stands still,
    /// while the last part of the copy is under way.
    std::string answer_move(bool last) {
        if (!last) {
            return json_response(200, R"({"handle":"first","created":1})");
        }
        leave(target_);
        mover_->running->signal(SIGSTOP);
        stopped_run_ = runs_;
        return json_response(200, R"({"handle":"last","created":1})");
    }

    engine decoy_;
    engine source_;
    engine target_;
    instance_under_test* mover_ = nullptr;
    instance_under_test* forwarder_ = nullptr;
    std::shared_ptr<call_result> response_;
    int runs_ = 0;
    /// The number of the run that has been stopped.
    int stopped_run_ = 0;
};

// Guards against a copy that is sent to its target long after that has announced that it leaves,
// because only the age of the notice of the move was limited: its sender stood still meanwhile.
TEST_F(leaving_engine, gets_no_copy_long_after_its_announcement) {
    ASSERT_NO_FATAL_FAILURE(start_all());
    leave(source_);
    ASSERT_TRUE(wait_until([this] { return target_.left.has_value(); }));
    wait_until([] { return false; }, standstill);
    mover_->running->signal(SIGCONT);
    wait_for_response();
    EXPECT_TRUE(response_->done);
    EXPECT_EQ(target_.late_requests, 0);
}

} // namespace
} // namespace bamboostream::test
