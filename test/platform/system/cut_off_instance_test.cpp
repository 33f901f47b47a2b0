// Tests of real gateway processes of which some are partitioned from all backend servers, while
// callers, the store and the other gateways still reach them.

#include "test/platform/system/gateway_fixture.h"

#include <algorithm>

namespace bamboostream::test {
namespace {

constexpr int server_count = 4;
constexpr milliseconds call_deadline{600};
constexpr milliseconds call_interval{40};
/// From this time after the beginning of the partition, first tries must be served.
constexpr milliseconds learning_time{1'000};
constexpr milliseconds measured_time{2'500};
/// Share of the first tries served at other instances that the partitioned ones must reach.
constexpr double min_share_of_others = 0.95;

/// First tries at one instance.
struct first_tries {
    std::vector<std::shared_ptr<call_result>> calls;

    double served() const {
        const auto count = std::count_if(calls.begin(), calls.end(),
                                         [](const auto& call) { return call->status == 200; });
        return static_cast<double>(count) / static_cast<double>(calls.size());
    }
};

struct cut_row {
    std::string name;
    standins::discarded_packets discarded;
    /// How many instances there are, and how many of them are partitioned.
    std::size_t instances;
    std::size_t cut_off;
    /// "close" if the servers end each connection after its response.
    std::string connection_option;
    /// Size of the first failure domain; the partitioned instances are in it. The others share two.
    std::size_t in_first_domain = 1;
    friend void PrintTo(const cut_row& row, std::ostream* out) { *out << row.name; }
};

/// Answers each request, and tells the gateway what to do with the connection.
backend_script answering_and_then(std::string connection_option) {
    return
        [option = std::move(connection_option)](scripted_connection& c) -> asio::awaitable<void> {
            co_await c.send(fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                                        "Connection: {}\r\nContent-Length: 2\r\n\r\nok",
                                        c.field("Attempt-Id"), option));
        };
}

class cut_off_instance : public gateway_test, public testing::WithParamInterface<cut_row> {
protected:
    std::string failure_domain_of(int index) const override {
        const int others = index - static_cast<int>(GetParam().in_first_domain);
        return fmt::format("z{}", others < 0 ? 0 : 1 + others % 2);
    }

    void start_group(std::size_t instances) {
        configure(1, "k");
        for (int i = 0; i < server_count; ++i) {
            add_backend(fmt::format("i-{}", i), answering_and_then(GetParam().connection_option));
        }
        for (std::size_t i = 0; i < instances; ++i) {
            add_instance(serving_store_);
        }
        for (const auto& it : instances_) {
            ASSERT_TRUE(serves(*it, "k"));
            ASSERT_TRUE(wait_until([&] { return knows_all(*it); }));
        }
        tries_.resize(instances_.size());
    }

    /// The directory lists only some instances of a large group.
    bool knows_all(const instance_under_test& it) {
        return std::all_of(instances_.begin(), instances_.end(), [&](const auto& other) {
            return other.get() == &it || has_logged(it, "member_joined", other->ip + ":8748");
        });
    }

    void cut_off(std::size_t count, standins::discarded_packets discarded) {
        std::vector<std::string> sources;
        for (std::size_t i = 0; i < count; ++i) {
            sources.push_back(instances_[i]->ip);
        }
        for (const auto& backend : backends_) {
            ASSERT_TRUE(backend->discard_packets_from(sources, discarded));
        }
    }

    /// Sends a first try to each instance once per interval.
    void call_all_for(milliseconds time) {
        const time_point until = monotonic_now() + time;
        while (monotonic_now() < until) {
            for (std::size_t i = 0; i < instances_.size(); ++i) {
                http_request request = make_request("GET", "/a/x");
                request.fields = {{"Attempt-Id", random_id()},
                                  {"Authorization", "Bearer k"},
                                  {"Deadline-Ms", std::to_string(call_deadline.count())}};
                tries_[i].calls.push_back(call_with_host(instances_[i]->ip + ":8740", request));
            }
            wait_until([] { return false; }, call_interval);
        }
    }

    void finish_calls() {
        for (const first_tries& tries : tries_) {
            for (const auto& call : tries.calls) {
                wait_until_done(call);
            }
        }
    }

    std::vector<first_tries> tries_;
};

INSTANTIATE_TEST_SUITE_P(
    table, cut_off_instance,
    testing::Values(cut_row{"one_of_three_is_partitioned", standins::discarded_packets::all, 3, 1,
                            "keep-alive"},
                    cut_row{"two_of_three_are_partitioned", standins::discarded_packets::all, 3, 2,
                            "keep-alive"},
                    cut_row{"one_of_three_gets_no_new_connections",
                            standins::discarded_packets::connection_requests, 3, 1, "close"},
                    cut_row{"a_domain_of_eight_is_partitioned", standins::discarded_packets::all,
                            12, 8, "keep-alive", 8},
                    cut_row{"a_domain_of_eight_gets_no_new_connections",
                            standins::discarded_packets::connection_requests, 12, 8, "close", 8}),
    [](const auto& info) { return info.param.name; });

// Guards against callers of an instance that has lost its links to all backend servers being served
// less often than those of the other instances.
TEST_P(cut_off_instance, serves_first_tries_like_the_others) {
    start_group(GetParam().instances);
    call_all_for(milliseconds(300));
    cut_off(GetParam().cut_off, GetParam().discarded);
    call_all_for(learning_time);
    finish_calls();
    tries_.assign(instances_.size(), {});
    call_all_for(measured_time);
    finish_calls();
    const double others = tries_.back().served();
    EXPECT_GE(others, min_share_of_others);
    for (std::size_t i = 0; i < GetParam().cut_off; ++i) {
        EXPECT_GE(tries_[i].served(), min_share_of_others * others) << "instance " << i;
    }
}

class given_up_request : public gateway_test {};

// Guards against a server running a request long after its caller was told that it has failed,
// because the network had held the bytes.
TEST_F(given_up_request, is_not_delivered_when_the_network_works_again) {
    configure(1, "k");
    scripted_backend& server = add_backend("i-0", answering_and_then("keep-alive"));
    instance_under_test& it = add_instance(serving_store_);
    ASSERT_TRUE(serves(it, "k"));
    ASSERT_TRUE(server.discard_packets_from({it.ip}, standins::discarded_packets::all));
    http_request request = make_request("GET", "/a/x");
    request.fields = {{"Attempt-Id", "0123456789abcdef"},
                      {"Authorization", "Bearer k"},
                      {"Deadline-Ms", std::to_string(call_deadline.count())}};
    const auto call = call_with_host(it.ip + ":8740", request);
    wait_until_done(call);
    EXPECT_EQ(call->status, 504);
    ASSERT_TRUE(server.discard_packets_from({}, standins::discarded_packets::all));
    EXPECT_FALSE(wait_until(
        [&server] {
            return std::any_of(server.requests().begin(), server.requests().end(),
                               [](const std::string& received) {
                                   return received.find("0123456789abcdef") != std::string::npos;
                               });
        },
        seconds(3)));
}

} // namespace
} // namespace bamboostream::test
