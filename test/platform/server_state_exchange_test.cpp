// Tests, over loopback connections, that other instances confirm the end of a server's process
// before it counts against the request that was open there.

#include "bamboostream/src/Http/address.h"
#include "test/platform/forwarding_fixture.h"
#include "test/platform/peer_group.h"
#include "test/platform/scripted_backend.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
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

/// A group of instances, the first of which serves requests.
class lost_server_group : public testing::Test {
public:
    lost_server_group(const lost_server_group&) = delete;
    lost_server_group& operator=(const lost_server_group&) = delete;

protected:
    explicit lost_server_group(int instances) : group_(instances, 1) {
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
    ~lost_server_group() override {
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

    /// Returns whether the request has been answered; set later.
    std::shared_ptr<bool> begin_request(const std::string& path) {
        auto done = std::make_shared<bool>(false);
        asio::co_spawn(
            group_.context,
            [this, path, done]() -> asio::awaitable<void> {
                const auto connection =
                    std::make_shared<http_connection>(group_.context.get_executor());
                http_failure why;
                co_await connection->connect(address_, seconds(1), why);
                connection->send(fmt::format("GET /once/{} HTTP/1.1\r\nHost: host.example\r\n"
                                             "Attempt-Id: {}\r\nAuthorization: Bearer the-key"
                                             "\r\n\r\n",
                                             path, path),
                                 false);
                co_await connection->read_head(why);
                *done = true;
            },
            asio::detached);
        return done;
    }

    bool run_until(const std::function<bool()>& condition) {
        for (const time_point limit = monotonic_now() + seconds(3);
             !condition() && monotonic_now() < limit;) {
            group_.run_for(milliseconds(5));
        }
        return condition();
    }

    std::size_t evidence() { return origin().forwarding.quarantine.decisions().size(); }

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

/// One instance loses its connection to a server and is refused new ones.
class lost_server : public lost_server_group, public testing::WithParamInterface<lost_row> {
protected:
    lost_server() : lost_server_group(GetParam().instances) {}
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
    const auto done = begin_request("1a");
    EXPECT_TRUE(run_until([&] { return *done; }));
    EXPECT_EQ(lost_.requests().size(), 1u);
    EXPECT_EQ(evidence(), GetParam().evidence);
}

/// Two servers are lost at the same time. The parameter is the number of instances.
class lost_server_pair : public lost_server_group, public testing::WithParamInterface<int> {
protected:
    lost_server_pair() : lost_server_group(GetParam()) {}

    /// Sends a request to each of two servers, which refuse connections from then on.
    void lose_both(std::vector<std::unique_ptr<scripted_backend>>& servers) {
        for (int i = 0; i < 2; ++i) {
            servers.push_back(std::make_unique<scripted_backend>(
                group_.context, [this](scripted_connection& c) -> asio::awaitable<void> {
                    ++running_requests_;
                    while (running_requests_ < 2) {
                        co_await c.pause(1);
                    }
                    c.end_process();
                }));
            const std::string& address = servers.back()->address();
            add(fmt::format("i-{}", i), "calls", address, address);
        }
        const auto first = begin_request("1a");
        const auto second = begin_request("2b");
        EXPECT_TRUE(run_until([&] { return *first && *second; }));
        EXPECT_TRUE(servers.front()->ended() && servers.back()->ended());
        EXPECT_EQ(evidence(), 0u) << "no server can be reached, so the network may be at fault";
    }

    int running_requests_ = 0;
};

INSTANTIATE_TEST_SUITE_P(table, lost_server_pair, testing::Values(1, 3));

// Guards against a harmful request that is never blamed because all servers crash at the same time.
TEST_P(lost_server_pair, is_evidence_once_another_server_is_reached) {
    std::vector<std::unique_ptr<scripted_backend>> servers;
    lose_both(servers);
    group_.run_for(milliseconds(300));
    EXPECT_EQ(evidence(), 0u);
    add("i-2", "calls", running_.address(), running_.address());
    EXPECT_TRUE(run_until([&] { return evidence() == 2; }));
}

// Guards against a harmful request that crashes each server before anybody can use it to prove that
// the network works.
TEST_P(lost_server_pair, is_evidence_although_the_next_server_crashes_at_once) {
    std::vector<std::unique_ptr<scripted_backend>> servers;
    lose_both(servers);
    group_.run_for(milliseconds(50));
    scripted_backend next(group_.context, [](scripted_connection& c) -> asio::awaitable<void> {
        co_await c.pause(5);
        c.end_process();
    });
    add("i-2", "calls", next.address(), next.address());
    const auto done = begin_request("3c");
    EXPECT_TRUE(run_until([&] { return *done; }));
    add("i-3", "calls", running_.address(), running_.address());
    EXPECT_TRUE(run_until([&] { return evidence() == 3; }));
}

// Guards against innocent requests being blamed when a partition of all instances ends.
TEST_P(lost_server_pair, is_no_evidence_if_the_servers_are_reached_again) {
    std::vector<std::unique_ptr<scripted_backend>> servers;
    lose_both(servers);
    std::vector<asio::ip::tcp::acceptor> reachable;
    for (const auto& server : servers) {
        reachable.emplace_back(group_.context, *to_endpoint(server->address()));
    }
    group_.run_for(seconds(1));
    EXPECT_EQ(evidence(), 0u);
}

// Guards against a device in the network that accepts connections and resets them being taken for a
// server, which would show that the network works.
TEST_P(lost_server_pair, is_no_evidence_while_other_connections_are_reset) {
    std::vector<std::unique_ptr<scripted_backend>> servers;
    lose_both(servers);
    asio::ip::tcp::acceptor resetting(group_.context, {asio::ip::make_address("127.0.0.1"), 0});
    asio::co_spawn(
        group_.context,
        [&resetting]() -> asio::awaitable<void> {
            boost::system::error_code error;
            while (!error) {
                asio::ip::tcp::socket socket = co_await resetting.async_accept(
                    asio::redirect_error(asio::use_awaitable, error));
                if (!error) {
                    socket.set_option(asio::socket_base::linger(true, 0));
                }
            }
        },
        asio::detached);
    const std::string address = fmt::format("127.0.0.1:{}", resetting.local_endpoint().port());
    add("i-2", "calls", address, address);
    for (int i = 0; i < 10; ++i) {
        const auto done = begin_request(fmt::format("{}f", i));
        EXPECT_TRUE(run_until([&] { return *done; }));
        group_.run_for(milliseconds(30));
    }
    EXPECT_EQ(evidence(), 0u);
    resetting.close();
    group_.run_for(milliseconds(20));
}

// Guards against evidence that is lost with the entry of a server that has restarted.
TEST_P(lost_server_pair, is_evidence_once_the_servers_have_restarted) {
    std::vector<std::unique_ptr<scripted_backend>> servers;
    lose_both(servers);
    for (int i = 0; i < 2; ++i) {
        registered_backend entry;
        entry.id = backend_id(fmt::format("i-{}", i));
        entry.service = service_id("calls");
        entry.address = running_.address();
        entry.started_ms = 5'000;
        for (const auto& it : group_.all) {
            it->forwarding.registry.update(entry, monotonic_now());
        }
    }
    EXPECT_TRUE(run_until([&] { return evidence() == 2; }));
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

// Guards against a partition that ends for one server before it ends for another being taken for
// the crash of the latter.
TEST(server_state_exchange_test, a_server_that_is_reached_a_moment_after_the_others_has_not_ended) {
    peer_group group(1, 1);
    scripted_backend other(group.context,
                           [](scripted_connection&) -> asio::awaitable<void> { co_return; });
    asio::ip::tcp::acceptor acceptor(group.context, {asio::ip::make_address("127.0.0.1"), 0});
    const asio::ip::tcp::endpoint endpoint = acceptor.local_endpoint();
    acceptor.close();
    const std::string address = fmt::format("127.0.0.1:{}", endpoint.port());
    for (const auto& it : group.all) {
        for (const auto& [id, where] :
             {std::pair("i-0", address), std::pair("i-1", other.address())}) {
            registered_backend entry;
            entry.id = backend_id(id);
            entry.service = service_id("calls");
            entry.address = where;
            it->forwarding.registry.update(entry, monotonic_now());
        }
    }
    std::vector<process_state> found;
    asio::co_spawn(
        group.context,
        [&]() -> asio::awaitable<void> {
            found.push_back(
                co_await group.all.front()->server_states->verify(backend_id("i-0"), address));
        },
        asio::detached);
    group.run_for(milliseconds(10));
    acceptor = asio::ip::tcp::acceptor(group.context, endpoint);
    group.run_for(milliseconds(500));
    EXPECT_EQ(found, std::vector{running});
    other.stop();
}

} // namespace
} // namespace bamboostream::test
