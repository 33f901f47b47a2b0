// Tests, over loopback connections, that other instances confirm the end of a server's process
// before it counts against the request that was open there.

#include "bamboostream/src/Http/address.h"
#include "test/platform/forwarding_fixture.h"
#include "test/platform/peer_group.h"
#include "test/platform/scripted_backend.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;
using enum process_state;

struct findings_row {
    std::string name;
    process_state own;
    std::vector<process_state> others;
    process_state expected;
    friend void PrintTo(const findings_row& row, std::ostream* out) { *out << row.name; }
};

class server_findings : public testing::TestWithParam<findings_row> {};

INSTANTIATE_TEST_SUITE_P(
    table, server_findings,
    testing::Values(findings_row{"alone", ended, {}, ended},
                    findings_row{"confirmed", ended, {unknown, ended}, ended},
                    findings_row{"one_reaches_it", ended, {ended, ended, running}, running},
                    findings_row{"nobody_knows", ended, {unknown, unknown}, unknown},
                    findings_row{"only_others_know", unknown, {ended}, ended},
                    findings_row{"own_finding_of_a_running_process", running, {ended}, running},
                    findings_row{"nothing_known", unknown, {}, unknown}),
    [](const auto& info) { return info.param.name; });

TEST_P(server_findings, are_combined) {
    EXPECT_EQ(combine_findings(GetParam().own, GetParam().others), GetParam().expected);
}

struct lost_row {
    std::string name;
    int instances;
    /// The other instances connect to the server, and every instance connects to another server.
    bool others_reach_it;
    bool other_server_runs;
    std::size_t evidence;
    friend void PrintTo(const lost_row& row, std::ostream* out) { *out << row.name; }
};

/// One instance loses its connection to a server and is refused new ones.
class lost_server : public testing::TestWithParam<lost_row> {
public:
    lost_server(const lost_server&) = delete;
    lost_server& operator=(const lost_server&) = delete;

protected:
    lost_server() : group_(GetParam().instances, 1) {
        for (const auto& it : group_.all) {
            it->forwarding.routes = std::make_shared<const route_table>(forwarding_configuration());
        }
        serving_ = std::make_unique<http_server>(
            std::vector<asio::io_context*>{&group_.context}, http_limits{},
            [this](http_exchange& exchange) -> asio::awaitable<void> {
                forwarded_call call(origin().forwarding, exchange, monotonic_now());
                co_await call.run();
            });
        std::string why;
        address_ = serving_->listen("127.0.0.1:0", why).value();
    }
    ~lost_server() override {
        serving_->stop_accepting();
        lost_.stop();
        running_.stop();
        group_.run_for(milliseconds(30));
    }

    peer_instance& origin() { return *group_.all.front(); }

    void add(const std::string& id, const std::string& service, const std::string& address,
             const std::string& origin_sees) {
        registered_backend entry;
        entry.id = backend_id(id);
        entry.service = service_id(service);
        for (const auto& it : group_.all) {
            entry.address = it.get() == &origin() ? origin_sees : address;
            it->forwarding.registry.update(entry, monotonic_now());
        }
    }

    void send_request() {
        bool done = false;
        asio::co_spawn(
            group_.context,
            [this, &done]() -> asio::awaitable<void> {
                const auto connection =
                    std::make_shared<http_connection>(group_.context.get_executor());
                http_failure why;
                co_await connection->connect(address_, seconds(1), why);
                connection->send("GET /once/x HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: 1a\r\n"
                                 "Authorization: Bearer the-key\r\n\r\n",
                                 false);
                co_await connection->read_head(why);
                done = true;
            },
            asio::detached);
        for (const time_point limit = monotonic_now() + seconds(3);
             !done && monotonic_now() < limit;) {
            group_.run_for(milliseconds(5));
        }
        EXPECT_TRUE(done);
    }

    peer_group group_;
    scripted_backend lost_{group_.context, [](scripted_connection& c) -> asio::awaitable<void> {
                               c.end_process();
                               co_return;
                           }};
    scripted_backend running_{group_.context,
                              [](scripted_connection&) -> asio::awaitable<void> { co_return; }};
    std::unique_ptr<http_server> serving_;
    std::string address_;
};

