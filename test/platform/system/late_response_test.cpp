// Tests with real gateway processes and servers that send responses which belong to no request, or
// to an earlier one, where the response to the next request on a connection is due.

#include "bamboostream/src/Control/async_wait.h"
#include "test/platform/system/gateway_fixture.h"

#include <algorithm>
#include <map>
#include <random>

namespace bamboostream::test {
namespace {

constexpr int instance_count = 2;
constexpr int server_count = 2;
constexpr int caller_count = 10;
/// A server refuses the requests beyond these.
constexpr int slots = 2;
constexpr int work_ms = 40;
/// Each caller has one order at a time and begins them at this interval: three quarters of what the
/// servers can do in all.
constexpr milliseconds order_interval{133};
constexpr milliseconds caller_pause{30};
constexpr milliseconds run_time{6'000};
/// Every server must still get requests in this last part of the run.
constexpr milliseconds last_part{1'500};
/// Part of the orders of the schedule that must be begun, and so the one before be served.
constexpr double min_served = 0.8;
/// Part of the responses that are followed by another one.
constexpr double surplus_share = 0.2;
constexpr int max_delay_ms = 30;
constexpr int min_surplus = 20;

constexpr std::string_view busy = "503 Service Unavailable";

enum class follows : std::uint8_t { any_response, refusals };
using enum follows;

struct late_response_row {
    std::string name;
    follows behind;
    /// The head that is sent behind a response, without a body; empty for a copy of the response.
    std::string surplus = {};
    /// Whether it is sent together with that response, or a while later.
    bool together = false;
    friend void PrintTo(const late_response_row& row, std::ostream* out) { *out << row.name; }
};

std::string head_of(std::string_view status, std::string_view fields) {
    return fmt::format("HTTP/1.1 {}\r\n{}Content-Length: 0\r\n\r\n", status, fields);
}

class late_response_system : public gateway_test,
                             public testing::WithParamInterface<late_response_row> {
public:
    late_response_system(const late_response_system&) = delete;
    late_response_system& operator=(const late_response_system&) = delete;

protected:
    late_response_system() = default;
    ~late_response_system() override {
        stop_ = true;
        wait_until([this] { return open_ == 0; });
    }

    void start_all() {
        store_.write("keyed.op", "config",
                     R"({"version":1,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/",
"kind":"non_idempotent","timeout_ms":3000,"slo_ms":300,"service":"s","max_attempts":2}],
"services":[{"name":"s","max_conns":100}],"tenants":[{"name":"desk","api_keys":["k"]}]})");
        for (int i = 0; i < server_count; ++i) {
            add_backend(server_id(i), [this, i](scripted_connection& c) -> asio::awaitable<void> {
                co_await answer(c, servers_.at(static_cast<std::size_t>(i)));
            });
        }
        for (int i = 0; i < instance_count; ++i) {
            add_instance(serving_store_);
        }
        for (const auto& it : instances_) {
            ASSERT_TRUE(serves(*it, "k"));
            for (int i = 0; i < server_count; ++i) {
                ASSERT_TRUE(wait_until(
                    [&] { return has_logged(*it, "backend_joined", "backend=" + server_id(i)); }));
            }
        }
    }

    static std::string server_id(int i) { return fmt::format("i-{}", i); }

    struct server {
        int running = 0;
        /// When it began to work on each request.
        std::vector<time_point> runs;
    };

    asio::awaitable<void> answer(scripted_connection& c, server& server) {
        const std::string id = c.field("Attempt-Id");
        const bool refuses = server.running >= slots;
        std::string response;
        if (refuses) {
            response = head_of(busy, fmt::format("Attempt-Id: {}\r\nNot-Executed: 1\r\n", id));
        } else {
            ++server.running;
            ++runs_[id];
            server.runs.push_back(monotonic_now());
            co_await c.pause(work_ms);
            --server.running;
            response = fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n"
                                   "Content-Length: 2\r\n\r\nok",
                                   id);
        }
        const late_response_row& row = GetParam();
        const bool has_surplus = began_ != time_point{} &&
                                 (refuses || row.behind == any_response) &&
                                 std::bernoulli_distribution(surplus_share)(random_);
        if (!has_surplus) {
            co_await c.send(response);
            co_return;
        }
        ++surplus_sent_;
        const std::string surplus = row.surplus.empty() ? response : row.surplus;
        if (row.together) {
            co_await c.send(response + surplus);
            co_return;
        }
        co_await c.send(response);
        // The next request on this connection arrives meanwhile and isn't read yet.
        co_await c.pause(std::uniform_int_distribution(1, max_delay_ms)(random_));
        co_await c.send(surplus);
    }

