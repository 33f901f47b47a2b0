#pragma once

#include "bamboostream/Client"
#include "bamboostream/Contracts"
#include "bamboostream/Core"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace bamboostream::test {

/// A child process started by a test; the destructor kills it if it still runs.
class process {
public:
    process(const std::string& program, std::vector<std::string> arguments,
            const std::string& log_file);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void signal(int number) const;
    /// Blocks until the process has ended; returns false if it still runs after `timeout`.
    bool wait_for_end(milliseconds timeout);
    int exit_code() const { return exit_code_; }
    bool ended() const { return ended_; }
    pid_t pid() const { return pid_; }

private:
    pid_t pid_ = -1;
    bool ended_ = false;
    int exit_code_ = -1;
};

/// A process of the cluster and the addresses that it wrote to its announce file.
struct member {
    std::unique_ptr<process> running;
    std::vector<std::string> addresses;
    /// The fault proxy in front of this process, if there is one, and the proxy's control address.
    std::unique_ptr<process> proxy;
    std::string proxy_control;
    /// The address that other processes connect to: the proxy's, or else `addresses[0]`.
    std::string visible_address;
    std::string failure_domain;
    std::vector<std::string> arguments;
};

/// How many processes a cluster starts, which of them get a fault proxy, and the additional
/// command-line arguments of each program.
struct cluster_options {
    int instances = 3;
    int engines = 2;
    int services = 2;
    bool proxied_engines = false;
    bool proxied_services = false;
    bool proxied_log = false;
    std::vector<std::string> engine_arguments;
    std::vector<std::string> service_arguments;
    std::vector<std::string> instance_arguments;
    std::vector<std::string> log_arguments;
    std::vector<std::string> platform_arguments;
};

/// Runs the instances and the stand-ins of everything that they talk to (log, platform, engines and
/// services) as separate processes on free ports of the loopback address.
///
/// The constructor returns when every instance has the initial configuration and knows all other
/// instances and backend servers. For use from one thread: calls made through `context()` progress
/// only during the member functions that wait, such as `run_for` and `wait_until`.
class cluster {
public:
    explicit cluster(cluster_options options);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    member& log() { return log_; }
    member& platform() { return platform_; }
    member& instance(int i) { return *instances_[static_cast<std::size_t>(i)]; }
    member& engine(int i) { return *engines_[static_cast<std::size_t>(i)]; }
    member& service(int i) { return *services_[static_cast<std::size_t>(i)]; }
    int instance_count() const { return static_cast<int>(instances_.size()); }

    /// Starts one more instance and returns its index.
    int add_instance();
    /// Removes a process from the platform's list of processes.
    void remove_from_list(const member& m, bool now);
    /// Sends a JSON control command to a stand-in or a fault proxy.
    void command(const std::string& address, const boost::json::object& body);
    boost::json::value get(const std::string& address, const std::string& target);
    boost::json::value post(const std::string& address, const std::string& target,
                            const boost::json::value& body);
    /// Submits configuration changes to an instance and returns the body of its answer.
    boost::json::value submit(int instance, std::int64_t base, const boost::json::array& changes,
                              const std::string& id = random_id());
    /// Waits until `condition` holds; returns whether it holds when `timeout` has passed.
    bool wait_until(const std::function<bool()>& condition, milliseconds timeout);
    /// The configuration version in force at an instance; -1 if the instance doesn't answer.
    std::int64_t version_at(int instance);
    /// Runs `context()`, and with it the calls in progress, for the given time.
    void run_for(duration time);
    boost::asio::io_context& context() { return context_; }

    /// Options of a caller that knows every instance still running.
    caller_options options_for(const std::string& workspace);
    /// Starts a call in the background; the result is filled in when the call ends.
    std::shared_ptr<completion_result> start_completion(const completion_call& call,
                                                        const std::string& workspace = "desk");
    std::shared_ptr<service_result> start_service_call(const std::string& key,
                                                       const std::string& operation = "transfer",
                                                       const std::string& workspace = "desk");
    /// Sends a service call to one instance without the caller library, and so without its
    /// retries; returns the body of the answer.
    boost::json::value call_at(int instance, const std::string& key,
                               const std::string& operation = "transfer",
                               const std::string& body = R"({"amount":1})");
    /// Like `call_at`, for a generation that isn't streamed.
    boost::json::value complete_at(int instance, const std::string& prompt);
    /// The number of stand-in servers whose process has ended.
    int ended_engines();
    int ended_services();
    /// How often a call with this key was executed, summed over the services still running.
    int runs_of(const std::string& key);
    /// The number of generations run for this key, summed over the engines still running.
    int generations_of(const std::string& key);

private:
    /// Starts a program and waits until its announce file has `lines` addresses.
    void start(member& m, const std::string& program, std::vector<std::string> arguments,
               std::size_t lines);
    void put_behind_proxy(member& m);
    /// Adds a process to the platform's list of processes.
    void add_to_list(const std::string& address, const std::string& kind, const std::string& group,
                     const std::string& failure_domain);
    boost::json::value send_request(const std::string& address, const http_request& request);
    std::string next_announce_path();

    std::string folder_;
    int announce_count_ = 0;
    cluster_options options_;
    boost::asio::io_context context_{1};
    member log_;
    member platform_;
    std::vector<std::unique_ptr<member>> engines_;
    std::vector<std::unique_ptr<member>> services_;
    std::vector<std::unique_ptr<member>> instances_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::uint64_t seed_ = 1;
};

/// Returns a call with a new request key and a prompt that is unique to it.
completion_call make_call(const std::string& kind, std::uint32_t max_tokens = 0);

/// True if the received tokens are the first tokens that the stand-in engine generates for this
/// prompt, without gaps, and none was duplicated, out of order or of another generation.
bool has_expected_tokens(const completion_result& result, const completion_call& call);

} // namespace bamboostream::test
