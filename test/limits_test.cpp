#include "bamboostream/Limits"

#include <gtest/gtest.h>
#include <map>
#include <random>

namespace bamboostream {
namespace {

const time_point start{seconds(100)};

queued_request make_work(std::uint64_t id, const std::string& workspace, double expected = 100.0,
                         priority_level priority = priority_level::standard) {
    queued_request work;
    work.id = id;
    work.workspace = workspace;
    work.expected_tokens = expected;
    work.priority = priority;
    work.arrived = start;
    work.start_by = start + seconds(30);
    return work;
}

std::string next_workspace(const fair_queue& queue) {
    std::vector<std::string_view> order;
    queue.next_workspaces(order, 1);
    return order.empty() ? std::string{} : std::string(order.front());
}

struct share_case {
    const char* name;
    double weight_a;
    double weight_b;
    double length_a;
    double length_b;
    friend void PrintTo(const share_case& c, std::ostream* out) { *out << c.name; }
};
class fair_share_test : public testing::TestWithParam<share_case> {};

// Two backlogged workspaces are served tokens in proportion to their weights, however long the
// outputs of each are.
TEST_P(fair_share_test, tokens_follow_weights) {
    const share_case& c = GetParam();
    fair_queue queue;
    queue.set_weight("a", c.weight_a);
    queue.set_weight("b", c.weight_b);
    std::uint64_t id = 1;
    std::map<std::string, double> served;
    for (int i = 0; i < 20'000; ++i) {
        while (queue.waiting("a") < 2) {
            queue.push(make_work(id++, "a"));
        }
        while (queue.waiting("b") < 2) {
            queue.push(make_work(id++, "b"));
        }
        const std::string next = next_workspace(queue);
        queued_request work;
        ASSERT_TRUE(queue.take(queue.head(next, false, start)->id, work));
        const double tokens = next == "a" ? c.length_a : c.length_b;
        queue.charge(next, tokens);
        served[next] += tokens;
    }
    EXPECT_NEAR((served["a"] / c.weight_a) / (served["b"] / c.weight_b), 1.0, 0.02);
}

INSTANTIATE_TEST_SUITE_P(shares, fair_share_test,
                         testing::Values(share_case{"equal", 1, 1, 100, 100},
                                         share_case{"long_against_short", 1, 1, 2000, 10},
                                         share_case{"weighted", 4, 1, 300, 50}),
                         [](const auto& info) { return std::string(info.param.name); });

// A workspace that was idle for a long time has accumulated no credit.
TEST(fair_queue_test, idle_workspace_has_no_credit) {
    fair_queue queue;
    std::uint64_t id = 1;
    for (int i = 0; i < 100; ++i) {
        queue.push(make_work(id++, "busy"));
        queued_request work;
        queue.take(queue.head("busy", false, start)->id, work);
        queue.charge("busy", 1000);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 100; ++i) {
        queue.push(make_work(id++, "busy"));
        queue.push(make_work(id++, "idle"));
    }
    for (int i = 0; i < 100; ++i) {
        const std::string next = next_workspace(queue);
        queued_request work;
        queue.take(queue.head(next, false, start)->id, work);
        queue.charge(next, 1000);
        ++served[next];
    }
    EXPECT_NEAR(served["idle"], 50, 2);
}

TEST(fair_queue_test, urgent_goes_first_and_batch_is_not_starved) {
    fair_queue queue;
    std::uint64_t id = 1;
    for (int i = 0; i < 200; ++i) {
        queue.push(make_work(id++, "a", 100, priority_level::batch));
        queue.push(make_work(id++, "a", 100, priority_level::urgent));
    }
    int urgent = 0;
    for (int i = 0; i < 100; ++i) {
        queued_request work;
        queue.take(queue.head("a", false, start)->id, work);
        urgent += work.priority == priority_level::urgent ? 1 : 0;
    }
    EXPECT_GT(urgent, 85);
    EXPECT_LT(urgent, 100);
}

TEST(fair_queue_test, shortest_first_ages) {
    fair_queue queue;
    queued_request old = make_work(1, "a", 500);
    queue.push(old);
    queued_request fresh = make_work(2, "a", 10);
    fresh.arrived = start + seconds(60);
    queue.push(fresh);
    EXPECT_EQ(queue.head("a", true, start + seconds(60))->id, 1U);
    queued_request soon = make_work(3, "a", 10);
    soon.arrived = start;
    queue.push(soon);
    EXPECT_EQ(queue.head("a", true, start + seconds(1))->id, 3U);
}

// Refused callers get evenly spaced retry times; a caller that returns at its time is admitted
// once.
TEST(retry_schedule_test, reservations_are_spaced_and_redeemed_once) {
    retry_schedule returns;
    std::vector<milliseconds> times;
    for (std::uint64_t id = 1; id <= 10; ++id) {
        times.push_back(returns.reserve(id, "a", seconds(1), milliseconds(200), 100, start));
    }
    for (std::size_t i = 1; i < times.size(); ++i) {
        EXPECT_EQ(times[i] - times[i - 1], milliseconds(200));
    }
    EXPECT_EQ(returns.reserve(3, "a", seconds(1), milliseconds(200), 100, start), times[2]);
    EXPECT_FALSE(returns.redeem(5, start + times[4] / 2));
    EXPECT_TRUE(returns.redeem(5, start + times[4]));
    EXPECT_FALSE(returns.redeem(5, start + times[4]));
    EXPECT_FALSE(returns.redeem(99, start + seconds(10)));
}

class pool_scheduler_test : public testing::Test {
protected:
    pool_scheduler_test() : scheduler_("m", objective::stall_time, 1) {
        for (const char* id : {"e1", "e2"}) {
            scheduler_.add_engine(backend_id(id), failure_domain_id("d"));
            engine_report report;
            report.capacity_tokens = 4'000;
            // The batch must not be the limiting resource: this tests the memory limit.
            report.max_running = 64;
            scheduler_.on_report(id, report, start);
        }
    }
    scheduling_request request(std::uint64_t id, const std::string& workspace = "a") const {
        scheduling_request r;
        r.id = id;
        r.workspace = workspace;
        r.prompt_tokens = 200;
        r.start_by = start + seconds(10);
        return r;
    }
    pool_scheduler scheduler_;
};

TEST_F(pool_scheduler_test, holds_back_before_engines_overfill) {
    for (std::uint64_t id = 1; id <= 60; ++id) {
        EXPECT_FALSE(scheduler_.submit(request(id), start).has_value());
    }
    const auto decisions = scheduler_.dispatch(start);
    EXPECT_GT(decisions.size(), 2U);
    // Fewer than would fit by their prompts alone: memory is reserved for the outputs.
    EXPECT_LT(decisions.size(), 38U);
    EXPECT_EQ(scheduler_.waiting() + decisions.size(), 60U);
}

TEST_F(pool_scheduler_test, repeated_request_gets_the_same_grant) {
    scheduler_.submit(request(1), start);
    const auto decisions = scheduler_.dispatch(start);
    ASSERT_EQ(decisions.size(), 1U);
    const auto again = scheduler_.submit(request(1), start + milliseconds(10));
    ASSERT_TRUE(again.has_value());
    EXPECT_EQ(again->backend, decisions[0].backend);
    EXPECT_EQ(scheduler_.running(), 1U);
}

TEST_F(pool_scheduler_test, leaving_engines_get_nothing) {
    scheduler_.set_engine_usable("e1", false);
    for (std::uint64_t id = 1; id <= 20; ++id) {
        scheduler_.submit(request(id), start);
    }
    for (const scheduling_decision& decision : scheduler_.dispatch(start)) {
        EXPECT_EQ(decision.backend.text(), "e2");
    }
}

// A request that can't be served is refused early with a time to retry, not at its deadline.
TEST_F(pool_scheduler_test, refuses_with_a_retry_time_when_no_engine_is_usable) {
    scheduler_.set_engine_usable("e1", false);
    scheduler_.set_engine_usable("e2", false);
    scheduler_.submit(request(1), start);
    const auto decisions = scheduler_.dispatch(start + milliseconds(1'300));
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_FALSE(decisions[0].granted);
    EXPECT_EQ(decisions[0].reason, refusal_reason::no_engine);
    EXPECT_GT(decisions[0].retry_after.count(), 0);
}

TEST_F(pool_scheduler_test, enforces_workspace_limits) {
    scheduler_.set_workspace("a", {1.0, 2, 5});
    int refused = 0;
    for (std::uint64_t id = 1; id <= 8; ++id) {
        const auto decided = scheduler_.submit(request(id), start);
        refused += decided && decided->reason == refusal_reason::workspace_queue_full ? 1 : 0;
    }
    EXPECT_EQ(refused, 3);
    EXPECT_EQ(scheduler_.dispatch(start).size(), 2U);
}

// A new owner of the pool learns of the running generations from the instances that stream them.
TEST_F(pool_scheduler_test, unknown_running_generations_are_taken_over) {
    for (std::uint64_t id = 1; id <= 30; ++id) {
        scheduler_.on_progress({id, "a", id % 2 == 0 ? "e1" : "e2", "", 200, 50}, start);
    }
    EXPECT_EQ(scheduler_.running(), 30U);
    scheduler_.submit(request(100), start);
    EXPECT_TRUE(scheduler_.dispatch(start).empty());
    for (std::uint64_t id = 1; id <= 30; ++id) {
        scheduler_.on_finished(id, 60, generation_end::finished, start);
    }
    EXPECT_EQ(scheduler_.dispatch(start + milliseconds(60)).size(), 1U);
}

// The grants of an instance that has crashed are removed after some seconds without progress.
TEST_F(pool_scheduler_test, silent_grants_expire) {
    scheduler_.submit(request(1), start);
    ASSERT_EQ(scheduler_.dispatch(start).size(), 1U);
    scheduler_.dispatch(start + seconds(4));
    EXPECT_EQ(scheduler_.running(), 1U);
    scheduler_.dispatch(start + seconds(6));
    EXPECT_EQ(scheduler_.running(), 0U);
}

} // namespace
} // namespace bamboostream
