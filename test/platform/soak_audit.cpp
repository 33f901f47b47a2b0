#include "test/platform/soak_audit.h"

#include <fmt/format.h>

namespace bamboostream::test {

namespace {

constexpr int crashes_until_quarantine = 3;
constexpr milliseconds quarantine_delay{3'000};
/// How many servers a path may still crash after that delay, by requests that up-to-date instances
/// sent.
constexpr int max_late_crashes = 3;

} // namespace

void soak_audit::ran(const std::string& request, const std::string& server) {
    if (++runs_[request] > 1) {
        violations_.push_back(fmt::format("{} ran a second time, at {}", request, server));
    }
    if (refused_.contains(request)) {
        violations_.push_back(
            fmt::format("{} ran at {} after the caller was told \"not run\"", request, server));
    }
}

void soak_audit::ended(const std::string& request, observed_outcome end, const std::string& body) {
    if (end == observed_outcome::answered) {
        ++answered_;
        if (body != request) {
            violations_.push_back(fmt::format("{} was answered with \"{}\"", request, body));
        }
    } else if (end == observed_outcome::not_run) {
        refused_.insert(request);
        if (runs_.contains(request)) {
            violations_.push_back(
                fmt::format("{} was reported as \"not run\" but had run", request));
        }
    } else {
        ++unknown_;
    }
}

void soak_audit::event(const std::string& request, int number) {
    int& next = next_event_[request];
    if (number != next) {
        violations_.push_back(
            fmt::format("{} received event {}, expected {}", request, number, next));
    }
    next = number + 1;
}

void soak_audit::completed(const std::string& request, int events) {
    ++answered_;
    if (next_event_[request] != events) {
        violations_.push_back(fmt::format("{} ended as complete after {} of {} events", request,
                                          next_event_[request], events));
    }
}

void soak_audit::request_reached_left_server(const std::string& request,
                                             const std::string& server) {
    violations_.push_back(
        fmt::format("{} was sent to {} after that server had left", request, server));
}

void soak_audit::server_crashed(const std::string& path, time_point now, bool up_to_date) {
    crash_record& crashes = crashes_by_path_[path];
    if (++crashes.servers == crashes_until_quarantine) {
        crashes.quarantine_due_since = now;
    }
    const bool late = crashes.servers > crashes_until_quarantine &&
                      now - crashes.quarantine_due_since > quarantine_delay;
    if (late && up_to_date && ++crashes.late_crashes > max_late_crashes) {
        violations_.push_back(
            fmt::format("{} crashed a server after its quarantine was due, {} servers in all", path,
                        crashes.servers));
    }
}

void soak_audit::quarantined(const std::string& request, const std::string& path) {
    if (!crashes_by_path_.contains(path)) {
        violations_.push_back(
            fmt::format("{} was refused as harmful, but {} has crashed no server", request, path));
    }
}

void soak_audit::process_exited(const std::string& process, int exit_code) {
    violations_.push_back(fmt::format("{} exited unexpectedly with code {}", process, exit_code));
}

void soak_audit::not_recovered(const std::string& instance, const std::string& last) {
    violations_.push_back(
        fmt::format("{} does not serve after the last fault, last status: {}", instance, last));
}

} // namespace bamboostream::test
