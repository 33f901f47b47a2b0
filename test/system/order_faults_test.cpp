// Tests placement orders under faults, with real processes.

#include "test/system/cluster.h"

#include <csignal>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace json = boost::json;

json::array version_change(const std::string& version) {
    return json::array{json::object{
        {"entry", "pools/drafting"},
        {"value",
         json::object{{"model", "standard"}, {"version", version}, {"least_serving", 1}}}}};
}

bool all_at_version(cluster& c, int engines, const std::string& version) {
    for (int i = 0; i < engines; ++i) {
        const json::value status = c.get(c.engine(i).addresses[0], "/v1/status");
        if (text_at(status, "version") != version || text_at(status, "state") != "live") {
            return false;
        }
    }
    return true;
}

struct order_fault {
    const char* name;
    bool ignore_fencing;
    void (*inject)(cluster& c);
    friend void PrintTo(const order_fault& f, std::ostream* out) { *out << f.name; }
};

void no_fault(cluster&) {}
void freeze_each_in_turn(cluster& c) {
    for (int i = 0; i < 3; ++i) {
        c.instance(i).running->signal(SIGSTOP);
        c.run_for(milliseconds(2'500));
        c.instance(i).running->signal(SIGCONT);
    }
}
void log_outage(cluster& c) {
    c.command(c.log().addresses[0], {{"down", 1}});
    c.run_for(seconds(2));
    c.command(c.log().addresses[0], {{"down", 0}});
}
void kill_one(cluster& c) {
    c.instance(0).running->signal(SIGKILL);
}

class order_fault_test : public testing::TestWithParam<order_fault> {};

// An operator changes the model version of a pool. All engines must reach the new version, even if
// the lease on placement changes its holder meanwhile. Requests complete throughout, because at
// most one engine loads at a time.
TEST_P(order_fault_test, engines_converge_and_serving_goes_on) {
    cluster_options options;
    options.engines = 3;
    options.engine_arguments = {"--load-ms", "600"};
    if (GetParam().ignore_fencing) {
        options.engine_arguments.emplace_back("--ignore-fencing");
    }
    cluster c(options);
    const json::value verdict = c.submit(0, c.version_at(0), version_change("2"));
    ASSERT_EQ(text_at(verdict, "fate"), "accepted") << json::serialize(verdict);
    c.run_for(milliseconds(300));
    GetParam().inject(c);
    std::vector<std::shared_ptr<completion_result>> results;
    const time_point until = monotonic_now() + seconds(30);
    while (!all_at_version(c, 3, "2") && monotonic_now() < until) {
        results.push_back(c.start_completion(make_call("label")));
        c.run_for(milliseconds(100));
    }
    EXPECT_TRUE(all_at_version(c, 3, "2"));
    ASSERT_TRUE(c.wait_until(
        [&] {
            return std::all_of(results.begin(), results.end(),
                               [](const auto& r) { return r->ended; });
        },
        seconds(20)));
    for (const auto& r : results) {
        EXPECT_EQ(r->result, outcome::completed) << r->message;
    }
    for (int i = 0; i < 3; ++i) {
        // An engine must not execute an order whose fencing number is lower than an earlier one's.
        std::int64_t last = -1;
        const json::value journal = c.get(c.engine(i).addresses[0], "/v1/journal");
        for (const json::value& order : journal.at("orders").as_array()) {
            std::string why;
            const std::int64_t fencing =
                number_at(*parse_json(std::string(order.as_string()), why), "fencing");
            if (!GetParam().ignore_fencing) {
                EXPECT_GE(fencing, last);
            }
            last = fencing;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    faults, order_fault_test,
    testing::Values(order_fault{"none", false, no_fault},
                    order_fault{"none_ignoring_fencing", true, no_fault},
                    order_fault{"holders_frozen_in_turn", false, freeze_each_in_turn},
                    order_fault{"holders_frozen_ignoring_fencing", true, freeze_each_in_turn},
                    order_fault{"log_outage", false, log_outage},
                    order_fault{"an_instance_killed", false, kill_one}),
    [](const auto& info) { return std::string(info.param.name); });

} // namespace
} // namespace bamboostream::test
