#pragma once

#include "test/platform/soak_audit.h"
#include "test/platform/soak_plan.h"
#include "test/platform/system/gateway_fixture.h"
#include "test/platform/system/soak_requests.h"

#include <deque>
#include <random>

namespace bamboostream::test {

inline constexpr int default_instance_count = 4;
/// Number of additional routes in the operator's configurations that receive no calls.
inline constexpr int other_route_count = 1'500;
/// An instance that was undisturbed for this long knows what the others know.
inline constexpr milliseconds catch_up_time{3'000};
inline constexpr const char* harmful_prefix = "/a/harmful-";
inline constexpr const char* harmful_part_prefix = "bad0bad";

/// A backend server and the proxy in front of it.
struct soak_server {
    std::string id;
    std::string version;
    scripted_backend* backend = nullptr;
    std::unique_ptr<process> proxy;
    std::string proxied;
    std::string control;
    bool listed = false;
    std::optional<time_point> left;
    /// Its link stalls, breaks, loses answers or refuses connections until then.
    time_point link_disturbed_until{};
    /// Until when its link holds all bytes.
    time_point link_stalled_until{};
    /// The requests a second that it names in its answers; nothing if it names no limit.
    std::optional<double> limit;
    /// It named a limit until then.
    time_point limited_until{};
    /// It sends copies of responses and has few slots until then.
    time_point repeats_until{};
    /// The latest whole response on each connection, by its number.
    std::map<int, std::string> latest_response{};
    /// Held by each request that runs.
    std::shared_ptr<int> slots = std::make_shared<int>(0);
};

/// A run of the soak test.
struct soak_row {
    std::uint64_t seed = 0;
    int instances = default_instance_count;
    int domains = default_instance_count;
    milliseconds length{0};
    /// How failure domains are partitioned: a manner of the fault proxy.
    std::string cut_manner{};
    friend void PrintTo(const soak_row& row, std::ostream* out) {
        *out << fmt::format("seed {}, {} instances, {} failure domains, {}", row.seed,
                            row.instances, row.domains, row.cut_manner);
    }
};

/// Runs gateway processes, backend servers and callers under the faults of a plan.
class soak_test : public gateway_test, public testing::WithParamInterface<soak_row> {
public:
    soak_test(const soak_test&) = delete;
    soak_test& operator=(const soak_test&) = delete;

protected:
    soak_test() = default;
    ~soak_test() override { stop_callers(); }

    void run_soak();

    std::string failure_domain_of(int index) const override {
        return fmt::format("z{}", index % GetParam().domains);
    }

private:
    struct scheduled_action {
        time_point at;
        std::function<void()> run;
    };

    void run_until(time_point until);
    void schedule(milliseconds after, std::function<void()> run);
    void watch_processes();
    void restart(std::size_t i);
    void inject(const soak_step& step);

    /// Partitions instances from all servers, also from those that join meanwhile. A later
    /// partition replaces it.
    void cut_off(const soak_cut& cut, milliseconds duration);

    /// Partitions a failure domain, beside the instances that another step partitions. Has no
    /// effect while one is partitioned, or if failure domains have one instance each.
    void cut_off_domain(const soak_step& step);
    void send_cut_command();
    void stop_instance(std::size_t i, int signal, milliseconds after);

    void inject_link_fault(soak_server& server, const std::string& fault, const std::string& undo,
                           milliseconds duration);

    /// The servers that are listed and have not left.
    std::vector<soak_server*> serving_servers() const;
    void repeat_responses(const soak_step& step);

    /// Has no effect while another server names a limit, or if fewer than three serve: the audits
    /// of what callers get assume that there is a server with room.
    void name_limit(const soak_step& step);

    /// Reports a request to the audit if the server names a limit, and returns the field that names
    /// it.
    std::string limit_field(const std::string& id, const soak_server& server);

    /// Sends nothing to the proxy of a crashed server: another process may use its port by now.
    void send_command(const soak_server& server, const std::string& command);

    /// The store fails the calls of one instance.
    void reject_calls_of(std::size_t i, milliseconds duration, store_manner manner);

    /// The store answers no calls of half of the instances. These may include both readers, which
    /// read the store on behalf of all.
    void reject_calls_of_half(std::size_t first, milliseconds duration);

    /// Announces `state` for a server, or removes its entry when `state` is empty. Does nothing
    /// if the server has left already or fewer than two servers remain.
    void leave(soak_server& server, const std::string& state);
    void write_entry(const soak_server& server, const std::string& state);
    void add_server();
    std::string announced(const std::string& file);

    /// Whether the instance must know that the server has left. It has the time that it takes at
    /// most from the announcement, from its own start, from the end of its own pause, and from when
    /// the store serves any instance that runs.
    bool must_be_known_as_leaving(const soak_server& server, std::size_t instance) const;
    /// Whether the instance runs and the store serves it.
    bool learns_from_store(std::size_t i) const;
    void note_whether_any_learns();

    /// Whether another copy of a response is to be sent now.
    bool draws_copy(const soak_server& server);
    /// Sends a copy of the latest response on the connection where another one is due, or a
    /// response without an id. Never sends the first response on a connection.
    asio::awaitable<void> send_late_copy(scripted_connection& c, soak_server& server);
    /// Sends a response, and sometimes a copy behind it.
    asio::awaitable<void> respond(scripted_connection& c, soak_server& server, std::string bytes);

    /// Answers with the request's id, or streams events. Sometimes it answers "not run", reports a
    /// failure, resets the connection or sends the answer of another request. Crashes on a harmful
    /// request.
    asio::awaitable<void> serve(scripted_connection& c, soak_server& server);

    /// Sends the events after those that the request names, or only some of them.
    static asio::awaitable<void> send_events(scripted_connection& c, const soak_server& server,
                                             bool breaks_off);

    /// Whether two servers of the version have served undisturbed for a while.
    bool version_serves(const std::string& version) const;

    /// Whether the instance and its links, to the store and the servers, were undisturbed for a
    /// while.
    bool is_in_touch(std::size_t i) const;

    /// Whether a first try counts that begins or ends now: a failure domain has been partitioned
    /// for long enough, and the instance is undisturbed apart from that.
    enum class try_kind : std::uint8_t { not_counted, cut_off, other };
    try_kind first_try_kind(std::size_t i) const;

    /// Takes up a stream that broke off, each time at another instance, until it is complete.
    asio::awaitable<void> take_up(std::string stream, received_stream received, std::size_t at);

    /// A caller that reuses its connection as long as possible, then connects to the next instance.
    asio::awaitable<void> run_caller(int caller);

    /// Repeatedly sends a request for this path to random instances, or with a part requests that
    /// have nothing else in common. Each crashes the server that runs it.
    asio::awaitable<void> send_harmful(std::string path, std::string part = {});

    /// The harmful part of a request's prompt; empty if it has none.
    static std::string harmful_part_of(const scripted_connection& c);

    /// Simulates the crash of a server: its connections break and new ones are refused. Its entry
    /// is removed later, and another server joins.
    void crash_server(soak_server& server);
    /// Ends the processes of a server; its entry is removed later.
    void end_server(soak_server& server);

    /// Whether an instance was undisturbed for long enough that it must know what the others know.
    bool is_up_to_date(std::size_t i) const;

    /// Stops the harmful requests before recovery is checked: servers that crash after that would
    /// not be replaced.
    void stop_harmful_requests();
    void run_scheduled();
    void expect_recovery();

    template <typename value_type> static std::vector<value_type> per_instance() {
        return std::vector<value_type>(static_cast<std::size_t>(GetParam().instances));
    }

    void stop_callers();

    /// Instances that are partitioned from all servers, and how.
    struct partition {
        std::string addresses{};
        std::string manner{};
    };
    struct domain_cut {
        time_point from{};
        time_point until{};
    };

    std::mt19937_64 random_{GetParam().seed};
    soak_audit audit_;
    std::vector<std::string> stores_;
    std::vector<time_point> rejected_until_ = per_instance<time_point>();
    std::vector<time_point> cut_off_until_ = per_instance<time_point>();
    std::vector<time_point> disturbed_until_ = per_instance<time_point>();
    /// When an instance was started, or when its latest pause ends.
    std::vector<time_point> runs_since_ = per_instance<time_point>();
    std::vector<domain_cut> domain_cut_ = per_instance<domain_cut>();
    std::vector<std::unique_ptr<soak_server>> servers_;
    /// The instance that received a request, by the request's id.
    std::map<std::string, std::size_t> instance_of_request_;
    /// Instances that this test has stopped and not yet restarted.
    std::vector<bool> stopping_;
    std::deque<scheduled_action> scheduled_;
    /// The latest command about partitions to the servers' proxies; empty before the first.
    std::string cut_command_;
    partition cut_senders_;
    partition domain_cut_senders_;
    int cut_number_ = 0;
    int limits_named_ = 0;
    int copies_sent_ = 0;
    int servers_left_ = 0;
    int version_ = 1;
    int callers_ = 0;
    int harmful_senders_ = 0;
    bool stop_harmful_ = false;
    bool stop_ = false;
    /// Until this time no instance ran that the store served.
    time_point nobody_learns_until_{};
};
} // namespace bamboostream::test
