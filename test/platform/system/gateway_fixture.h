#pragma once

#include "test/platform/scripted_backend.h"
#include "test/platform/standin_store.h"
#include "test/system/cluster.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace bamboostream::test {

namespace asio = boost::asio;

/// Upper limit of a wait, generous enough for a loaded machine; every wait ends as soon as its
/// condition holds.
inline constexpr milliseconds wait_timeout{6'000};

/// A gateway process with its address, settings file and log file.
struct instance_under_test {
    std::unique_ptr<process> running;
    std::string ip;
    std::string settings;
    std::string log;
};

/// Outcome of one call to an instance. `status` is -1 when no complete answer arrived.
struct call_result {
    bool done = false;
    int status = 0;
    std::string body;
};

/// Runs real gateway processes against a fake store and scripted backend servers.
class gateway_test : public testing::Test {
public:
    gateway_test(const gateway_test&) = delete;
    gateway_test& operator=(const gateway_test&) = delete;

protected:
    gateway_test() : store_(context_) {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "bamboostream-XXXXXX").string();
        folder_ = mkdtemp(pattern.data());
        serving_store_ = store_.add_address();
    }

    ~gateway_test() override {
        if (!HasFailure()) {
            std::filesystem::remove_all(folder_);
        } else {
            fmt::print("logs in {}\n", folder_);
        }
    }

    // The ports are fixed, so each test process uses its own loopback addresses.
    std::string ip_of(int index) const {
        const int pid = getpid();
        return fmt::format("127.{}.{}.{}", 1 + pid / 256 % 250, pid % 256, 10 + index);
    }

    /// The failure domain of the instance with this index.
    virtual std::string failure_domain_of(int index) const { return fmt::format("z{}", index); }

    instance_under_test& add_instance(const std::string& store_address) {
        auto it = std::make_unique<instance_under_test>();
        const int index = static_cast<int>(instances_.size());
        it->ip = ip_of(index);
        it->settings = fmt::format("{}/{}.conf", folder_, index);
        it->log = fmt::format("{}/{}.log", folder_, index);
        write_settings(*it, index, store_address);
        instances_.push_back(std::move(it));
        start(*instances_.back());
        return *instances_.back();
    }

    void write_settings(const instance_under_test& it, int index,
                        const std::string& store_address) const {
        std::ofstream(it.settings) << fmt::format(
            "zone={0}\nlisten.front={1}:8740\nlisten.ready={1}:8749\nlisten.control={1}:8748\n"
            "listen.directory={1}:8746\nseeds={2}:8748\nbounds.grace_s=4\nbounds.ttl_max_s=1\n"
            "bounds.retry_budget_ratio=0.2\nbounds.retry_budget_slack=56\n"
            "bounds.budget_window_s=10\nplatform.address={3}\n",
            failure_domain_of(index), it.ip, ip_of(0), store_address);
    }

    static void start(instance_under_test& it) {
        it.running = std::make_unique<process>(
            "bamboostream-gateway",
            std::vector<std::string>{"--settings-file", it.settings, "--outbound-address", it.ip},
            it.log);
    }

    /// Writes a configuration whose only tenant has the API key `key`. `more_routes` adds routes of
    /// other customers that receive no calls; the last of them differs in each version.
    void configure(int version, const std::string& key, int more_routes = 0) {
        std::string more;
        for (int i = 0; i < more_routes; ++i) {
            more += fmt::format(R"({{"name":"r-{0}","host":"{0}.example","path_prefix":"/{0}/",)"
                                R"("kind":"idempotent","timeout_ms":3000,"slo_ms":300,)"
                                R"("service":"s","max_attempts":1}},)",
                                i + 1 < more_routes ? i : more_routes + version);
        }
        store_.write("keyed.op", "config",
                     fmt::format(R"({{"version":{},"routes":[{}{{"name":"r","host":"h.example",
"path_prefix":"/a/","kind":"non_idempotent","timeout_ms":3000,"slo_ms":300,"service":"s",
"max_attempts":1}},{{"name":"sent_twice","host":"h.example","path_prefix":"/b/",
"kind":"non_idempotent","timeout_ms":3000,"slo_ms":300,"service":"s","max_attempts":2}},
{{"name":"stream","host":"h.example","path_prefix":"/s/","kind":"streaming",
"timeout_ms":3000,"slo_ms":300,"gap_slo_ms":180,"service":"s","max_attempts":1}},{{"name":"label",
"host":"h.example","path_prefix":"/r/","kind":"streaming","resumable":true,"timeout_ms":3000,
"slo_ms":300,"gap_slo_ms":180,"service":"s","max_attempts":2}},{{"name":"slow","host":"h.example",
"path_prefix":"/l/","kind":"non_idempotent","timeout_ms":30000,"slo_ms":300,"service":"s",
"max_attempts":1}}],"services":[{{"name":"s","max_conns":10}}],
"tenants":[{{"name":"desk","api_keys":["{}"]}}]}})",
                                 version, more, key));
    }

    scripted_backend& add_backend(const std::string& id, backend_script script) {
        backends_.push_back(std::make_unique<scripted_backend>(context_, std::move(script)));
        store_.write("keyed.servers", id,
                     fmt::format(R"({{"service":"s","address":"{}","zone":"z0","version":"v1",
"slots":6,"state":"ready","cold_left_ms":0,"sequence":1,"born":1}})",
                                 backends_.back()->address()));
        return *backends_.back();
    }

    scripted_backend& add_valid_backend(const std::string& id) {
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
                    co_await fetch(context_.get_executor(), address, request, wait_timeout, why);
                result->status = response ? response->status : -1;
                result->body = response ? response->body : why.text;
                result->done = true;
            },
            asio::detached);
        return result;
    }

    std::shared_ptr<call_result> send_request(const instance_under_test& it, const std::string& key,
                                              const std::string& path = "/a/x",
                                              const std::string& id = random_id()) {
        http_request request = make_request("GET", path);
        request.fields = {{"Attempt-Id", id}, {"Authorization", "Bearer " + key}};
        return call_with_host(it.ip + ":8740", request);
    }

    std::shared_ptr<call_result> call_with_host(const std::string& address,
                                                const http_request& request) {
        auto result = std::make_shared<call_result>();
        asio::co_spawn(
            context_,
            [this, result, address, request]() -> asio::awaitable<void> {
                const auto connection = std::make_shared<http_connection>(context_.get_executor());
                http_failure why;
                result->status = -1;
                if (co_await connection->connect(address, wait_timeout, why)) {
                    std::string bytes = fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\n",
                                                    request.method, request.path);
                    for (const http_field& field : request.fields) {
                        bytes += fmt::format("{}: {}\r\n", field.name, field.value);
                    }
                    connection->send(bytes + "\r\n", false);
                    if (co_await connection->read_head(why)) {
                        result->status = connection->status();
                        while (co_await connection->read(result->body)) {
                        }
                        result->status = connection->complete() ? result->status : -1;
                    }
                }
                result->done = true;
            },
            asio::detached);
        return result;
    }

    void wait_until_done(const std::shared_ptr<call_result>& result) {
        wait_until([&] { return result->done; });
    }

    int status_of(const instance_under_test& it, const std::string& key) {
        const auto result = send_request(it, key);
        wait_until_done(result);
        return result->status;
    }

    bool wait_until(const std::function<bool()>& condition, milliseconds limit = wait_timeout) {
        const time_point until = monotonic_now() + limit;
        while (!condition() && monotonic_now() < until) {
            context_.restart();
            context_.run_for(milliseconds(5));
        }
        return condition();
    }

    bool serves(const instance_under_test& it, const std::string& key,
                milliseconds limit = wait_timeout) {
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

    /// Whether the instance's log has a line that contains both `event` and `detail`.
    static bool has_logged(const instance_under_test& it, std::string_view event,
                           std::string_view detail) {
        std::ifstream log(it.log);
        std::string line;
        while (std::getline(log, line)) {
            if (line.find(event) != std::string::npos && line.find(detail) != std::string::npos) {
                return true;
            }
        }
        return false;
    }

    std::string fetch_directory(const instance_under_test& it) {
        const auto result =
            call(it.ip + ":8746", make_request("GET", "/resolve?name=h.example&zone=z0"));
        wait_until_done(result);
        return result->body;
    }

    asio::io_context context_{1};
    standin_store store_;
    std::string folder_;
    std::string serving_store_;
    std::vector<std::unique_ptr<scripted_backend>> backends_;
    std::vector<std::unique_ptr<instance_under_test>> instances_;
};

} // namespace bamboostream::test
