#include "test/platform/soak_audit.h"

#include <cmath>
#include <fmt/format.h>

namespace bamboostream::test {

namespace {

constexpr std::size_t min_taken_up = 12;
/// First tries that may fail at partitioned instances, beside a share of all.
constexpr std::size_t tolerated_failures = 10;
constexpr std::size_t tries_per_tolerated_failure = 50;
/// Share of what the other instances serve that the partitioned ones must reach.
constexpr double min_share_of_others = 2.0 / 3.0;
/// First tries are compared with those of the others in times of this length, if there are enough.
constexpr milliseconds try_slice{250};
constexpr std::size_t min_other_tries = 3;
constexpr int crashes_until_quarantine = 3;
constexpr int crashes_until_part_quarantine = 5;
constexpr milliseconds quarantine_delay{3'000};
/// How many servers a path may still crash after that delay, by requests that up-to-date instances
/// sent.
constexpr int max_late_crashes = 3;

/// In any window that ends this long after a limit was named, instances that had been told of it
/// for `limit_told_delay` may send the limit times the factor, and the slack.
constexpr milliseconds limit_contact_time{3'000};
constexpr milliseconds limit_window{4'000};
constexpr milliseconds limit_told_delay{500};
constexpr double allowed_limit_factor = 1.5;
constexpr double allowed_limit_slack = 5.0;

} // namespace

observed_outcome outcome_of(int status, bool complete) {
    if (status == 408 || status == 421 || status == 429 || status == 503) {
        return observed_outcome::not_run;
    }
    if (complete && status == 200) {
        return observed_outcome::answered;
    }
    return complete && status == 500 ? observed_outcome::failed : observed_outcome::unknown;
}

void soak_audit::ran(const std::string& request, const std::string& server, bool repeatable) {
    if (++runs_[request] > 1 && !repeatable) {
        violations_.push_back(fmt::format("{} ran a second time, at {}", request, server));
    }
    if (refused_.contains(request)) {
        violations_.push_back(
            fmt::format("{} ran at {} after the caller was told \"not run\"", request, server));
    }
}

void soak_audit::ended(const std::string& request, observed_outcome end, const std::string& body) {
    if (end == observed_outcome::answered || end == observed_outcome::failed) {
        answered_ += end == observed_outcome::answered ? 1 : 0;
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

void soak_audit::event(const std::string& stream, int number, const std::string& version) {
    int& next = next_event_[stream];
    if (number != next) {
        violations_.push_back(
            fmt::format("{} received event {}, expected {}", stream, number, next));
    }
    next = number + 1;
    const std::string& begun_by = version_by_stream_.emplace(stream, version).first->second;
    if (version != begun_by) {
        violations_.push_back(fmt::format("{} was begun by version {} and received event {} of {}",
                                          stream, begun_by, number, version));
    }
}

void soak_audit::event_brought(const std::string& request, const std::string& written_for) {
    if (written_for != request) {
        violations_.push_back(
            fmt::format("{} received an event that was written for {}", request, written_for));
    }
}

void soak_audit::stream_asked(bool begun) {
    new_streams_.count(begun);
}

void soak_audit::stream_taken_up(bool continued) {
    taken_up_.count(continued);
}

void soak_audit::check_taken_up() {
    const bool enough = taken_up_.all >= min_taken_up && new_streams_.all > 0;
    // Compares the shares without a division: at least half of the share of new streams.
    if (enough &&
        2 * taken_up_.succeeded * new_streams_.all < new_streams_.succeeded * taken_up_.all) {
        violations_.push_back(fmt::format("{} of {} streams went on when they were taken up, "
                                          "while {} of {} new streams began",
                                          taken_up_.succeeded, taken_up_.all,
                                          new_streams_.succeeded, new_streams_.all));
    }
}

void soak_audit::first_try_ended(time_point now, bool cut_off, bool served) {
    try_shares& at = tries_[now.time_since_epoch() / try_slice];
    (cut_off ? at.cut_off : at.others).count(served);
    tried_cut_off_ += cut_off ? 1 : 0;
    served_cut_off_ += cut_off && served ? 1 : 0;
}

void soak_audit::check_first_tries() {
    std::size_t all = 0;
    std::size_t tried = 0;
    std::size_t served = 0;
    double served_like_others = 0.0;
    for (const auto& [slice, at] : tries_) {
        if (at.others.all >= min_other_tries) {
            all += at.cut_off.all + at.others.all;
            tried += at.cut_off.all;
            served += at.cut_off.succeeded;
            served_like_others += static_cast<double>(at.cut_off.all) *
                                  static_cast<double>(at.others.succeeded) /
                                  static_cast<double>(at.others.all);
        }
    }
    const bool many_failed =
        tried - served > tolerated_failures + all / tries_per_tolerated_failure;
    if (many_failed && static_cast<double>(served) < min_share_of_others * served_like_others) {
        violations_.push_back(fmt::format("partitioned instances served {} of {} first tries, the "
                                          "others would have served {:.0f}",
                                          served, tried, served_like_others));
    }
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

void soak_audit::limit_named(const std::string& server, std::optional<double> per_second,
                             time_point now) {
    limits_.erase(server);
    if (per_second) {
        limit_record& limit = limits_[server];
        limit.per_second = *per_second;
        limit.named_at = now;
    }
}

void soak_audit::limit_told(const std::string& server, std::size_t instance, time_point now) {
    if (const auto found = limits_.find(server); found != limits_.end()) {
        found->second.told_at.try_emplace(instance, now);
    }
}

void soak_audit::limits_forgotten(std::size_t instance) {
    for (auto& [server, limit] : limits_) {
        limit.told_at.erase(instance);
    }
}

void soak_audit::limited_server_asked(const std::string& server, std::size_t instance, bool excused,
                                      time_point now) {
    const auto found = limits_.find(server);
    if (found == limits_.end() || excused) {
        return;
    }
    limit_record& limit = found->second;
    const auto told = limit.told_at.find(instance);
    if (told == limit.told_at.end() || now < told->second + limit_told_delay) {
        return;
    }
    ++counted_at_limits_;
    limit.counted.push_back(now);
    while (now - limit.counted.front() >= limit_window) {
        limit.counted.pop_front();
    }
    const double allowed =
        limit.per_second * to_milliseconds(limit_window) / 1'000.0 * allowed_limit_factor +
        allowed_limit_slack;
    const bool exceeded = static_cast<double>(limit.counted.size()) > allowed;
    if (now >= limit.named_at + limit_contact_time && exceeded && !limit.reported) {
        limit.reported = true;
        violations_.push_back(fmt::format(
            "{} names a limit of {} a second and got {} requests in 4 s from instances that it had "
            "told, allowed {:.0f}",
            server, limit.per_second, limit.counted.size(), std::floor(allowed)));
    }
}

void soak_audit::server_crashed(const std::string& path, time_point now, bool up_to_date) {
    record_crash(path, crashes_until_quarantine, now, up_to_date);
}

void soak_audit::server_crashed_under_part(const std::string& part, time_point now,
                                           bool up_to_date) {
    record_crash(part, crashes_until_part_quarantine, now, up_to_date);
}

void soak_audit::record_crash(const std::string& cause, int crashes_until_due, time_point now,
                              bool up_to_date) {
    crash_record& crashes = crashes_by_cause_[cause];
    if (++crashes.servers == crashes_until_due) {
        crashes.quarantine_due_since = now;
    }
    const bool late = crashes.servers > crashes_until_due &&
                      now - crashes.quarantine_due_since > quarantine_delay;
    if (late && up_to_date && ++crashes.late_crashes > max_late_crashes) {
        violations_.push_back(
            fmt::format("{} crashed a server after its quarantine was due, {} servers in all",
                        cause, crashes.servers));
    }
}

void soak_audit::quarantined(const std::string& request, const std::string& path_or_part) {
    if (!crashes_by_cause_.contains(path_or_part)) {
        violations_.push_back(fmt::format("{} was refused as harmful, but {} has crashed no server",
                                          request, path_or_part));
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
