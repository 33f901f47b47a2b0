// Tests of real gateway processes with a fake store and scripted backend servers.

#include "test/platform/system/gateway_fixture.h"

#include <csignal>

namespace bamboostream::test {
namespace {

TEST_F(gateway_test, instances_find_each_other_and_serve) {
    configure(1, "k");
    add_valid_backend("i-1");
    auto& a = add_instance(serving_store_);
    auto& b = add_instance(serving_store_);
    EXPECT_TRUE(serves(a, "k"));
    EXPECT_TRUE(serves(b, "k"));
    EXPECT_EQ(status_of(a, "wrong"), 401);
    EXPECT_TRUE(wait_until([&] {
        const std::string directory = fetch_directory(a);
        return directory.find(a.ip) != std::string::npos &&
               directory.find(b.ip) != std::string::npos;
    }));
}

/// How the store fails the calls of one instance.
struct manner_row {
    std::string name;
    store_manner manner;
};

class store_turns_away : public gateway_test, public testing::WithParamInterface<manner_row> {};

INSTANTIATE_TEST_SUITE_P(table, store_turns_away,
                         testing::Values(manner_row{"refuses", store_manner::refuses},
                                         manner_row{"is_silent", store_manner::is_silent}),
                         [](const auto& info) { return info.param.name; });

// The store serves one instance and fails the calls of the other. The other must still serve its
// callers: it learns the configuration and the backend servers from its peer, including key
// changes.
TEST_P(store_turns_away, the_instance_learns_from_its_peer) {
    configure(1, "k1");
    add_valid_backend("i-1");
    const std::string bad_store = store_.add_address();
    store_.set_manner(bad_store, GetParam().manner);
    auto& a = add_instance(serving_store_);
    auto& b = add_instance(bad_store);
    EXPECT_TRUE(serves(a, "k1"));
    EXPECT_TRUE(serves(b, "k1"));
    configure(2, "k2");
    EXPECT_TRUE(serves(b, "k2"));
    EXPECT_EQ(status_of(b, "k1"), 401);
}

/// Whether the platform announces new settings with a signal.
struct reload_row {
    std::string name;
    bool signalled;
};

class changed_settings : public gateway_test, public testing::WithParamInterface<reload_row> {};

INSTANTIATE_TEST_SUITE_P(table, changed_settings,
                         testing::Values(reload_row{"with_a_signal", true},
                                         reload_row{"without_a_signal", false}),
                         [](const auto& info) { return info.param.name; });

// The store moves to another address and the settings file is updated. The instance keeps serving,
// reads from the new address, and applies a configuration that is written after the move.
TEST_P(changed_settings, come_into_force_while_it_serves) {
    configure(1, "k1");
    add_valid_backend("i-1");
    const std::string old_store = store_.add_address();
    auto& a = add_instance(old_store);
    ASSERT_TRUE(serves(a, "k1"));
    store_.set_manner(old_store, store_manner::refuses);
    write_settings(a, 0, serving_store_);
    if (GetParam().signalled) {
        a.running->signal(SIGHUP);
    }
    configure(2, "k2");
    EXPECT_TRUE(serves(a, "k2", 2 * wait_timeout));
    EXPECT_EQ(status_of(a, "k1"), 401);
}

// The store deletes its history, with a new version of the operator's records in it, while it is
// unavailable. The instance must detect the gap and read the newest records again, instead of
// waiting for records that no longer exist.
TEST_F(gateway_test, a_gap_in_the_history_loses_no_configuration) {
    configure(1, "k1");
    add_valid_backend("i-1");
    auto& a = add_instance(serving_store_);
    ASSERT_TRUE(serves(a, "k1"));
    store_.set_manner(serving_store_, store_manner::refuses);
    wait_until([] { return false; }, milliseconds(1'500));
    configure(2, "k2");
    store_.forget_history("keyed.op");
    store_.forget_history("keyed.servers");
    store_.set_manner(serving_store_, store_manner::answers);
    EXPECT_TRUE(serves(a, "k2"));
}

// A graceful shutdown begins while a backend server runs a request. The caller receives the
// complete answer; the instance reports that it is not ready, is removed from the directory, and
// exits by itself before the platform would kill it.
TEST_F(gateway_test, a_shutdown_answers_what_was_read) {
    configure(1, "k");
    add_backend("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        co_await c.pause(700);
        co_await c.send(fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                                    "Content-Length: 2\r\n\r\nok",
                                    c.field("Attempt-Id")));
    });
    auto& a = add_instance(serving_store_);
    auto& b = add_instance(serving_store_);
    ASSERT_TRUE(serves(a, "k"));
    ASSERT_TRUE(serves(b, "k"));
    const auto open = send_request(b, "k");
    wait_until([] { return false; }, milliseconds(150));
    b.running->signal(SIGTERM);
    wait_until([] { return false; }, milliseconds(100));
    const auto ready = call(b.ip + ":8749", make_request("GET", "/readiness"));
    wait_until_done(ready);
    EXPECT_EQ(ready->status, 503);
    wait_until_done(open);
    EXPECT_EQ(open->status, 200);
    EXPECT_EQ(open->body, "ok");
    EXPECT_TRUE(wait_until([&] { return fetch_directory(a).find(b.ip) == std::string::npos; }));
    EXPECT_TRUE(wait_until([&] { return b.running->wait_for_end(milliseconds(0)); }));
    EXPECT_EQ(b.running->exit_code(), 0);
}

// Guards against open calls that outlive the objects they refer to at shutdown and keep the process
// from exiting.
TEST_F(gateway_test, a_shutdown_ends_while_requests_are_open) {
    configure(1, "k");
    add_valid_backend("i-1");
    auto& a = add_instance(serving_store_);
    ASSERT_TRUE(serves(a, "k"));
    store_.write("keyed.servers", "i-1", "");
    add_backend("i-2", [](scripted_connection& c) -> asio::awaitable<void> {
        co_await c.wait_for_close();
    });
    ASSERT_TRUE(wait_until([&] { return has_logged(a, "backend_down", "backend=i-1"); }));
    std::vector<std::shared_ptr<call_result>> open;
    for (int i = 0; i < 40; ++i) {
        // The timeout of this route is longer than the grace period.
        open.push_back(send_request(a, "k", "/l/x"));
    }
    wait_until([] { return false; }, milliseconds(100));
    a.running->signal(SIGTERM);
    EXPECT_TRUE(wait_until([&] { return a.running->wait_for_end(milliseconds(0)); }));
    EXPECT_EQ(a.running->exit_code(), 0);
}

// All instances are killed at once, and the store is unavailable when they restart. They answer
// "not run" until the store is available again, and serve soon after.
TEST_F(gateway_test, a_restart_of_all_serves_once_the_store_is_back) {
    configure(1, "k");
    add_valid_backend("i-1");
    auto& a = add_instance(serving_store_);
    auto& b = add_instance(serving_store_);
    ASSERT_TRUE(serves(a, "k"));
    for (auto* it : {&a, &b}) {
        it->running->signal(SIGKILL);
        it->running->wait_for_end(wait_timeout);
    }
    store_.set_manner(serving_store_, store_manner::refuses);
    start(a);
    start(b);
    wait_until([&] { return status_of(a, "k") != -1; });
    EXPECT_EQ(status_of(a, "k"), 503);
    store_.set_manner(serving_store_, store_manner::answers);
    EXPECT_TRUE(serves(a, "k"));
    EXPECT_TRUE(serves(b, "k"));
}

// A backend server's entry is removed from the store while the server still listens. No request may
// reach it later than two seconds after the removal.
TEST_F(gateway_test, a_removed_backend_server_gets_nothing_new) {
    configure(1, "k");
    scripted_backend& removed = add_valid_backend("i-1");
    auto& a = add_instance(serving_store_);
    auto& b = add_instance(serving_store_);
    ASSERT_TRUE(serves(a, "k"));
    ASSERT_TRUE(serves(b, "k"));
    add_valid_backend("i-2");
    store_.write("keyed.servers", "i-1", "");
    wait_until([] { return false; }, milliseconds(2'000));
    const std::size_t before = removed.requests().size();
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(status_of(i % 2 == 0 ? a : b, "k"), 200);
    }
    EXPECT_EQ(removed.requests().size(), before);
}

// After a short store outage, the history that contains the removal of a backend server is lost.
// The two instances that read the store wait 2.5 s for the server's entry and then drop the server.
// The other instances receive no record of this and must drop it too: a server that is gone looks
// idle, so it would be chosen, and their callers would be refused after several failed attempts.
TEST_F(gateway_test, a_server_that_lapsed_in_an_outage_is_given_up_by_all) {
    configure(1, "k");
    add_valid_backend("i-1");
    add_valid_backend("i-2");
    for (int i = 0; i < 4; ++i) {
        add_instance(serving_store_);
    }
    for (const auto& it : instances_) {
        ASSERT_TRUE(serves(*it, "k"));
    }
    wait_until([] { return false; }, milliseconds(1'500));
    store_.set_manner(serving_store_, store_manner::refuses);
    store_.write("keyed.servers", "i-2", "");
    store_.forget_history("keyed.servers");
    // Short enough that no other instance takes over reading while the readers report nothing.
    wait_until([] { return false; }, milliseconds(150));
    store_.set_manner(serving_store_, store_manner::answers);
    for (const auto& it : instances_) {
        EXPECT_TRUE(wait_until([&] { return has_logged(*it, "backend_down", "backend=i-2"); }))
            << it->log;
    }
}

// The platform's bound is shorter than the time that a change may take to reach all instances. The
// instance serves nevertheless and logs this once at startup, which explains later why a request
// reached a server that had left.
TEST_F(gateway_test, a_bound_that_cannot_be_kept_is_said_at_the_start) {
    configure(1, "k");
    add_valid_backend("i-1");
    instance_under_test it{nullptr, ip_of(0), folder_ + "/0.conf", folder_ + "/0.log"};
    write_settings(it, 0, serving_store_);
    std::ofstream(it.settings, std::ios::app)
        << "bounds.drain_ms=500\nbounds.config_apply_ms=2000\n";
    start(it);
    EXPECT_TRUE(serves(it, "k"));
    EXPECT_TRUE(has_logged(it, "bound_too_short", "bound=leaving bound_ms=500"));
    EXPECT_FALSE(has_logged(it, "bound_too_short", "bound=configuration"));
}

TEST_F(gateway_test, bad_settings_are_all_named_and_end_with_code_two) {
    const std::string settings = folder_ + "/bad.conf";
    const std::string log = folder_ + "/bad.log";
    std::ofstream(settings) << "zone=z\nlisten.front=nonsense\nbounds.grace_s=-1\n";
    process bad("bamboostream-gateway", {"--settings-file", settings}, log);
    ASSERT_TRUE(bad.wait_for_end(wait_timeout));
    EXPECT_EQ(bad.exit_code(), 2);
    std::ifstream file(log);
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    for (const char* name : {"listen.front", "bounds.grace_s", "platform.address"}) {
        EXPECT_NE(text.find(name), std::string::npos) << text;
    }
}

} // namespace
} // namespace bamboostream::test
