#include "bamboostream/src/Core/event_log.h"

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/log_limit.h"

#include <atomic>
#include <boost/json.hpp>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace bamboostream {

namespace {
/// A pipe that is ready for writing accepts this much at once without blocking (PIPE_BUF).
constexpr std::size_t max_line_bytes = 4'096;
/// Details are truncated to this length, so that the rest of the line stays intact for programs
/// that parse it.
constexpr std::size_t max_detail_bytes = 3'000;

/// Output state that all threads of a program share.
struct log_output {
    std::mutex mutex;
    log_rate_limiter limiter;
    log_line_buffer pending_lines;
};

log_output& output() {
    static log_output shared;
    return shared;
}

bool stdout_writable() {
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

/// Writes each line with one call, so that lines of different threads don't mix, and stops when a
/// write would block: otherwise a log reader that has stalled would stop the process.
void write_pending_lines(log_line_buffer& pending_lines) {
    while (const std::string* line = pending_lines.front()) {
        if (!stdout_writable() || write(STDOUT_FILENO, line->data(), line->size()) < 0) {
            return;
        }
        pending_lines.pop();
    }
}

std::atomic<log_format> current_format{log_format::text};
std::atomic<event_level> current_min_level{event_level::info};
} // namespace

void configure_log(log_format format, event_level min_level) {
    current_format = format;
    current_min_level = min_level;
}

std::uint64_t dropped_log_lines() {
    const std::lock_guard lock(output().mutex);
    return output().pending_lines.dropped();
}

void flush_log() {
    const std::lock_guard lock(output().mutex);
    write_pending_lines(output().pending_lines);
}

namespace internal {

bool log_enabled(event_level level) {
    return level >= current_min_level.load();
}

namespace {

std::string format_line(const event_kind& kind, std::string_view detail) {
    detail = detail.substr(0, max_detail_bytes);
    if (current_format.load() == log_format::text) {
        return fmt::format("{} {} {} {} {}\n", wall_now(), kind.number, to_string(kind.level),
                           kind.name, detail);
    }
    std::string line = boost::json::serialize(boost::json::object{{"time_ms", wall_now()},
                                                                  {"event", kind.number},
                                                                  {"level", to_string(kind.level)},
                                                                  {"name", kind.name},
                                                                  {"detail", detail}});
    line += '\n';
    return line;
}

} // namespace

void write_log_line(const event_kind& kind, std::string_view detail) {
    log_output& out = output();
    const std::lock_guard lock(out.mutex);
    const log_permit permit = out.limiter.try_acquire(kind.number, monotonic_now());
    if (!permit.write) {
        return;
    }
    write_pending_lines(out.pending_lines);
    if (out.pending_lines.front() == nullptr) {
        if (const std::uint64_t lost = out.pending_lines.take_dropped(); lost > 0) {
            out.pending_lines.add(
                format_line(events::log_lines_lost, fmt::format("lines={}", lost)));
        }
    }
    std::string line = permit.suppressed_lines == 0
                           ? format_line(kind, detail)
                           : format_line(kind, fmt::format("{} left_out_before={}", detail,
                                                           permit.suppressed_lines));
    // JSON escapes of control characters can make a line longer than a pipe accepts at once.
    if (line.size() <= max_line_bytes) {
        out.pending_lines.add(std::move(line));
    }
    write_pending_lines(out.pending_lines);
}

} // namespace internal
} // namespace bamboostream
