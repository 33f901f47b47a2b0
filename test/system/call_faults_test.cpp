// Tests non-idempotent calls under faults, with real processes and fault proxies in front of the
// services and the log.

#include "test/system/cluster.h"

#include <csignal>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace json = boost::json;

/// A fault that is injected before the call is made, and the outcomes that the caller may get.
struct call_fault {
    const char* name;
    void (*inject)(cluster& c);
    std::vector<outcome> allowed;
    /// The exact number of executions after the first call; -1 allows none or one.
    int runs = -1;
    /// Whether the services are behind fault proxies. A proxy still accepts connections when its
    /// service is dead, so the instance can't tell whether the request reached the service.
    bool proxied_services = true;
    friend void PrintTo(const call_fault& fault, std::ostream* out) { *out << fault.name; }
};

void no_fault(cluster&) {}
void services_lose_answers(cluster& c) {
    for (int i = 0; i < 2; ++i) {
        c.command(c.service(i).addresses[0], {{"lose_answers", 1}});
    }
}
void service_links_lose_answers(cluster& c) {
    for (int i = 0; i < 2; ++i) {
        c.command(c.service(i).proxy_control, {{"lose_answers", 1}});
    }
}
void service_links_lose_requests(cluster& c) {
    for (int i = 0; i < 2; ++i) {
        c.command(c.service(i).proxy_control, {{"lose_requests", 1}});
    }
}
void service_links_refuse(cluster& c) {
    for (int i = 0; i < 2; ++i) {
        c.command(c.service(i).proxy_control, {{"refuse", 1}});
    }
}
void kill_one_service(cluster& c) {
    c.service(0).running->signal(SIGKILL);
    c.service(0).running->wait_for_end(seconds(2));
}
void kill_all_services(cluster& c) {
    for (int i = 0; i < 2; ++i) {
        c.service(i).running->signal(SIGKILL);
        c.service(i).running->wait_for_end(seconds(2));
    }
}
void services_leave(cluster& c) {
    for (int i = 0; i < 2; ++i) {
        c.command(c.service(i).addresses[0], {{"leaving", 1}});
    }
}
void log_down(cluster& c) {
    c.command(c.log().addresses[0], {{"down", 1}});
    c.run_for(milliseconds(300));
}
void log_slow(cluster& c) {
    c.command(c.log().addresses[0], {{"delay_ms", 400}});
}
void log_loses_append_answers(cluster& c) {
    c.command(c.log().addresses[0], {{"lose_answers", 1.0}});
}
void log_link_stalled(cluster& c) {
    c.command(c.log().proxy_control, {{"stalled", 1}});
    c.run_for(milliseconds(300));
}
void kill_an_instance(cluster& c) {
    c.instance(0).running->signal(SIGKILL);
    c.instance(0).running->wait_for_end(seconds(2));
}
void log_and_services_lose_answers(cluster& c) {
    log_loses_append_answers(c);
    services_lose_answers(c);
}

const std::vector<call_fault> call_faults = {
    {"none", no_fault, {outcome::completed}, 1},
    {"one_service_killed", kill_one_service, {outcome::completed}, 1, false},
    {"all_services_killed", kill_all_services, {outcome::not_run}, 0, false},
    {"all_services_killed_behind_proxies",
     kill_all_services,
     {outcome::not_run, outcome::unknown},
     0},
    {"services_leaving", services_leave, {outcome::not_run}, 0},
    {"service_runs_and_loses_the_answer", services_lose_answers, {outcome::unknown}, 1},
    {"link_loses_answers", service_links_lose_answers, {outcome::unknown}, 1},
    {"link_loses_requests", service_links_lose_requests, {outcome::unknown}, 0},
    {"link_refuses", service_links_refuse, {outcome::not_run, outcome::unknown}, 0},
    {"log_down", log_down, {outcome::not_run}, 0},
    {"log_slow", log_slow, {outcome::completed}, 1},
    {"append_answers_lost", log_loses_append_answers, {outcome::completed, outcome::not_run}, -1},
    {"log_link_stalled", log_link_stalled, {outcome::not_run, outcome::unknown}, 0},
    {"an_instance_killed", kill_an_instance, {outcome::completed}, 1},
    {"append_and_service_answers_lost",
     log_and_services_lose_answers,
     {outcome::unknown, outcome::not_run},
     -1},
};

cluster_options make_cluster_options(bool proxied_services) {
    cluster_options options;
    options.engines = 1;
    options.proxied_services = proxied_services;
    options.proxied_log = true;
    return options;
}

class call_fault_test : public testing::TestWithParam<call_fault> {};

