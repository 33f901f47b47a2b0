#pragma once

#include "bamboostream/src/Core/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace bamboostream {

/// Whether a line may be written now, and how many lines of the same event were suppressed before.
struct log_permit {
    bool write = false;
    std::uint64_t suppressed_lines = 0;
};

/// Limits the rate of log lines by a token bucket per kind of event. Otherwise a fault that fails
/// every request would write a line for each of them and bury the lines that tell its cause. A
/// flood of one event does not affect the others; suppressed lines are counted and reported with
/// the next line of the same event. Not thread-safe.
class log_rate_limiter {
public:
    log_permit try_acquire(int event_number, time_point now);

private:
    struct token_bucket {
        double tokens = 0.0;
        time_point updated;
        std::uint64_t suppressed_lines = 0;
    };
    std::unordered_map<int, token_bucket> buckets_;
};

/// Lines that wait for standard output. A log reader that has stalled must not block the process,
/// and with it every request; a short stall should not lose lines either. Not thread-safe.
class log_line_buffer {
public:
    /// Capacity: about ten seconds of log output of a busy instance.
    static constexpr std::size_t max_bytes = 256 * 1024;

    /// Appends a line; when the buffer is full, drops and counts it.
    void add(std::string line);
    /// The next line to write; null when the buffer is empty.
    const std::string* front() const { return lines_.empty() ? nullptr : &lines_.front(); }
    void pop();
    /// Lines dropped since the last call, to be reported once the reader reads again.
    std::uint64_t take_dropped();
    /// Lines dropped since the start.
    std::uint64_t dropped() const { return dropped_; }

private:
    std::deque<std::string> lines_;
    std::size_t bytes_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_drops_ = 0;
};

} // namespace bamboostream
