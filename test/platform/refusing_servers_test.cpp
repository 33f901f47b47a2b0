// Tests when a server that refuses connections may be taken for one whose process has ended.

#include "bamboostream/src/Control/refusing_servers.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

const time_point start = time_point{} + std::chrono::hours(1);
const server_address lost{backend_id("i-0"), "127.0.0.1:1"};
const backend_id other("i-1");

bool listed(const backend_id& /*server*/) {
    return true;
}

bool not_listed(const backend_id& /*server*/) {
    return false;
}

struct proof_row {
    std::string name;
    backend_id reached;
    int reached_ms;
    int asked_ms;
    bool proven;
    friend void PrintTo(const proof_row& row, std::ostream* out) { *out << row.name; }
};

class refusal_proof : public testing::TestWithParam<proof_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, refusal_proof,
    testing::Values(proof_row{"another_server_a_moment_ago", other, 600, 605, true},
                    proof_row{"while_a_partition_may_still_spread", other, 10, 15, false},
                    proof_row{"before_the_refusal", other, -5, 1, false},
                    proof_row{"long_before_the_question", other, 600, 900, false},
                    proof_row{"the_server_itself", lost.id, 600, 605, false}),
    [](const auto& info) { return info.param.name; });

// Guards against a partition that makes a running server refuse connections being taken for its
// crash.
TEST_P(refusal_proof, needs_another_server_reached_since) {
    refusing_servers servers;
    servers.on_refused(lost, 0, start);
    servers.on_reached(GetParam().reached, start + milliseconds(GetParam().reached_ms));
    EXPECT_EQ(servers.is_network_proven(lost.id, start + milliseconds(GetParam().asked_ms)),
              GetParam().proven);
}

TEST(refusing_servers_test, listeners_are_called_once_when_the_end_is_confirmed) {
    refusing_servers servers;
    int calls = 0;
    servers.await_end(lost.id, [&calls] { ++calls; });
    EXPECT_EQ(servers.listeners(), 0u) << "nothing is known of the server";
    servers.on_refused(lost, 0, start);
    servers.await_end(lost.id, [&calls] { ++calls; });
    servers.on_ended(lost.id);
    EXPECT_EQ(calls, 0) << "other instances have not been asked";
    servers.confirm_end(lost.id);
    servers.confirm_end(lost.id);
    EXPECT_EQ(calls, 1);
    EXPECT_TRUE(servers.open_questions().empty());
}

// Guards against blaming requests for a crash when the server was only out of reach.
TEST(refusing_servers_test, listeners_of_a_running_server_are_dropped) {
    refusing_servers servers;
    int calls = 0;
    servers.on_refused(lost, 0, start);
    servers.await_end(lost.id, [&calls] { ++calls; });
    servers.on_running(lost.id);
    servers.confirm_end(lost.id);
    EXPECT_EQ(calls, 0);
    EXPECT_TRUE(servers.empty());
    EXPECT_EQ(servers.listeners(), 0u);
}

// Guards against a server that has restarted being left out when the network is checked.
TEST(refusing_servers_test, an_ended_server_that_is_reached_again_is_forgotten) {
    refusing_servers servers;
    servers.on_refused(lost, 0, start);
    servers.on_ended(lost.id);
    servers.on_reached(other, start + seconds(1));
    EXPECT_TRUE(servers.has_ended(lost.id));
    servers.on_reached(lost.id, start + seconds(2));
    EXPECT_FALSE(servers.has_ended(lost.id));
}

// Guards against memory that grows while no server can be reached.
TEST(refusing_servers_test, questions_are_bounded_in_age_and_number) {
    refusing_servers servers;
    for (std::size_t i = 0; i < 2 * refusing_servers::max_servers; ++i) {
        const server_address server{backend_id(fmt::format("s-{}", i)), "127.0.0.1:1"};
        servers.on_refused(server, 0, start);
        for (int n = 0; n < 40; ++n) {
            servers.await_end(server.id, [] {});
        }
    }
    EXPECT_EQ(servers.open_questions().size(), refusing_servers::max_servers);
    EXPECT_EQ(servers.listeners(), refusing_servers::max_listeners);
    servers.expire(listed, start + refusing_servers::max_age - milliseconds(1));
    EXPECT_FALSE(servers.empty());
    servers.expire(listed, start + refusing_servers::max_age);
    EXPECT_TRUE(servers.empty());
    EXPECT_EQ(servers.listeners(), 0u);
}

TEST(refusing_servers_test, ended_servers_are_kept_while_they_are_listed) {
    refusing_servers servers;
    servers.on_refused(lost, 0, start);
    servers.confirm_end(lost.id);
    servers.expire(listed, start + std::chrono::hours(1));
    EXPECT_TRUE(servers.has_ended(lost.id));
    servers.expire(not_listed, start + std::chrono::hours(1));
    EXPECT_TRUE(servers.empty());
}

// Guards against questions to other instances that are repeated without pause during an outage.
TEST(refusing_servers_test, other_instances_are_asked_less_and_less_often) {
    refusing_servers servers;
    servers.on_refused(lost, 0, start);
    int asked = 0;
    for (int ms = 0; ms < 10'000; ms += 10) {
        asked += servers.may_ask_others(lost.id, start + milliseconds(ms)) ? 1 : 0;
    }
    EXPECT_GE(asked, 10);
    EXPECT_LE(asked, 15);
    servers.on_ended(lost.id);
    EXPECT_TRUE(servers.may_ask_others(lost.id, start + milliseconds(10'000)))
        << "the own finding is new";
}

} // namespace
} // namespace bamboostream::test