// Guards against false outcomes and duplicate executions. "not run" requires that the services'
// journals have no execution of the key, "completed" that they have exactly one, and there must
// never be two. The fault is injected before the call; then the caller repeats the call twice with
// the same key. This holds because the instance appends a claim to the log before it dispatches the
// call, and a claim never passes to another instance.
TEST_P(call_fault_test, outcome_is_true_and_nothing_runs_twice) {
    const call_fault& fault = GetParam();
    cluster c(make_cluster_options(fault.proxied_services));
    // An instance that started less than the allowed clock skew (1 s) before the key was made can't
    // rule out that its predecessor ran the call. Wait until the instances have been up for longer.
    c.run_for(milliseconds(1'200));
    fault.inject(c);
    const std::string key = make_uuid_v7(wall_now());
    const auto first = c.start_service_call(key);
    ASSERT_TRUE(c.wait_until([&] { return first->ended; }, seconds(20)));
    EXPECT_NE(std::find(fault.allowed.begin(), fault.allowed.end(), first->result),
              fault.allowed.end())
        << to_string(first->result) << " " << first->message << " " << first->body;
    const int runs_after_first = c.runs_of(key);
    if (first->result == outcome::not_run) {
        EXPECT_EQ(runs_after_first, 0);
        EXPECT_GT(first->retry_after.count(), 0);
    }
    if (first->result == outcome::completed) {
        EXPECT_EQ(runs_after_first, 1);
    }
    if (fault.runs >= 0) {
        EXPECT_EQ(runs_after_first, fault.runs);
    }
    const auto second = c.start_service_call(key);
    const auto third = c.start_service_call(key);
    ASSERT_TRUE(c.wait_until([&] { return second->ended && third->ended; }, seconds(25)));
    EXPECT_LE(c.runs_of(key), 1);
    if (first->result == outcome::completed) {
        EXPECT_EQ(second->result, outcome::completed) << second->body;
        EXPECT_EQ(second->body, first->body);
        EXPECT_EQ(third->body, first->body);
    }
}

INSTANTIATE_TEST_SUITE_P(faults, call_fault_test, testing::ValuesIn(call_faults),
                         [](const auto& info) { return std::string(info.param.name); });

// Ten callers send the same key concurrently, through all instances. The call is executed once and
// every caller gets "completed" with the same body.
TEST(call_race_test, same_key_at_all_instances_runs_once) {
    cluster c({});
    const std::string key = make_uuid_v7(wall_now());
    std::vector<std::shared_ptr<service_result>> results;
    for (int i = 0; i < 10; ++i) {
        results.push_back(c.start_service_call(key));
    }
    ASSERT_TRUE(c.wait_until(
        [&] {
            return std::all_of(results.begin(), results.end(),
                               [](const auto& r) { return r->ended; });
        },
        seconds(20)));
    EXPECT_EQ(c.runs_of(key), 1);
    for (const auto& r : results) {
        EXPECT_EQ(r->result, outcome::completed) << r->message;
        EXPECT_EQ(r->body, results[0]->body);
    }
}

// The instance that holds the claim is stopped (SIGSTOP) after it dispatched the call, for up to
// about ten seconds. A second caller with the same key must not be told "not run" meanwhile, and
// the call must not be executed twice.
TEST(call_race_test, claimant_frozen_after_dispatch) {
    cluster_options options;
    options.services = 1;
    cluster c(options);
    c.command(c.service(0).addresses[0], {{"work_ms", 1500}});
    const std::string key = make_uuid_v7(wall_now());
    const auto first = c.start_service_call(key);
    ASSERT_TRUE(c.wait_until([&] { return c.runs_of(key) == 1; }, seconds(5)));
    for (int i = 0; i < 3; ++i) {
        if (number_at(c.get(c.instance(i).addresses[1], "/v1/status"), "open_requests") > 0) {
            c.instance(i).running->signal(SIGSTOP);
        }
    }
    c.run_for(milliseconds(1500));
    const auto second = c.start_service_call(key);
    c.wait_until([&] { return second->ended; }, seconds(12));
    EXPECT_NE(second->result, outcome::not_run) << second->message;
    for (int i = 0; i < 3; ++i) {
        c.instance(i).running->signal(SIGCONT);
    }
    ASSERT_TRUE(c.wait_until([&] { return first->ended && second->ended; }, seconds(20)));
    EXPECT_EQ(c.runs_of(key), 1);
}

// Guards against a second execution when nobody remembers the claim: all records of the log
// expire, the instances are killed, and the key is sent again to a new instance that never read the
// claim. It must not answer "not run" and the call must not be executed twice.
TEST(call_race_test, log_restarted_with_old_records_expired) {
    cluster c({});
    const std::string key = make_uuid_v7(wall_now());
    const auto first = c.start_service_call(key);
    ASSERT_TRUE(c.wait_until([&] { return first->ended; }, seconds(10)));
    ASSERT_EQ(first->result, outcome::completed);
    c.command(c.log().addresses[0], {{"expire_all", 1}});
    for (int i = 0; i < 3; ++i) {
        c.instance(i).running->signal(SIGKILL);
        c.instance(i).running->wait_for_end(seconds(2));
    }
    const int new_instance = c.add_instance();
    // The configuration has expired from the log as well and isn't submitted again.
    c.run_for(milliseconds(500));
    const json::value answer = c.call_at(new_instance, key);
    ASSERT_TRUE(answer.is_object());
    EXPECT_EQ(text_at(answer.at("error"), "outcome"), "unknown") << json::serialize(answer);
    const auto again = c.start_service_call(key);
    c.wait_until([&] { return again->ended; }, seconds(3));
    EXPECT_NE(again->result, outcome::not_run);
    EXPECT_LE(c.runs_of(key), 1);
}

// A call is executed, the log goes down, and an instance starts that can't read the claim. When it
// gets the same key it must not answer "not run": the other instances, which it asks, know the
// claim.
TEST(call_race_test, new_instance_in_a_log_outage_does_not_deny_a_run) {
    cluster c({});
    c.run_for(milliseconds(1'200));
    const std::string key = make_uuid_v7(wall_now());
    const auto first = c.start_service_call(key);
    ASSERT_TRUE(c.wait_until([&] { return first->ended; }, seconds(10)));
    ASSERT_EQ(first->result, outcome::completed);
    c.command(c.log().addresses[0], {{"down", 1}});
    const int new_instance = c.add_instance();
    ASSERT_TRUE(c.wait_until([&] { return c.version_at(new_instance) > 0; }, seconds(8)));
    const json::value answer = c.call_at(new_instance, key);
    ASSERT_TRUE(answer.is_object());
    EXPECT_EQ(text_at(answer.at("error"), "outcome"), "unknown") << json::serialize(answer);
    EXPECT_EQ(c.runs_of(key), 1);
}

} // namespace
} // namespace bamboostream::test
