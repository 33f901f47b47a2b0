#pragma once

#include "bamboostream/Core"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bamboostream::test {

/// The outcome of a request as its caller observed it.
enum class observed_outcome : std::uint8_t {
    /// A complete answer with status 200.
    answered,
    /// A complete answer with status 500, which only backend servers send.
    failed,
    /// A status with which the instance guarantees that the request has not run and never will.
    not_run,
    /// Any other outcome: the caller cannot tell whether the request ran.
    unknown,
};

/// The outcome for the caller of a request that got this status, 0 if none; `complete`: with all of
/// the answer.
observed_outcome outcome_of(int status, bool complete);

/// Checks the guarantees of the instances against what callers and backend servers observe. Each
/// violation is recorded as a sentence; a correct system produces none.
class soak_audit {
public:
    /// A backend server started to run a request. `repeatable`: it may run more than once.
    void ran(const std::string& request, const std::string& server, bool repeatable = false);
    /// A caller's request ended. `body` is the content of a complete answer: servers send the
    /// request's id.
    void ended(const std::string& request, observed_outcome end, const std::string& body);
    /// A caller received an event of its stream, which a server of `version` wrote. `stream` is the
    /// request that brought the first event.
    void event(const std::string& stream, int number, const std::string& version);
    /// A request brought an event that a server wrote for the request `written_for`.
    void event_brought(const std::string& request, const std::string& written_for);
    /// A caller asked for a new stream that it may take up again, at an instance that was
    /// undisturbed for long enough to know what the others know.
    void stream_asked(bool begun);
    /// A caller took up a stream at such an instance, while two servers of its version served.
    void stream_taken_up(bool continued);
    /// Checks the share of streams that went on when they were taken up, if there were enough.
    void check_taken_up();
    /// The first try of a request ended at an otherwise undisturbed instance. `cut_off`: the
    /// instance was partitioned from all servers for long enough to have found another way.
    void first_try_ended(time_point now, bool cut_off, bool served);
    /// Checks that first tries at partitioned instances are served like those at the others at the
    /// same time: other faults may leave no server to any of them for a while.
    void check_first_tries();
    /// A stream that consists of `events` events was reported as complete.
    void completed(const std::string& request, int events);
    /// A request was sent to a server that had left longer ago than the bound allows.
    void request_reached_left_server(const std::string& request, const std::string& server);
    /// From now on, the server names this limit on the requests a second that it takes, or none.
    void limit_named(const std::string& server, std::optional<double> per_second, time_point now);
    /// The server has sent an answer that names its limit to an instance.
    void limit_told(const std::string& server, std::size_t instance, time_point now);
    /// The instance has started again and knows of no limit.
    void limits_forgotten(std::size_t instance);
    /// The server got a request from an instance. `excused`: the instance was disturbed.
    void limited_server_asked(const std::string& server, std::size_t instance, bool excused,
                              time_point now);
    /// A server crashed while running a request for `path`. `up_to_date`: the instance that sent it
    /// was undisturbed for long enough to know what the others know.
    void server_crashed(const std::string& path, time_point now, bool up_to_date);
    /// The same for a request with a harmful part of its prompt. More servers may crash before such
    /// requests are due to be refused, since no two of them are alike.
    void server_crashed_under_part(const std::string& part, time_point now, bool up_to_date);
    /// A request was refused because requests for the same path, or with the same part, had crashed
    /// servers.
    void quarantined(const std::string& request, const std::string& path_or_part);
    /// A process exited although the test had not stopped it.
    void process_exited(const std::string& process, int exit_code);
    /// An instance did not recover in time after the last fault; `last` is its last status.
    void not_recovered(const std::string& instance, const std::string& last);

    const std::vector<std::string>& violations() const { return violations_; }
    std::size_t answered() const { return answered_; }
    std::size_t refused() const { return refused_.size(); }
    std::size_t unknown() const { return unknown_; }

    std::size_t taken_up() const { return taken_up_.all; }
    std::size_t continued() const { return taken_up_.succeeded; }
    /// First tries at partitioned instances.
    std::size_t tried_cut_off() const { return tried_cut_off_; }
    std::size_t served_cut_off() const { return served_cut_off_; }
    /// Requests at servers that name a limit, from instances that had been told.
    std::size_t counted_at_limits() const { return counted_at_limits_; }

private:
    struct share {
        std::size_t all = 0;
        std::size_t succeeded = 0;
        void count(bool success) {
            ++all;
            succeeded += success ? 1 : 0;
        }
    };
    struct crash_record {
        int servers = 0;
        time_point quarantine_due_since{};
        int late_crashes = 0;
    };

    std::map<std::string, int> runs_;
    std::set<std::string> refused_;
    std::map<std::string, int> next_event_;
    std::map<std::string, std::string> version_by_stream_;
    share new_streams_;
    share taken_up_;
    /// First tries at partitioned instances and at the others, by the time at which they ended.
    struct try_shares {
        share cut_off;
        share others;
    };
    std::map<std::int64_t, try_shares> tries_;
    std::size_t tried_cut_off_ = 0;
    std::size_t served_cut_off_ = 0;
    void record_crash(const std::string& cause, int crashes_until_due, time_point now,
                      bool up_to_date);

    struct limit_record {
        double per_second = 0.0;
        time_point named_at{};
        std::map<std::size_t, time_point> told_at;
        /// Requests from instances that had been told, in the latest window.
        std::deque<time_point> counted;
        bool reported = false;
    };
    /// Servers that name a limit.
    std::map<std::string, limit_record> limits_;
    std::size_t counted_at_limits_ = 0;
    /// By path, and by harmful part.
    std::map<std::string, crash_record> crashes_by_cause_;
    std::vector<std::string> violations_;
    std::size_t answered_ = 0;
    std::size_t unknown_ = 0;
};

} // namespace bamboostream::test
