// Real gateway processes with the store's stand-in and scripted backend servers.

#include "test/platform/scripted_backend.h"
#include "test/platform/standin_store.h"
#include "test/system/cluster.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace bamboostream::test {
namespace {

namespace asio = boost::asio;

/// Long enough for a loaded machine; every wait ends as soon as its condition holds.
constexpr milliseconds patience{6'000};

struct instance_under_test {
    std::unique_ptr<process> running;
    std::string ip;
    std::string settings;
    std::string log;
};

/// What came of one call to an instance.
struct call_result {
    bool done = false;
    int status = 0;
    std::string body;
};

class gateway_test : public testing::Test {
public:
    gateway_test(const gateway_test&) = delete;
    gateway_test& operator=(const gateway_test&) = delete;

protected:
    gateway_test() : store_(context_) {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "bamboostream-XXXXXX").string();
        folder_ = mkdtemp(pattern.data());
        good_store_ = store_.add_address();
    }

    ~gateway_test() override {
        if (!HasFailure()) {
            std::filesystem::remove_all(folder_);
        } else {
            fmt::print("logs in {}\n", folder_);
        }
    }

    // Each test process has loopback addresses of its own, since the ports are fixed.
    std::string ip_of(int index) const {
        const int pid = getpid();
        return fmt::format("127.{}.{}.{}", 1 + pid / 256 % 250, pid % 256, 10 + index);
    }

    instance_under_test& add_instance(const std::string& store_address) {
        auto it = std::make_unique<instance_under_test>();
        const int index = static_cast<int>(instances_.size());
        it->ip = ip_of(index);
        it->settings = fmt::format("{}/{}.conf", folder_, index);
        it->log = fmt::format("{}/{}.log", folder_, index);
        std::ofstream(it->settings) << fmt::format(
            "zone=z{0}\nlisten.front={1}:8740\nlisten.ready={1}:8749\nlisten.control={1}:8748\n"
            "listen.directory={1}:8746\nseeds={2}:8748\nbounds.grace_s=4\nbounds.ttl_max_s=1\n"
            "bounds.retry_budget_ratio=0.2\nbounds.retry_budget_slack=56\n"
            "bounds.budget_window_s=10\nplatform.address={3}\n",
            index, it->ip, ip_of(0), store_address);
        instances_.push_back(std::move(it));
        start(*instances_.back());
        return *instances_.back();
    }

    static void start(instance_under_test& it) {
        it.running = std::make_unique<process>(
            "bamboostream-gateway", std::vector<std::string>{"--settings-file", it.settings},
            it.log);
    }

    void configure(int version, const std::string& key) {
        store_.write("keyed.op", "config",
                     fmt::format(R"({{"version":{},"routes":[{{"name":"r","host":"h.example",
"path_prefix":"/a/","kind":"non_idempotent","timeout_ms":3000,"slo_ms":300,"service":"s",
"max_attempts":1}}],"services":[{{"name":"s","max_conns":10}}],
"tenants":[{{"name":"desk","api_keys":["{}"]}}]}})",
                                 version, key));
    }

    scripted_backend& add_backend(const std::string& id, backend_script script) {
        backends_.push_back(std::make_unique<scripted_backend>(context_, std::move(script)));
        store_.write("keyed.servers", id,
                     fmt::format(R"({{"service":"s","address":"{}","zone":"z0","slots":6,
"state":"ready","cold_left_ms":0}})",
                                 backends_.back()->address()));
        return *backends_.back();
    }

    scripted_backend& add_sound_backend(const std::string& id) {
        return add_backend(id, [](scripted_connection& c) -> asio::awaitable<void> {
            co_await c.send(fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                                        "Content-Length: 2\r\n\r\nok",
                                        c.field("Attempt-Id")));
        });
    }

    std::shared_ptr<call_result> call(const std::string& address, const http_request& request) {
        auto result = std::make_shared<call_result>();
        asio::co_spawn(
            context_,
            [this, result, address, request]() -> asio::awaitable<void> {
                http_failure why;
                const auto response =
                    co_await fetch(context_.get_executor(), address, request, patience, why);
                result->status = response ? response->status : -1;
                result->body = response ? response->body : why.text;
                result->done = true;
            },
            asio::detached);
        return result;
    }

    std::shared_ptr<call_result> ask(const instance_under_test& it, const std::string& key) {
        http_request request = make_request("GET", "/a/x");
        request.fields = {{"Attempt-Id", random_id()}, {"Authorization", "Bearer " + key}};
        return call_with_host(it.ip + ":8740", request);
    }

    std::shared_ptr<call_result> call_with_host(const std::string& address,
                                                const http_request& request) {
        auto result = std::make_shared<call_result>();
        asio::co_spawn(
            context_,
            [this, result, address, request]() -> asio::awaitable<void> {
                const auto channel = std::make_shared<http_channel>(context_.get_executor());
                http_failure why;
                result->status = -1;
                if (co_await channel->connect(address, patience, why)) {
                    std::string bytes = fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\n",
                                                    request.method, request.path);
                    for (const http_field& field : request.fields) {
                        bytes += fmt::format("{}: {}\r\n", field.name, field.value);
                    }
                    channel->send(bytes + "\r\n", false);
                    if (co_await channel->read_head(why)) {
                        result->status = channel->status();
                        while (co_await channel->read(result->body)) {
                        }
                        result->status = channel->complete() ? result->status : -1;
                    }
                }
                result->done = true;
            },
            asio::detached);
        return result;
    }

    void finish(const std::shared_ptr<call_result>& result) {
        wait_until([&] { return result->done; });
    }

    int status_of(const instance_under_test& it, const std::string& key) {
        const auto result = ask(it, key);
        finish(result);
        return result->status;
    }

    bool wait_until(const std::function<bool()>& condition, milliseconds limit = patience) {
        const time_point until = monotonic_now() + limit;
        while (!condition() && monotonic_now() < until) {
            context_.restart();
            context_.run_for(milliseconds(5));
        }
        return condition();
    }

    bool serves(const instance_under_test& it, const std::string& key,
                milliseconds limit = patience) {
        const time_point until = monotonic_now() + limit;
        while (monotonic_now() < until) {
            if (status_of(it, key) == 200) {
                return true;
            }
            context_.restart();
            context_.run_for(milliseconds(20));
        }
        return false;
    }

    std::string directory_of(const instance_under_test& it) {
        const auto result =
            call(it.ip + ":8746", make_request("GET", "/resolve?name=h.example&zone=z0"));
        finish(result);
        return result->body;
    }

    asio::io_context context_{1};
    standin_store store_;
    std::string folder_;
    std::string good_store_;
    std::vector<std::unique_ptr<scripted_backend>> backends_;
    std::vector<std::unique_ptr<instance_under_test>> instances_;
};

