#include "test/platform/system/gateway_fixture.h"

#include <algorithm>

namespace bamboostream::test {
namespace {

/// After its announcement a leaving server may get requests for this long.
constexpr milliseconds leaving_bound{2'000};
/// From the first discarded packet until the announcement, and until packets pass again. A packet
/// is sent again after about 0.2, 0.6, 1.4 and 3 s.
constexpr milliseconds sent_before_announcement{300};
constexpr milliseconds outage{2'500};
constexpr milliseconds time_for_arrival{2'500};

struct held_request_row {
    std::string name;
    const char* method;
    int expected_status;
};

/// One instance and two servers; packets to the first one are discarded for a while.
class held_request : public gateway_test, public testing::WithParamInterface<held_request_row> {
protected:
    held_request() {
        store_.write("keyed.op", "config", R"({"version":1,"routes":[
{"name":"repeatable","host":"h.example","path_prefix":"/a/","kind":"idempotent","timeout_ms":9000,
"slo_ms":6000,"service":"s","max_attempts":3},
{"name":"once","host":"h.example","path_prefix":"/n/","kind":"non_idempotent","timeout_ms":9000,
"slo_ms":6000,"service":"s","max_attempts":3}],
"services":[{"name":"s","max_conns":312}],"tenants":[{"name":"desk","api_keys":["k"]}]})");
    }

    scripted_backend& add_server(const std::string& id) {
        backends_.push_back(std::make_unique<scripted_backend>(
            context_, [this](scripted_connection& c) { return serve(c); }));
        write_entry(id, *backends_.back(), "ready");
        return *backends_.back();
    }

    void write_entry(const std::string& id, const scripted_backend& server,
                     const std::string& state) {
        store_.write("keyed.servers", id,
                     fmt::format(R"({{"service":"s","address":"{}","zone":"z0","version":"v1",
"slots":32,"state":"{}","cold_left_ms":0,"sequence":1,"born":1}})",
                                 server.address(), state));
    }

    asio::awaitable<void> serve(scripted_connection& c) {
        if (left_ && c.request().find("/held") != std::string::npos &&
            monotonic_now() - *left_ > leaving_bound) {
            ++late_requests_;
        }
        co_await c.send(fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                                    "Content-Length: 2\r\n\r\nok",
                                    c.field("Attempt-Id")));
    }

    std::shared_ptr<call_result> ask(const char* method, const std::string& path) {
        http_request request = make_request(method, path);
        request.fields = {{"Attempt-Id", random_id()},
                          {"Authorization", "Bearer k"},
                          {"Deadline-Ms", "9000"},
                          {"Content-Length", "0"}};
        return call_with_host(instances_.front()->ip + ":8740", request);
    }

    void run_for(milliseconds time) {
        wait_until([] { return false; }, time);
    }

    std::optional<time_point> left_;
    int late_requests_ = 0;
};

INSTANTIATE_TEST_SUITE_P(table, held_request,
                         testing::Values(held_request_row{"repeatable", "GET", 200},
                                         held_request_row{"once", "POST", 502}),
                         [](const auto& info) { return info.param.name; });

// Guards against a request that was sent in time and reaches a server long after that announced
// that it leaves, because the network held its packets: the system goes on sending them.
TEST_P(held_request, is_not_delivered_after_the_bound) {
    scripted_backend& leaving = add_server("i-1");
    add_instance(serving_store_);
    const std::string prefix = GetParam().method == std::string("GET") ? "/a/" : "/n/";
    ASSERT_TRUE(wait_until([&] {
        const auto first = ask(GetParam().method, prefix + "first");
        wait_until([&] { return first->done; });
        return first->status == 200;
    }));
    ASSERT_TRUE(
        leaving.discard_packets_from({instances_.front()->ip}, standins::discarded_packets::all));
    const auto held = ask(GetParam().method, prefix + "held");
    run_for(sent_before_announcement);
    add_server("i-2");
    write_entry("i-1", leaving, "draining");
    left_ = monotonic_now();
    run_for(outage - sent_before_announcement);
    ASSERT_TRUE(leaving.discard_packets_from({}, standins::discarded_packets::all));
    run_for(time_for_arrival);
    EXPECT_EQ(late_requests_, 0);
    EXPECT_TRUE(held->done);
    EXPECT_EQ(held->status, GetParam().expected_status);
}

} // namespace
} // namespace bamboostream::test
