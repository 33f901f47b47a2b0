// Real gateway processes under series of overlapping faults from outside, with callers that never
// stop. Which seeds run, and for how long: SOAK_SEEDS (for instance "1-50" or "7") and
// SOAK_SECONDS; without them one short seeded run.

#include "bamboostream/src/Control/async_wait.h"
#include "test/platform/soak_audit.h"
#include "test/platform/soak_plan.h"
#include "test/platform/system/gateway_fixture.h"
#include "test/platform/system/soak_requests.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <random>

namespace bamboostream::test {
namespace {

constexpr int instance_count = 4;
constexpr int caller_count = 12;
/// The operator's configurations hold so many routes of others.
constexpr int customers_routes = 1'500;
/// The bound of the deployments. The design promises 1.2 s; the rest is for a busy machine.
constexpr milliseconds leaving_bound{2'000};
/// Long enough that instances which the store turns away cannot wait for its return.
constexpr milliseconds shortest_half_outage{4'000};
/// A server leaves so long after the store has fallen silent, when all reads are under way.
constexpr milliseconds leaves_after{200};
/// The grace of these instances and a little more.
constexpr milliseconds restart_after_term{5'000};
/// An instance that was left alone for so long is in touch with the others.
constexpr milliseconds contact_time{3'000};
constexpr milliseconds harmful_pause{150};
constexpr int harmful_callers = 2;
constexpr const char* harmful_prefix = "/a/harmful-";
constexpr milliseconds entry_outlives_server{2'000};
constexpr milliseconds next_server_after{600};
/// After the last fault everything must serve again.
constexpr milliseconds recovery_bound{12'000};

/// A backend server and the proxy that stands before it.
struct soak_server {
    std::string id;
    scripted_backend* backend = nullptr;
    std::unique_ptr<process> proxy;
    std::string proxied;
    std::string control;
    bool listed = false;
    std::optional<time_point> left;
};

std::vector<std::uint64_t> seeds() {
    const char* text = std::getenv("SOAK_SEEDS");
    const std::string range = text ? text : "1";
    const std::size_t dash = range.find('-');
    const std::uint64_t first = std::stoull(range);
    const std::uint64_t last =
        dash == std::string::npos ? first : std::stoull(range.substr(dash + 1));
    std::vector<std::uint64_t> out;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        out.push_back(seed);
    }
    return out;
}

milliseconds length() {
    const char* text = std::getenv("SOAK_SECONDS");
    return seconds(text ? std::stoi(text) : 6);
}

class soak_test : public gateway_test, public testing::WithParamInterface<std::uint64_t> {
public:
    soak_test(const soak_test&) = delete;
    soak_test& operator=(const soak_test&) = delete;

protected:
    soak_test() = default;
    ~soak_test() override { stop_callers(); }

    void play() {
        const auto plan = make_soak_plan(GetParam(), length());
        fmt::print("seed {}\n{}", GetParam(), print(plan));
        configure(version_, "k", customers_routes);
        for (int i = 0; i < 3; ++i) {
            add_server();
        }
        for (int i = 0; i < instance_count; ++i) {
            stores_.push_back(store_.add_address());
            add_instance(stores_.back());
            ending_.push_back(false);
        }
        ASSERT_TRUE(serves(*instances_.front(), "k"));
        for (int i = 0; i < caller_count; ++i) {
            asio::co_spawn(context_, call_on(i), asio::detached);
        }
        const time_point began = monotonic_now();
        for (const soak_step& step : plan) {
            run_until(began + step.at);
            begin(step);
        }
        run_until(began + length());
        stop_harm();
        end_all();
        expect_recovery();
        stop_callers();
        fmt::print("answered {} refused {} unknown {}\n", audit_.answered(), audit_.refused(),
                   audit_.unknown());
        EXPECT_GT(audit_.answered(), 20u);
        EXPECT_TRUE(audit_.violations().empty()) << audit_.violations().front();
    }

private:
    struct pending_end {
        time_point at;
        std::function<void()> run;
    };

    void run_until(time_point until) {
        do {
            context_.restart();
            context_.run_for(milliseconds(5));
            watch_processes();
            const time_point now = monotonic_now();
            while (!ends_.empty() && ends_.front().at <= now) {
                const auto end = std::move(ends_.front().run);
                ends_.pop_front();
                end();
            }
        } while (monotonic_now() < until);
    }

    void later(milliseconds after, std::function<void()> run) {
        const time_point at = monotonic_now() + after;
        const auto place =
            std::upper_bound(ends_.begin(), ends_.end(), at,
                             [](time_point t, const pending_end& end) { return t < end.at; });
        ends_.insert(place, {at, std::move(run)});
    }

    void watch_processes() {
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            process& running = *instances_[i]->running;
            if (!running.ended() && running.wait_for_end(milliseconds(0)) && !ending_[i]) {
                audit_.ended_by_itself(instances_[i]->ip, running.exit_code());
            }
        }
    }

    void restart(std::size_t i) {
        instances_[i]->running->wait_for_end(patience);
        start(*instances_[i]);
        ending_[i] = false;
        disturbed_until_[i] = monotonic_now();
    }

    void begin(const soak_step& step) {
        const std::size_t i = step.target % instances_.size();
        soak_server& server = *servers_[step.target % servers_.size()];
        const bool disturbs_hearing = step.fault <= soak_fault::pause;
        if (disturbs_hearing) {
            disturbed_until_[i] = std::max(disturbed_until_[i], monotonic_now() + step.lasts);
            excuse_until(monotonic_now() + std::max(step.lasts, restart_after_term));
        }
        switch (step.fault) {
        case soak_fault::kill:
            end_instance(i, SIGKILL, step.lasts);
            break;
        case soak_fault::terminate:
            end_instance(i, SIGTERM, restart_after_term);
            break;
        case soak_fault::pause:
            instances_[i]->running->signal(SIGSTOP);
            later(step.lasts, [this, i] { instances_[i]->running->signal(SIGCONT); });
            break;
        case soak_fault::store_refuses:
        case soak_fault::store_is_silent:
            turn_away(i, step.lasts,
                      step.fault == soak_fault::store_refuses ? store_manner::refuses
                                                              : store_manner::is_silent);
            break;
        case soak_fault::store_is_silent_to_half:
            turn_half_away(i, step.lasts + shortest_half_outage);
            later(leaves_after, [this, &server] { leave(server, "draining"); });
            break;
        case soak_fault::store_forgets:
            store_.forget_history("keyed.op");
            store_.forget_history("keyed.servers");
            break;
        case soak_fault::configuration:
            configure(++version_, "k", customers_routes);
            break;
        case soak_fault::harmful_request:
            for (int n = 0; n < harmful_callers; ++n) {
                asio::co_spawn(context_,
                               send_harmful(fmt::format("{}{}", harmful_prefix, step.at.count())),
                               asio::detached);
            }
            break;
        case soak_fault::server_leaves:
            leave(server, "draining");
            break;
        case soak_fault::server_removed:
            leave(server, "");
            break;
        case soak_fault::server_joins:
            add_server();
            break;
        case soak_fault::link_stalls:
            disturb(server, R"({"stalled":1})", R"({"stalled":0})", step.lasts);
            break;
        case soak_fault::link_cut:
            disturb(server, R"({"cut":1})", "", step.lasts);
            break;
        case soak_fault::link_loses_answers:
            disturb(server, R"({"lose_answers":1})", R"({"lose_answers":0})", step.lasts);
            break;
        case soak_fault::link_refuses:
            disturb(server, R"({"refuse":1})", R"({"refuse":0})", step.lasts);
            break;
        case soak_fault::count_:
            break;
        }
    }

    void end_instance(std::size_t i, int signal, milliseconds after) {
        if (ending_[i]) {
            return;
        }
        ending_[i] = true;
        instances_[i]->running->signal(SIGCONT);
        instances_[i]->running->signal(signal);
        later(after, [this, i] { restart(i); });
    }

    void disturb(const soak_server& server, const std::string& fault, const std::string& mend,
                 milliseconds lasts) {
        tell(server, fault);
        if (!mend.empty()) {
            later(lasts, [this, &server, mend] { tell(server, mend); });
        }
    }

    /// The port of a proxy that has ended may be another's by now.
    void tell(const soak_server& server, const std::string& command) {
        if (server.listed) {
            call(server.control, make_request("POST", "/control", command));
        }
    }

    void excuse_until(time_point end) {
        hearing_disturbed_until_ = std::max(hearing_disturbed_until_, end);
    }

    /// The store turns one instance away. While it serves another one, all must still hear what
    /// servers say in time, so that alone excuses nobody.
    void turn_away(std::size_t i, milliseconds lasts, store_manner manner) {
        const time_point now = monotonic_now();
        store_.set_manner(stores_[i], manner);
        turned_away_until_[i] = std::max(turned_away_until_[i], now + lasts);
        later(lasts, [this, i] {
            if (monotonic_now() >= turned_away_until_[i]) {
                store_.set_manner(stores_[i], store_manner::answers);
            }
        });
        const time_point first_served =
            *std::min_element(turned_away_until_.begin(), turned_away_until_.end());
        if (first_served > now) {
            excuse_until(first_served + restart_after_term);
        }
    }

    /// Half of the instances hear nothing from the store; both that read for all may be among them.
    void turn_half_away(std::size_t first, milliseconds lasts) {
        for (std::size_t n = 0; n < instances_.size() / 2; ++n) {
            turn_away((first + n) % instances_.size(), lasts, store_manner::is_silent);
        }
    }

    /// An empty state removes the entry.
    void leave(soak_server& server, const std::string& state) {
        const auto listed = std::count_if(servers_.begin(), servers_.end(),
                                          [](const auto& s) { return s->listed && !s->left; });
        if (listed < 2 || server.left) {
            return;
        }
        if (state.empty()) {
            store_.write("keyed.servers", server.id, "");
        } else {
            write_entry(server, state);
        }
        server.left = monotonic_now();
    }

    void write_entry(const soak_server& server, const std::string& state) {
        store_.write(
            "keyed.servers", server.id,
            fmt::format(R"({{"service":"s","address":"{}","zone":"z0","version":"v1","slots":6,
"state":"{}","cold_left_ms":0,"sequence":1,"born":1}})",
                        server.proxied, state));
    }

    void add_server() {
        auto server = std::make_unique<soak_server>();
        soak_server* raw = server.get();
        server->id = fmt::format("i-{}", servers_.size());
        backends_.push_back(std::make_unique<scripted_backend>(
            context_, [this, raw](scripted_connection& c) { return serve(c, *raw); }));
        server->backend = backends_.back().get();
        const std::string file = fmt::format("{}/proxy-{}", folder_, servers_.size());
        server->proxy = std::make_unique<process>(
            "fault-proxy",
            std::vector<std::string>{"--target", server->backend->address(), "--announce-file",
                                     file, "--proxy-announce-file", file + ".proxied"},
            file + ".log");
        server->control = announced(file);
        server->proxied = announced(file + ".proxied");
        write_entry(*server, "ready");
        server->listed = true;
        servers_.push_back(std::move(server));
    }

    std::string announced(const std::string& file) {
        std::string line;
        wait_until([&] {
            std::ifstream input(file);
            return std::getline(input, line) && !line.empty();
        });
        return line;
    }

    bool must_be_known_to_leave(const soak_server& server) const {
        if (!server.left) {
            return false;
        }
        const time_point heard_from = std::max(*server.left, hearing_disturbed_until_);
        return monotonic_now() - heard_from > leaving_bound;
    }

    /// Answers with the request's id, or streams events; now and then it says "not run", breaks off
    /// or answers for another request.
    asio::awaitable<void> serve(scripted_connection& c, soak_server& server) {
        const std::string id = c.field("Attempt-Id");
        if (must_be_known_to_leave(server)) {
            audit_.sent_to_left_server(id, server.id);
        }
        const unsigned luck = std::uniform_int_distribution<unsigned>(0, 99)(random_);
        if (luck < 4) {
            co_await c.send(fmt::format("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {}\r\n"
                                        "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                                        id));
            co_return;
        }
        audit_.ran(id, server.id);
        co_await c.pause(static_cast<int>(luck % 30));
        if (c.request().find(harmful_prefix) != std::string::npos) {
            audit_.ended_a_server(path_of(c.request()), monotonic_now(), is_in_touch(sent_by_[id]));
            end_server(server);
            co_return;
        }
        if (luck < 8) {
            c.reset();
            co_return;
        }
        const std::string head = fmt::format(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n", luck < 12 ? "other" : id);
        if (c.request().starts_with("GET /s/")) {
            co_await c.send(head + "Content-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < events_a_stream; ++i) {
                const std::string event = fmt::format("id: {0}\ndata: {0}\n\n", i);
                co_await c.send(fmt::format("{:x}\r\n{}\r\n", event.size(), event));
                co_await c.pause(10);
            }
            co_await c.send("0\r\n\r\n");
            co_return;
        }
        co_await c.send(fmt::format("{}Content-Length: {}\r\n\r\n{}", head, id.size(), id));
    }

    /// A caller that keeps its connection until the process behind it is gone.
    asio::awaitable<void> call_on(int caller) {
        std::shared_ptr<http_connection> connection;
        std::size_t at = static_cast<std::size_t>(caller);
        ++callers_;
        while (!stop_) {
            if (!connection || !connection->reusable()) {
                connection = std::make_shared<http_connection>(context_.get_executor());
                http_failure why;
                at = (at + 1) % instances_.size();
                if (!co_await connection->connect(instances_[at]->ip + ":8740", milliseconds(500),
                                                  why)) {
                    connection.reset();
                    co_await pause_for(milliseconds(20));
                    continue;
                }
            }
            const bool stream = caller % 3 == 0;
            soak_request request{random_id(), stream ? "/s/x" : "/a/x", stream};
            co_await send_audited(*connection, audit_, std::move(request));
            co_await pause_for(milliseconds(5));
        }
        --callers_;
    }

    /// Sends a request that ends the server which runs it, again and again, at any instance.
    asio::awaitable<void> send_harmful(std::string path) {
        ++harmful_senders_;
        while (!harm_is_over_) {
            const std::size_t at =
                std::uniform_int_distribution<std::size_t>(0, instances_.size() - 1)(random_);
            http_connection connection(context_.get_executor());
            http_failure why;
            if (co_await connection.connect(instances_[at]->ip + ":8740", milliseconds(500), why)) {
                soak_request request{random_id(), path, false};
                sent_by_[request.id] = at;
                co_await send_audited(connection, audit_, std::move(request));
                connection.close();
            }
            co_await pause_for(harmful_pause);
        }
        --harmful_senders_;
    }

    /// Its connections break and new ones are refused; its entry goes later, and another server
    /// comes.
    void end_server(soak_server& server) {
        if (!server.listed || server.left) {
            return;
        }
        server.listed = false;
        server.proxy->signal(SIGKILL);
        server.backend->end_process();
        later(entry_outlives_server,
              [this, id = server.id] { store_.write("keyed.servers", id, ""); });
        later(next_server_after, [this] { add_server(); });
    }

    /// Whether an instance has had nothing done to it for so long that it must know what the others
    /// know.
    bool is_in_touch(std::size_t i) const {
        return !ending_[i] && monotonic_now() >= disturbed_until_[i] + contact_time;
    }

    /// Servers that end while the instances recover would not be replaced.
    void stop_harm() {
        harm_is_over_ = true;
        while (harmful_senders_ > 0) {
            run_until(monotonic_now() + harmful_pause);
        }
    }

    void end_all() {
        while (!ends_.empty()) {
            run_until(ends_.front().at);
        }
    }

    void expect_recovery() {
        for (const auto& it : instances_) {
            if (!serves(*it, "k", recovery_bound)) {
                audit_.not_recovered(it->ip, std::to_string(status_of(*it, "k")));
            }
        }
    }

    void stop_callers() {
        stop_ = true;
        wait_until([this] { return callers_ == 0; });
    }

    std::mt19937_64 random_{GetParam()};
    soak_audit audit_;
    std::vector<std::string> stores_;
    std::vector<time_point> turned_away_until_ = std::vector<time_point>(instance_count);
    std::vector<time_point> disturbed_until_ = std::vector<time_point>(instance_count);
    std::vector<std::unique_ptr<soak_server>> servers_;
    /// The instance that an attempt at a harmful request went to.
    std::map<std::string, std::size_t> sent_by_;
    /// Instances that this test has told to end.
    std::vector<bool> ending_;
    std::deque<pending_end> ends_;
    int version_ = 1;
    int callers_ = 0;
    int harmful_senders_ = 0;
    bool harm_is_over_ = false;
    bool stop_ = false;
    /// Until then some instance may not have heard what servers say.
    time_point hearing_disturbed_until_{};
};

INSTANTIATE_TEST_SUITE_P(seeds, soak_test, testing::ValuesIn(seeds()),
                         [](const auto& info) { return std::to_string(info.param); });

// Callers call without pause while processes are killed, paused, ended and started, the store turns
// instances away and forgets, links stall and break, servers come and go, all at once. Every
// promise is checked as it goes; at the end every instance serves again.
TEST_P(soak_test, promises_hold_under_overlapping_faults) {
    play();
}

} // namespace
} // namespace bamboostream::test
