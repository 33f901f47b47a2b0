// Tests configuration, membership, draining of backend servers and shutdown under faults, with real
// processes.

#include "test/system/cluster.h"

#include <csignal>
#include <gtest/gtest.h>
#include <set>

namespace bamboostream::test {
namespace {

namespace json = boost::json;

json::array weight_change(const std::string& workspace, int weight) {
    const json::object value{
        {"weight", weight},
        {"keys",
         json::array{json::object{{"id", "k"}, {"sha256", sha256_hex(workspace + "-key")}}}}};
    return json::array{json::object{{"entry", "workspaces/" + workspace}, {"value", value}}};
}

std::set<std::string> directory_addresses(cluster& c, int instance) {
    std::set<std::string> out;
    const json::value answer = c.get(c.instance(instance).addresses[0], "/v1/entries");
    if (answer.is_object()) {
        for (const json::value& entry : answer.at("entries").as_array()) {
            out.insert(text_at(entry, "address"));
        }
    }
    return out;
}

// Three operators change the same entry through different instances, from the same base version.
// Exactly one change is accepted; a conflict names the entry that has changed meanwhile.
TEST(configuration_fault_test, racing_operators_one_wins) {
    cluster c({});
    const std::int64_t base = c.version_at(0);
    std::vector<json::value> verdicts;
    for (int i = 0; i < 3; ++i) {
        verdicts.push_back(c.submit(i, base, weight_change("desk", 2 + i)));
    }
    int accepted = 0;
    for (const json::value& verdict : verdicts) {
        accepted += text_at(verdict, "fate") == "accepted" ? 1 : 0;
        if (text_at(verdict, "fate") == "conflict") {
            EXPECT_EQ(verdict.at("reasons").as_array()[0].as_string(), "workspaces/desk");
        }
    }
    EXPECT_EQ(accepted, 1);
}

// Changes to different workspaces from the same base version don't conflict.
TEST(configuration_fault_test, different_workspaces_do_not_collide) {
    cluster c({});
    const std::int64_t base = c.version_at(0);
    EXPECT_EQ(text_at(c.submit(0, base, weight_change("desk", 3)), "fate"), "accepted");
    EXPECT_EQ(text_at(c.submit(1, base, weight_change("traders", 4)), "fate"), "accepted");
}

// Operators read resume keys with the secret replaced by a placeholder. Submitting a key with the
// placeholder changes its other fields and keeps the secret; submitting the value in force changes
// nothing.
TEST(configuration_fault_test, hidden_secrets_are_kept) {
    cluster c({});
    const auto key = [](bool active) {
        const json::object value{{"secret", "(hidden)"}, {"active", active}};
        return json::array{json::object{{"entry", "resume_keys/a"}, {"value", value}}};
    };
    const json::array fresh{
        json::object{{"entry", "resume_keys/b"},
                     {"value", json::object{{"secret", "another-secret-for-tests"}}}}};
    ASSERT_EQ(text_at(c.submit(0, c.version_at(0), fresh), "fate"), "accepted");
    const json::value changed = c.submit(0, c.version_at(0), key(false));
    ASSERT_EQ(text_at(changed, "fate"), "accepted") << json::serialize(changed);
    EXPECT_EQ(text_at(c.submit(0, c.version_at(0), key(false)), "fate"), "repeated");
    const auto result = c.start_completion(make_call("label"));
    ASSERT_TRUE(c.wait_until([&] { return result->ended; }, seconds(10)));
    EXPECT_EQ(result->result, outcome::completed);
}

// The log appends a submission but its answer is lost. The operator still gets "accepted", because
// the instance reads the record back. Submitting again with the same id changes nothing.
TEST(configuration_fault_test, lost_append_answer_is_settled_by_reading) {
    cluster c({});
    c.command(c.log().addresses[0], {{"lose_answers", 1.0}});
    const std::string id = random_id();
    const json::value verdict = c.submit(0, c.version_at(0), weight_change("desk", 7), id);
    EXPECT_EQ(text_at(verdict, "fate"), "accepted") << json::serialize(verdict);
    c.command(c.log().addresses[0], {{"lose_answers", 0.0}});
    const std::int64_t version = c.version_at(0);
    const json::value again = c.submit(1, 0, weight_change("desk", 7), id);
    EXPECT_EQ(text_at(again, "fate"), "repeated") << json::serialize(again);
    EXPECT_EQ(c.version_at(0), version);
}

// During a log outage the configuration stays in force and an instance that starts gets it from a
// peer. After the outage a change is in force at all instances within five seconds.
TEST(configuration_fault_test, instance_started_during_log_outage_learns_from_peers) {
    cluster c({});
    const std::int64_t version = c.version_at(0);
    c.command(c.log().addresses[0], {{"down", 1}});
    const int fresh = c.add_instance();
    EXPECT_TRUE(c.wait_until([&] { return c.version_at(fresh) == version; }, seconds(8)));
    c.command(c.log().addresses[0], {{"down", 0}});
    const json::value verdict = c.submit(fresh, version, weight_change("desk", 5));
    EXPECT_EQ(text_at(verdict, "fate"), "accepted") << json::serialize(verdict);
    const std::int64_t newest = number_at(verdict, "version");
    EXPECT_TRUE(c.wait_until(
        [&] {
            for (int i = 0; i < c.instance_count(); ++i) {
                if (c.version_at(i) != newest) {
                    return false;
                }
            }
            return true;
        },
        seconds(5)));
}

// All records of the log expire while instances run. An instance that starts afterwards gets the
// current version, never an older one, from a snapshot or, if the log has none yet, from a peer.
TEST(configuration_fault_test, expired_records_are_replaced_by_snapshot_or_peer) {
    cluster_options options;
    options.instance_arguments = {"--snapshot-period-ms", "500"};
    cluster c(options);
    const json::value verdict = c.submit(0, c.version_at(0), weight_change("desk", 9));
    const std::int64_t version = number_at(verdict, "version");
    c.command(c.log().addresses[0], {{"expire_all", 1}});
    const int fresh = c.add_instance();
    EXPECT_TRUE(c.wait_until([&] { return c.version_at(fresh) == version; }, seconds(8)));
}

// After an instance is killed, the directories of the others drop it within two seconds.
TEST(membership_fault_test, dead_instance_leaves_the_directory_within_two_seconds) {
    cluster c({});
    const std::string dead = c.instance(2).addresses[0];
    ASSERT_TRUE(c.wait_until([&] { return directory_addresses(c, 0).contains(dead); }, seconds(3)));
    c.instance(2).running->signal(SIGKILL);
    const time_point killed = monotonic_now();
    ASSERT_TRUE(c.wait_until(
        [&] {
            return !directory_addresses(c, 0).contains(dead) &&
                   !directory_addresses(c, 1).contains(dead);
        },
        seconds(5)));
    EXPECT_LE(to_milliseconds(monotonic_now() - killed), 2'300.0);
}

// An instance is stopped (SIGSTOP) for about ten seconds and then continued. The others drop it
// from the directory meanwhile and list it again afterwards. When it continues it must not report
// the others as dead.
TEST(membership_fault_test, frozen_instance_is_dropped_and_comes_back) {
    cluster c({});
    const std::string frozen = c.instance(2).addresses[0];
    c.instance(2).running->signal(SIGSTOP);
    EXPECT_TRUE(
        c.wait_until([&] { return !directory_addresses(c, 0).contains(frozen); }, seconds(4)));
    c.run_for(seconds(8));
    c.instance(2).running->signal(SIGCONT);
    EXPECT_TRUE(
        c.wait_until([&] { return directory_addresses(c, 0).contains(frozen); }, seconds(6)));
    EXPECT_EQ(directory_addresses(c, 2).size(), 3U);
}

// The platform's list still contains instances that are dead, and the platform is down. The
// directory must drop the dead instances all the same and must not become empty.
TEST(membership_fault_test, stale_list_and_list_outage) {
    cluster c({});
    c.instance(1).running->signal(SIGKILL);
    c.command(c.platform().addresses[0], {{"down", 1}});
    EXPECT_TRUE(c.wait_until([&] { return directory_addresses(c, 0).size() == 2; }, seconds(5)));
    c.instance(2).running->signal(SIGKILL);
    EXPECT_TRUE(c.wait_until([&] { return directory_addresses(c, 0).size() == 1; }, seconds(5)));
}

struct leaving_case {
    const char* name;
    bool service;
    friend void PrintTo(const leaving_case& param, std::ostream* out) { *out << param.name; }
};
class leaving_test : public testing::TestWithParam<leaving_case> {};

// A backend server reports in its own status that it is leaving, while the platform's list still
// shows it as live. After three seconds it gets no new work and requests succeed at other servers.
TEST_P(leaving_test, no_new_work_after_three_seconds) {
    cluster c({});
    member& leaving = GetParam().service ? c.service(0) : c.engine(0);
    c.command(leaving.addresses[0], {{"leaving", 1}});
    c.run_for(seconds(3));
    const auto refused = [&] {
        return number_at(c.get(leaving.addresses[0], "/v1/journal"), "refused_while_leaving");
    };
    const std::int64_t before = refused();
    std::vector<std::shared_ptr<completion_result>> generations;
    std::vector<std::shared_ptr<service_result>> calls;
    for (int i = 0; i < 20; ++i) {
        if (GetParam().service) {
            calls.push_back(c.start_service_call(make_uuid_v7(wall_now())));
        } else {
            generations.push_back(c.start_completion(make_call("label")));
        }
    }
    ASSERT_TRUE(c.wait_until(
        [&] {
            return std::all_of(generations.begin(), generations.end(),
                               [](const auto& r) { return r->ended; }) &&
                   std::all_of(calls.begin(), calls.end(), [](const auto& r) { return r->ended; });
        },
        seconds(20)));
    for (const auto& r : generations) {
        EXPECT_EQ(r->result, outcome::completed);
    }
    for (const auto& r : calls) {
        EXPECT_EQ(r->result, outcome::completed);
    }
    EXPECT_EQ(refused(), before);
}

INSTANTIATE_TEST_SUITE_P(ways, leaving_test,
                         testing::Values(leaving_case{"engine", false},
                                         leaving_case{"service", true}),
                         [](const auto& info) { return std::string(info.param.name); });

// All instances are replaced one after the other by a graceful shutdown (SIGTERM) while callers
// send requests. Every request completes with all its tokens.
TEST(shutdown_test, rolling_replacement_loses_nothing) {
    cluster c({});
    std::vector<completion_call> calls;
    std::vector<std::shared_ptr<completion_result>> results;
    const auto send = [&] {
        calls.push_back(make_call("draft", 200));
        results.push_back(c.start_completion(calls.back()));
    };
    for (int i = 0; i < 3; ++i) {
        c.add_instance();
        for (int n = 0; n < 20; ++n) {
            send();
            c.run_for(milliseconds(50));
        }
        c.instance(i).running->signal(SIGTERM);
        for (int n = 0; n < 20; ++n) {
            send();
            c.run_for(milliseconds(50));
        }
        EXPECT_TRUE(c.wait_until([&] { return c.instance(i).running->wait_for_end(seconds(0)); },
                                 seconds(20)));
        EXPECT_EQ(c.instance(i).running->exit_code(), 0);
        c.remove_from_list(c.instance(i), true);
    }
    ASSERT_TRUE(c.wait_until(
        [&] {
            return std::all_of(results.begin(), results.end(),
                               [](const auto& r) { return r->ended; });
        },
        seconds(30)));
    for (std::size_t i = 0; i < results.size(); ++i) {
        EXPECT_EQ(results[i]->result, outcome::completed) << results[i]->message;
        EXPECT_TRUE(has_expected_tokens(*results[i], calls[i]));
        EXPECT_EQ(results[i]->declared_tokens, results[i]->tokens.size());
    }
}

} // namespace
} // namespace bamboostream::test
