// Tests cordoning of a failure domain through the operators' API of the instances, with real
// processes.

#include "test/system/cluster.h"

#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace json = boost::json;

json::array cordon(const json::value& value) {
    return json::array{json::object{{"entry", "cordons/norra"}, {"value", value}}};
}

/// A cluster with two engines and two services, the first of each in the failure domain "norra".
class cordon_test : public testing::Test {
protected:
    void change(const json::value& value) {
        const json::value verdict = cluster_.submit(0, cluster_.version_at(0), cordon(value));
        ASSERT_EQ(text_at(verdict, "fate"), "accepted") << json::serialize(verdict);
        const std::int64_t version = number_at(verdict, "version");
        ASSERT_TRUE(cluster_.wait_until(
            [&] {
                for (int i = 0; i < cluster_.instance_count(); ++i) {
                    if (cluster_.version_at(i) < version) {
                        return false;
                    }
                }
                return true;
            },
            seconds(5)));
    }
    std::size_t generations_at(int engine) {
        return cluster_.get(cluster_.engine(engine).addresses[0], "/v1/journal")
            .at("generations")
            .as_array()
            .size();
    }
    int completed(int requests) {
        std::vector<std::shared_ptr<completion_result>> results;
        for (int i = 0; i < requests; ++i) {
            results.push_back(cluster_.start_completion(make_call("label")));
            cluster_.run_for(milliseconds(50));
        }
        cluster_.wait_until(
            [&] {
                return std::all_of(results.begin(), results.end(),
                                   [](const auto& r) { return r->ended; });
            },
            seconds(15));
        return static_cast<int>(std::count_if(results.begin(), results.end(), [](const auto& r) {
            return r->result == outcome::completed;
        }));
    }

    cluster cluster_{cluster_options{}};
};

// While a failure domain is cordoned, all generations run at the engine of the other failure domain
// and no request is rejected. After the cordon is removed both engines get work again.
TEST_F(cordon_test, gets_no_work_until_it_is_restored) {
    change(json::object{{"reason", "maintenance"}});
    const std::size_t before = generations_at(0);
    EXPECT_EQ(completed(8), 8);
    EXPECT_EQ(generations_at(0), before);
    const json::value status = cluster_.get(cluster_.instance(1).addresses[1], "/v1/status");
    ASSERT_EQ(status.at("cordoned").as_array().size(), 1u);
    EXPECT_EQ(text_at(status.at("cordoned").at(0), "failure_domain"), "norra");
    change(nullptr);
    EXPECT_EQ(completed(16), 16);
    EXPECT_GT(generations_at(0), before);
}

// While a failure domain is cordoned, every call is executed once, by the replica of the other
// failure domain.
TEST_F(cordon_test, plain_services_get_no_calls) {
    change(json::object{});
    // An instance may reject a key that was made less than the clock skew (1 s) after the instance
    // started.
    cluster_.run_for(milliseconds(1'200));
    const auto calls_at = [this](int service) {
        return cluster_.get(cluster_.service(service).addresses[0], "/v1/journal")
            .at("ran")
            .as_array()
            .size();
    };
    constexpr int calls = 6;
    for (int i = 0; i < calls; ++i) {
        const auto result = cluster_.start_service_call(make_uuid_v7(wall_now()));
        ASSERT_TRUE(cluster_.wait_until([&] { return result->ended; }, seconds(10)));
        EXPECT_EQ(result->result, outcome::completed) << result->message << result->body;
    }
    EXPECT_EQ(calls_at(0), 0u);
    EXPECT_EQ(calls_at(1), static_cast<std::size_t>(calls));
}

} // namespace
} // namespace bamboostream::test
