#pragma once

#include "bamboostream/src/Core/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace bamboostream {

/// Whether a line of an event may be written now, and how many were left out before it.
struct log_permit {
    bool write = false;
    std::uint64_t suppressed_lines = 0;
};

/// Bounds how many lines a second each kind of event writes. A fault that fails every request would
/// otherwise write as many lines as there are requests to fail, and the lines that tell its cause
/// would drown. Each kind has its own bound, so a flood of one leaves the others whole; what was
/// left out is counted and said with the next line of that kind.
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

/// Lines that wait until standard output takes them. A reader of the log that stands still must not
/// block the process, and with it every request; a short stall should not lose lines either.
class log_line_buffer {
public:
    /// Bytes that wait at most: some ten seconds of a busy instance.
    static constexpr std::size_t max_bytes = 256 * 1024;

    /// Keeps the line, or drops and counts it when the buffer is full.
    void add(std::string line);
    /// The line to write next; null when none waits.
    const std::string* front() const { return lines_.empty() ? nullptr : &lines_.front(); }
    void pop();
    /// Lines dropped since the last call, to be said once lines are read again.
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