INSTANTIATE_TEST_SUITE_P(
    table, lost_server,
    testing::Values(lost_row{"only_this_instance_is_refused", 3, true, true, 0},
                    lost_row{"only_this_instance_is_refused_everywhere", 3, true, false, 0},
                    lost_row{"the_process_has_ended", 3, false, true, 1},
                    lost_row{"all_instances_are_refused_everywhere", 3, false, false, 0},
                    lost_row{"the_process_has_ended_and_no_other_instance_runs", 1, false, true,
                             1}),
    [](const auto& info) { return info.param.name; });

// Guards against an innocent request being held because instances lost their links to servers.
TEST_P(lost_server, is_evidence_only_if_its_process_has_ended) {
    add("i-0", "calls", GetParam().others_reach_it ? running_.address() : lost_.address(),
        lost_.address());
    // An address of this range that nothing listens on refuses connections.
    const std::string refusing = "127.9.9.9:1";
    const bool runs = GetParam().other_server_runs;
    add("i-1", "others", runs ? running_.address() : refusing,
        runs ? running_.address() : refusing);
    send_request();
    EXPECT_EQ(lost_.requests().size(), 1u);
    EXPECT_EQ(origin().forwarding.quarantine.decisions().size(), GetParam().evidence);
}

// Guards against a request that has crashed all servers but one not being blamed for the last one.
TEST(server_state_exchange_test, the_end_of_the_last_server_is_found) {
    peer_group group(3, 1);
    std::vector<std::unique_ptr<scripted_backend>> servers;
    for (int i = 0; i < 3; ++i) {
        servers.push_back(std::make_unique<scripted_backend>(
            group.context, [](scripted_connection&) -> asio::awaitable<void> { co_return; }));
        registered_backend entry;
        entry.id = backend_id(fmt::format("i-{}", i));
        entry.service = service_id("calls");
        entry.address = servers.back()->address();
        for (const auto& it : group.all) {
            it->forwarding.registry.update(entry, monotonic_now());
        }
    }
    std::vector<process_state> found;
    for (int i = 0; i < 3; ++i) {
        servers[static_cast<std::size_t>(i)]->end_process();
        asio::co_spawn(
            group.context,
            [&, i]() -> asio::awaitable<void> {
                const backend_id id(fmt::format("i-{}", i));
                const std::string address = servers[static_cast<std::size_t>(i)]->address();
                found.push_back(co_await group.all.front()->server_states->verify(id, address));
            },
            asio::detached);
        group.run_for(milliseconds(200));
    }
    EXPECT_EQ(found, std::vector(3, ended));
}

// Guards against a crash being missed because a witness found the server running just before it.
TEST(server_state_exchange_test, the_end_of_a_process_right_after_a_verification_is_found) {
    peer_group group(3, 1);
    scripted_backend server(group.context,
                            [](scripted_connection&) -> asio::awaitable<void> { co_return; });
    scripted_backend other(group.context,
                           [](scripted_connection&) -> asio::awaitable<void> { co_return; });
    peer_instance& origin = *group.all.front();
    for (const auto& it : group.all) {
        for (const auto& [id, address] :
             {std::pair("i-0", server.address()), std::pair("i-1", other.address())}) {
            registered_backend entry;
            entry.id = backend_id(id);
            entry.service = service_id("calls");
            entry.address =
                it.get() == &origin && entry.id == backend_id("i-0") ? "127.9.9.9:1" : address;
            it->forwarding.registry.update(entry, monotonic_now());
        }
    }
    std::vector<process_state> found;
    const auto verify = [&]() -> asio::awaitable<void> {
        found.push_back(
            co_await origin.server_states->verify(backend_id("i-0"), std::string("127.9.9.9:1")));
        server.end_process();
    };
    for (int i = 0; i < 2; ++i) {
        asio::co_spawn(group.context, verify, asio::detached);
        for (const time_point limit = monotonic_now() + seconds(2);
             found.size() <= static_cast<std::size_t>(i) && monotonic_now() < limit;) {
            group.run_for(milliseconds(1));
        }
    }
    EXPECT_EQ(found, (std::vector{running, ended}));
    other.stop();
}

} // namespace
} // namespace bamboostream::test
