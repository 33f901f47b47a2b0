// Tests with real gateway processes and servers that name a limit on the requests a second that
// they take from all instances together.

#include "bamboostream/src/Control/async_wait.h"
#include "test/platform/system/gateway_fixture.h"

#include <algorithm>
#include <csignal>
#include <deque>
#include <random>

namespace bamboostream::test {
namespace {

constexpr milliseconds window{4'000};
/// An instance counts from this time after it has passed on an answer that names the limit.
constexpr milliseconds told_delay{500};
/// Windows count that end this long after the limit was named, or later.
constexpr milliseconds contact_time{3'000};
/// How long the limit is named.
constexpr milliseconds limited_time{11'000};
/// After the end of the limit, the server must have its equal share again within this time.
constexpr milliseconds return_bound{3'000};
/// Long enough that chance leaves no server with half of its share.
constexpr milliseconds return_observed{4'000};
constexpr double allowed_factor = 1.5;
constexpr double allowed_slack = 5.0;
constexpr double min_used = 0.8;
constexpr double min_served = 0.95;
constexpr milliseconds max_refusal_time{50};
constexpr int work_ms = 30;

enum class demand_kind : std::uint8_t { spread, one_instance, moving };
enum class fault_kind : std::uint8_t { none, kills, stops, starts };
enum class answer_kind : std::uint8_t { serves_all, rejects_surplus, streams };

struct rate_limit_row {
    std::string name;
    int instances;
    int servers;
    int limited;
    double per_second;
    double requests_per_second;
    demand_kind demand = demand_kind::spread;
    fault_kind fault = fault_kind::none;
    answer_kind answers = answer_kind::serves_all;
    friend void PrintTo(const rate_limit_row& row, std::ostream* out) { *out << row.name; }
};

/// Requests that a server has got, with the instance that sent each.
struct limited_server {
    struct arrival {
        time_point at;
        int instance;
        bool told;
    };
    std::vector<arrival> arrivals;
    /// When the first answer with the limit was sent to each instance.
    std::map<int, time_point> told_at;
    double surplus_tokens = 1.0;
    time_point refilled{};
};

class rate_limit_system : public gateway_test, public testing::WithParamInterface<rate_limit_row> {
public:
    rate_limit_system(const rate_limit_system&) = delete;
    rate_limit_system& operator=(const rate_limit_system&) = delete;

protected:
    rate_limit_system() = default;
    ~rate_limit_system() override {
        stop_ = true;
        wait_until([this] { return open_ == 0; });
    }

    void start_all() {
        const rate_limit_row& row = GetParam();
        configure(1, "k");
        for (int i = 0; i < row.servers; ++i) {
            add_server(i);
        }
        for (int i = 0; i < row.instances; ++i) {
            add_instance(serving_store_);
        }
        for (const auto& it : instances_) {
            ASSERT_TRUE(serves(*it, "k"));
            ASSERT_TRUE(wait_until([&] {
                const std::string known = fetch_directory(*it);
                return std::all_of(instances_.begin(), instances_.end(), [&](const auto& other) {
                    return known.find(other->ip) != std::string::npos;
                });
            }));
        }
    }

    void add_server(int number) {
        servers_.push_back(std::make_unique<limited_server>());
        limited_server* const server = servers_.back().get();
        add_backend(fmt::format("i-{}", number),
                    [this, server, number](scripted_connection& c) -> asio::awaitable<void> {
                        co_await answer(c, *server, number < GetParam().limited);
                    });
    }

    bool is_limited() const { return named_ != time_point{} && monotonic_now() < limit_ends_; }

    asio::awaitable<void> answer(scripted_connection& c, limited_server& server, bool limited) {
        const std::string id = c.field("Attempt-Id");
        const time_point now = monotonic_now();
        const int instance = id.starts_with("x") ? std::stoi(id.substr(1)) : -1;
        const auto told = server.told_at.find(instance);
        const bool counts = told != server.told_at.end() && now >= told->second + told_delay;
        server.arrivals.push_back({now, instance, counts});
        const bool names = limited && is_limited();
        if (names) {
            server.told_at.try_emplace(instance, now + milliseconds(work_ms));
        }
        const std::string field =
            names ? fmt::format("Server-Limit: {}\r\n", GetParam().per_second) : "";
        if (names && GetParam().answers == answer_kind::rejects_surplus && is_surplus(server)) {
            co_await c.send(fmt::format("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {}\r\n"
                                        "Not-Executed: 1\r\n{}Content-Length: 0\r\n\r\n",
                                        id, field));
            co_return;
        }
        co_await c.pause(work_ms);
        const std::string head =
            fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n{}", id, field);
        if (c.request().starts_with("GET /r/")) {
            co_await c.send(head + "Content-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < 3; ++i) {
                const std::string event = fmt::format("id: {}\ndata: v1\n\n", i);
                co_await c.send(fmt::format("{:x}\r\n{}\r\n", event.size(), event));
                co_await c.pause(work_ms);
            }
            co_await c.send("0\r\n\r\n");
            co_return;
        }
        co_await c.send(head + "Content-Length: 2\r\n\r\nok");
    }

    /// Whether the server has no room for the request by its own count, with a burst of two.
    static bool is_surplus(limited_server& server) {
        const time_point now = monotonic_now();
        const double elapsed = to_milliseconds(now - server.refilled) / 1'000.0;
        server.surplus_tokens =
            std::min(2.0, server.surplus_tokens + elapsed * GetParam().per_second);
        server.refilled = now;
        if (server.surplus_tokens < 1.0) {
            return true;
        }
        server.surplus_tokens -= 1.0;
        return false;
    }

    int next_instance() {
        const int count = GetParam().instances;
        if (GetParam().demand == demand_kind::one_instance) {
            return 0;
        }
        if (GetParam().demand == demand_kind::moving) {
            return static_cast<int>((monotonic_now() - began_) / seconds(1)) % count;
        }
        return std::uniform_int_distribution<int>(0, count - 1)(random_);
    }

    asio::awaitable<void> request_loop() {
        ++open_;
        time_point due = monotonic_now();
        while (!stop_) {
            asio::co_spawn(context_, request(next_instance()), asio::detached);
            due += from_milliseconds(1'000.0 / GetParam().requests_per_second);
            co_await pause_for(std::max(duration{}, due - monotonic_now()));
        }
        --open_;
    }

    asio::awaitable<void> request(int instance) {
        ++open_;
        const time_point sent = monotonic_now();
        const auto connection = std::make_shared<http_connection>(context_.get_executor());
        http_failure why;
        int status = 0;
        const bool undisturbed = !disturbed_.contains(instance);
        std::string after;
        if (co_await connection->connect(instances_[static_cast<std::size_t>(instance)]->ip +
                                             ":8740",
                                         milliseconds(1'000), why)) {
            const char* path = GetParam().answers == answer_kind::streams ? "/r/x" : "/a/x";
            connection->send(fmt::format("GET {} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
                                         "x{}-{}\r\nAuthorization: Bearer k\r\n\r\n",
                                         path, instance, random_id()),
                             false);
            connection->expire_at(sent + seconds(4));
            std::string body;
            if (co_await connection->read_head(why)) {
                status = connection->status();
                after = connection->field("Retry-After");
                while (co_await connection->read(body)) {
                }
            }
        }
        if (undisturbed && !disturbed_.contains(instance)) {
            outcomes_.push_back({sent, monotonic_now() - sent, status, !after.empty()});
        }
        --open_;
    }

    void run_until(time_point until) {
        do {
            context_.restart();
            context_.run_for(milliseconds(5));
            const time_point now = monotonic_now();
            while (!actions_.empty() && actions_.front().first <= now) {
                const auto action = std::move(actions_.front().second);
                actions_.pop_front();
                action();
            }
        } while (monotonic_now() < until);
    }

    /// Half of the instances are killed or stopped in turn, one every 1.2 s, for 3 s each.
    void schedule_faults() {
        const fault_kind fault = GetParam().fault;
        for (int n = 0; fault != fault_kind::none && n < GetParam().instances / 2; ++n) {
            const milliseconds from(2'000 + 1'200 * n);
            const auto i = static_cast<std::size_t>(n) * 2;
            actions_.emplace_back(named_ + from, [this, i, fault] {
                disturbed_.insert(static_cast<int>(i));
                instances_[i]->running->signal(fault == fault_kind::stops ? SIGSTOP : SIGKILL);
            });
            actions_.emplace_back(named_ + from + seconds(3), [this, i, fault] {
                if (fault == fault_kind::stops) {
                    instances_[i]->running->signal(SIGCONT);
                } else {
                    instances_[i]->running->wait_for_end(wait_timeout);
                    start(*instances_[i]);
                }
            });
        }
        std::stable_sort(actions_.begin(), actions_.end(),
                         [](const auto& a, const auto& b) { return a.first < b.first; });
    }

    void run() {
        ASSERT_NO_FATAL_FAILURE(start_all());
        began_ = monotonic_now();
        asio::co_spawn(context_, request_loop(), asio::detached);
        run_until(began_ + seconds(1));
        named_ = monotonic_now();
        limit_ends_ = named_ + limited_time;
        schedule_faults();
        run_until(limit_ends_);
        run_until(limit_ends_ + return_bound + return_observed);
        stop_ = true;
        ASSERT_TRUE(wait_until([this] { return open_ == 0; }));
    }

    /// The most requests in a window from instances that had been told for a while.
    static std::size_t max_in_window(const limited_server& server, time_point from, time_point to) {
        std::size_t most = 0;
        for (const auto& last : server.arrivals) {
            if (last.at < from || last.at > to) {
                continue;
            }
            const auto count =
                std::count_if(server.arrivals.begin(), server.arrivals.end(), [&](const auto& it) {
                    return it.told && it.at <= last.at && it.at > last.at - window;
                });
            most = std::max(most, static_cast<std::size_t>(count));
        }
        return most;
    }

    static std::size_t arrived(const limited_server& server, time_point from, time_point to) {
        return static_cast<std::size_t>(
            std::count_if(server.arrivals.begin(), server.arrivals.end(),
                          [&](const auto& it) { return it.at >= from && it.at < to; }));
    }

    struct outcome {
        time_point sent;
        duration took;
        int status;
        bool says_when;
    };
    std::mt19937_64 random_{11};
    std::vector<std::unique_ptr<limited_server>> servers_;
    std::vector<outcome> outcomes_;
    std::deque<std::pair<time_point, std::function<void()>>> actions_;
    /// Instances that a fault has touched.
    std::set<int> disturbed_;
    time_point began_{};
    time_point named_{};
    time_point limit_ends_{};
    int open_ = 0;
    bool stop_ = false;
};

using enum demand_kind;
using enum fault_kind;
using enum answer_kind;

INSTANTIATE_TEST_SUITE_P(
    table, rate_limit_system,
    testing::Values(rate_limit_row{"all_limited", 8, 5, 5, 2.4, 35.0},
                    rate_limit_row{"one_limited", 8, 5, 1, 1.9, 35.0},
                    rate_limit_row{"one_at_half_a_request", 8, 5, 1, 0.5, 35.0},
                    rate_limit_row{"by_one_instance", 8, 5, 5, 2.4, 35.0, one_instance},
                    rate_limit_row{"by_changing_instances", 8, 5, 5, 2.4, 35.0, moving},
                    rate_limit_row{"rejecting", 8, 5, 5, 2.4, 35.0, spread, none, rejects_surplus},
                    rate_limit_row{"streams", 8, 5, 5, 2.4, 35.0, spread, none, streams},
                    rate_limit_row{"two_instances", 2, 5, 5, 2.4, 35.0},
                    rate_limit_row{"instances_killed", 8, 5, 5, 2.4, 35.0, spread, kills},
                    rate_limit_row{"instances_stopped", 8, 5, 5, 2.4, 35.0, spread, stops}),
    [](const auto& info) { return info.param.name; });

// Guards against instances that each send a server what it takes from all of them together.
TEST_P(rate_limit_system, is_kept_and_used) {
    run();
    const rate_limit_row& row = GetParam();
    const auto allowed = static_cast<std::size_t>(
        row.per_second * to_milliseconds(window) / 1'000.0 * allowed_factor + allowed_slack);
    double used = 0.0;
    for (int i = 0; i < row.limited; ++i) {
        const limited_server& server = *servers_[static_cast<std::size_t>(i)];
        EXPECT_LE(max_in_window(server, named_ + contact_time, limit_ends_), allowed) << i;
        used += static_cast<double>(arrived(server, named_ + contact_time, limit_ends_));
    }
    const double limited_s = to_milliseconds(limited_time - contact_time) / 1'000.0;
    const double share = used / (row.per_second * limited_s * row.limited);
    fmt::print("used {:.2f} of what the limits allow\n", share);
    EXPECT_GE(share, min_used);
    std::size_t asked = 0;
    std::size_t served = 0;
    std::vector<duration> refusals;
    for (const outcome& it : outcomes_) {
        if (it.sent < named_ + told_delay || it.sent > limit_ends_) {
            continue;
        }
        ++asked;
        served += it.status == 200 ? 1 : 0;
        if (it.status == 503) {
            refusals.push_back(it.took);
            EXPECT_TRUE(it.says_when);
        }
        EXPECT_TRUE(it.status == 200 || it.status == 503) << it.status;
    }
    fmt::print("served {} of {}, refused {}\n", served, asked, refusals.size());
    if (row.limited < row.servers) {
        EXPECT_GE(static_cast<double>(served), min_served * static_cast<double>(asked));
    }
    if (!refusals.empty()) {
        std::sort(refusals.begin(), refusals.end());
        EXPECT_LE(refusals[refusals.size() / 2], max_refusal_time);
    }
    const time_point back = limit_ends_ + return_bound;
    const double equal_share =
        row.requests_per_second * to_milliseconds(return_observed) / 1'000.0 / row.servers;
    for (int i = 0; i < row.limited; ++i) {
        const auto got =
            arrived(*servers_[static_cast<std::size_t>(i)], back, back + return_observed);
        EXPECT_GE(static_cast<double>(got), equal_share / 2.0) << i;
    }
}

} // namespace
} // namespace bamboostream::test