    /// Sends one order after the other on kept connections, each until it is served.
    asio::awaitable<void> caller(int number) {
        ++open_;
        const std::string address =
            instances_[static_cast<std::size_t>(number % instance_count)]->ip + ":8740";
        std::shared_ptr<http_connection> connection;
        time_point due = began_;
        while (!stop_) {
            const bool is_served = co_await request(address, connection);
            duration pause = caller_pause;
            if (is_served) {
                ++served_;
                due += order_interval;
                pause = std::max(duration{}, due - monotonic_now());
            }
            co_await pause_for(pause);
        }
        --open_;
    }

    asio::awaitable<bool> request(const std::string& address,
                                  std::shared_ptr<http_connection>& connection) {
        http_failure why;
        const std::string id = fmt::format("a{}", ++last_request_);
        if (!connection) {
            connection = std::make_shared<http_connection>(context_.get_executor());
            const bool connected = co_await connection->connect(address, wait_timeout, why);
            if (!connected) {
                connection = nullptr;
                co_return false;
            }
        }
        connection->send(fmt::format("POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {}\r\n"
                                     "Authorization: Bearer k\r\nContent-Length: 5\r\n\r\norder",
                                     id),
                         false);
        connection->expire_at(monotonic_now() + wait_timeout);
        const bool responded = co_await connection->read_head(why);
        std::string body;
        bool more = responded;
        while (more) {
            more = co_await connection->read(body);
        }
        const int status = responded && connection->complete() ? connection->status() : -1;
        answers_[id] = status;
        if (!connection->reusable()) {
            connection = nullptr;
        }
        co_return status == 200;
    }

    void run() {
        ASSERT_NO_FATAL_FAILURE(start_all());
        began_ = monotonic_now();
        for (int i = 0; i < caller_count; ++i) {
            asio::co_spawn(context_, caller(i), asio::detached);
        }
        wait_until([this] { return monotonic_now() >= began_ + run_time; }, 2 * run_time);
        ended_ = monotonic_now();
        stop_ = true;
        ASSERT_TRUE(wait_until([this] { return open_ == 0; }));
        // A request that was refused could still wait in a socket.
        wait_until([this] { return monotonic_now() >= ended_ + milliseconds(500); });
    }

    std::mt19937_64 random_{7};
    std::array<server, server_count> servers_;
    /// How often each request has run.
    std::map<std::string, int> runs_;
    /// The status of each request; -1 without a complete response.
    std::map<std::string, int> answers_;
    time_point began_{};
    time_point ended_{};
    int last_request_ = 0;
    int served_ = 0;
    int surplus_sent_ = 0;
    int open_ = 0;
    bool stop_ = false;
};

INSTANTIATE_TEST_SUITE_P(
    table, late_response_system,
    testing::Values(late_response_row{"copy_of_a_refusal", refusals},
                    late_response_row{"refusal_without_id", any_response,
                                      head_of(busy, "Not-Executed: 1\r\n")},
                    late_response_row{"refusal_with_empty_id", any_response,
                                      head_of(busy, "Attempt-Id: \r\nNot-Executed: 1\r\n")},
                    late_response_row{"misdirected_without_id", any_response,
                                      head_of("421 Misdirected Request", "")},
                    late_response_row{"copy_with_the_refusal", refusals, "", true}),
    [](const auto& info) { return info.param.name; });

// Guards against requests that are refused, or sent to another server, though a server has run
// them, because a response that isn't theirs was believed.
TEST_P(late_response_system, is_never_believed) {
    run();
    int refused = 0;
    for (const auto& [id, status] : answers_) {
        refused += status == 503 ? 1 : 0;
        EXPECT_TRUE(status == 200 || status == 503) << id << ": " << status;
        const auto found = runs_.find(id);
        const int runs = found == runs_.end() ? 0 : found->second;
        EXPECT_LE(runs, 1) << id << " ran twice, answered " << status;
        EXPECT_TRUE(status == 200 || runs == 0) << id << " ran, answered " << status;
    }
    const double orders =
        caller_count * to_milliseconds(run_time) / to_milliseconds(order_interval);
    fmt::print("served {} of {:.0f} orders, refused {}, {} responses with surplus\n", served_,
               orders, refused, surplus_sent_);
    EXPECT_GE(served_, min_served * orders);
    EXPECT_GE(surplus_sent_, min_surplus);
    int late = 0;
    for (const auto& instance : instances_) {
        late += has_logged(*instance, "late_response", "names=") ? 1 : 0;
        for (int i = 0; i < server_count; ++i) {
            EXPECT_FALSE(has_logged(*instance, "backend_leaving", "backend=" + server_id(i)));
        }
    }
    EXPECT_TRUE(late > 0 || GetParam().together);
    const double equal_share =
        orders * to_milliseconds(last_part) / to_milliseconds(run_time) / server_count;
    for (const server& it : servers_) {
        const auto runs = std::count_if(it.runs.begin(), it.runs.end(),
                                        [this](time_point at) { return at >= ended_ - last_part; });
        EXPECT_GE(static_cast<double>(runs), equal_share / 2.0);
    }
}

} // namespace
} // namespace bamboostream::test