TEST_F(gateway_test, instances_find_each_other_and_serve) {
    configure(1, "k");
    add_sound_backend("i-1");
    auto& a = add_instance(good_store_);
    auto& b = add_instance(good_store_);
    EXPECT_TRUE(serves(a, "k"));
    EXPECT_TRUE(serves(b, "k"));
    EXPECT_EQ(status_of(a, "wrong"), 401);
    EXPECT_TRUE(wait_until([&] {
        const std::string told = directory_of(a);
        return told.find(a.ip) != std::string::npos && told.find(b.ip) != std::string::npos;
    }));
}

/// How the store turns one instance away.
struct manner_row {
    std::string name;
    store_manner manner;
};

class store_turns_away : public gateway_test, public testing::WithParamInterface<manner_row> {};

INSTANTIATE_TEST_SUITE_P(table, store_turns_away,
                         testing::Values(manner_row{"refuses", store_manner::refuses},
                                         manner_row{"is_silent", store_manner::is_silent}),
                         [](const auto& info) { return info.param.name; });

// The store serves one instance and turns the other away. Callers of the other are served all the
// same: it learns the configuration and the backend servers from its peer, also when keys change.
TEST_P(store_turns_away, the_instance_learns_from_its_peer) {
    configure(1, "k1");
    add_sound_backend("i-1");
    const std::string bad_store = store_.add_address();
    store_.set_manner(bad_store, GetParam().manner);
    auto& a = add_instance(good_store_);
    auto& b = add_instance(bad_store);
    EXPECT_TRUE(serves(a, "k1"));
    EXPECT_TRUE(serves(b, "k1"));
    configure(2, "k2");
    EXPECT_TRUE(serves(b, "k2"));
    EXPECT_EQ(status_of(b, "k1"), 401);
}

// The operator's records are deleted and the history with them, while new versions are written. The
// instances notice the gap and read the newest records anew instead of waiting for what is gone.
TEST_F(gateway_test, a_gap_in_the_history_loses_no_configuration) {
    configure(1, "k1");
    add_sound_backend("i-1");
    auto& a = add_instance(good_store_);
    ASSERT_TRUE(serves(a, "k1"));
    store_.set_manner(good_store_, store_manner::refuses);
    wait_until([] { return false; }, milliseconds(1'500));
    configure(2, "k2");
    store_.forget_history("keyed.op");
    store_.forget_history("keyed.servers");
    store_.set_manner(good_store_, store_manner::answers);
    EXPECT_TRUE(serves(a, "k2"));
}

// A graceful shutdown begins while a request is at its backend server. The caller gets the whole
// answer; the instance is not ready and not offered any more, and ends by itself before the kill.
TEST_F(gateway_test, a_shutdown_answers_what_was_read) {
    configure(1, "k");
    add_backend("i-1", [](scripted_connection& c) -> asio::awaitable<void> {
        co_await c.pause(700);
        co_await c.send(fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                                    "Content-Length: 2\r\n\r\nok",
                                    c.field("Attempt-Id")));
    });
    auto& a = add_instance(good_store_);
    auto& b = add_instance(good_store_);
    ASSERT_TRUE(serves(a, "k"));
    ASSERT_TRUE(serves(b, "k"));
    const auto open = ask(b, "k");
    wait_until([] { return false; }, milliseconds(150));
    b.running->signal(SIGTERM);
    wait_until([] { return false; }, milliseconds(100));
    const auto ready = call(b.ip + ":8749", make_request("GET", "/readiness"));
    finish(ready);
    EXPECT_EQ(ready->status, 503);
    finish(open);
    EXPECT_EQ(open->status, 200);
    EXPECT_EQ(open->body, "ok");
    EXPECT_TRUE(wait_until([&] { return directory_of(a).find(b.ip) == std::string::npos; }));
    EXPECT_TRUE(wait_until([&] { return b.running->wait_for_end(milliseconds(0)); }));
    EXPECT_EQ(b.running->exit_code(), 0);
}

// All instances are killed at once, and the store is away when they come back. They say "not run"
// until it returns, and serve soon after.
TEST_F(gateway_test, a_restart_of_all_serves_once_the_store_is_back) {
    configure(1, "k");
    add_sound_backend("i-1");
    auto& a = add_instance(good_store_);
    auto& b = add_instance(good_store_);
    ASSERT_TRUE(serves(a, "k"));
    for (auto* it : {&a, &b}) {
        it->running->signal(SIGKILL);
        it->running->wait_for_end(patience);
    }
    store_.set_manner(good_store_, store_manner::refuses);
    start(a);
    start(b);
    wait_until([&] { return status_of(a, "k") != -1; });
    EXPECT_EQ(status_of(a, "k"), 503);
    store_.set_manner(good_store_, store_manner::answers);
    EXPECT_TRUE(serves(a, "k"));
    EXPECT_TRUE(serves(b, "k"));
}

// A backend server is removed from the store while it still listens. No request reaches it later
// than two seconds after that.
TEST_F(gateway_test, a_removed_backend_server_gets_nothing_new) {
    configure(1, "k");
    scripted_backend& removed = add_sound_backend("i-1");
    auto& a = add_instance(good_store_);
    auto& b = add_instance(good_store_);
    ASSERT_TRUE(serves(a, "k"));
    ASSERT_TRUE(serves(b, "k"));
    add_sound_backend("i-2");
    store_.write("keyed.servers", "i-1", "");
    wait_until([] { return false; }, milliseconds(2'000));
    const std::size_t before = removed.requests().size();
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(status_of(i % 2 == 0 ? a : b, "k"), 200);
    }
    EXPECT_EQ(removed.requests().size(), before);
}

TEST_F(gateway_test, bad_settings_are_all_named_and_end_with_code_two) {
    const std::string settings = folder_ + "/bad.conf";
    const std::string log = folder_ + "/bad.log";
    std::ofstream(settings) << "zone=z\nlisten.front=nonsense\nbounds.grace_s=-1\n";
    process bad("bamboostream-gateway", {"--settings-file", settings}, log);
    ASSERT_TRUE(bad.wait_for_end(patience));
    EXPECT_EQ(bad.exit_code(), 2);
    std::ifstream file(log);
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    for (const char* name : {"listen.front", "bounds.grace_s", "platform.address"}) {
        EXPECT_NE(text.find(name), std::string::npos) << text;
    }
}

} // namespace
} // namespace bamboostream::test
