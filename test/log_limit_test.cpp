// Limits of the event log: floods of one event, and a log reader that stalls.

#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_limit.h"

#include <array>
#include <cstdio>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace bamboostream {
namespace {

const time_point start = time_point{} + seconds(1'000);

// Every request fails for two seconds, 5,000 per second. The log contains the first 2,000 lines,
// then 200 per second with the number of suppressed lines; lines of another event are all written.
TEST(log_rate_limiter_test, bounds_a_flood_and_reports_suppressed_lines) {
    log_rate_limiter limiter;
    std::uint64_t written = 0;
    std::uint64_t suppressed_lines = 0;
    constexpr int lines = 10'000;
    for (int i = 0; i < lines; ++i) {
        const log_permit permit = limiter.try_acquire(431, start + microseconds(200 * i));
        written += permit.write ? 1 : 0;
        suppressed_lines += permit.suppressed_lines;
        EXPECT_TRUE(i % 100 != 0 || limiter.try_acquire(300, start + microseconds(200 * i)).write)
            << i;
    }
    EXPECT_GE(written, 2'300u);
    EXPECT_LE(written, 2'500u);
    const log_permit after = limiter.try_acquire(431, start + seconds(10));
    EXPECT_TRUE(after.write);
    EXPECT_EQ(written + suppressed_lines + after.suppressed_lines,
              static_cast<std::uint64_t>(lines));
}

// The log reader stalls. Lines are buffered up to a limit; further lines are dropped and counted,
// and the count is reported once.
TEST(log_line_buffer_test, keeps_the_oldest_lines_and_counts_dropped_lines) {
    log_line_buffer waiting;
    const std::string line(1'024, 'x');
    for (int i = 0; i < 300; ++i) {
        waiting.add(line);
    }
    EXPECT_EQ(waiting.dropped(), 300 - log_line_buffer::max_bytes / line.size());
    EXPECT_EQ(waiting.take_dropped(), waiting.dropped());
    EXPECT_EQ(waiting.take_dropped(), 0u);
    waiting.pop();
    waiting.add("one more");
    EXPECT_EQ(waiting.take_dropped(), 0u);
}

/// Redirects standard output to a pipe for the lifetime of the object.
class piped_output {
public:
    piped_output() : before_(dup(STDOUT_FILENO)) {
        std::fflush(stdout);
        if (pipe(ends_.data()) != 0) {
            throw std::runtime_error("no pipe");
        }
        dup2(ends_[1], STDOUT_FILENO);
        close(ends_[1]);
        fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    }
    ~piped_output() {
        dup2(before_, STDOUT_FILENO);
        close(before_);
        close(ends_[0]);
    }
    piped_output(const piped_output&) = delete;
    piped_output& operator=(const piped_output&) = delete;

    /// All bytes that can be read without blocking.
    std::string read_all() const {
        std::string out;
        std::array<char, 65'536> bytes{};
        for (ssize_t n = 0; (n = read(ends_[0], bytes.data(), bytes.size())) > 0;) {
            out.append(bytes.data(), static_cast<std::size_t>(n));
        }
        return out;
    }

private:
    int before_;
    std::array<int, 2> ends_{};
};

// Nobody reads the log while 1,900 requests are served. Log calls return at once, so no caller
// waits. When the log is read again, the buffered lines arrive complete and in order, followed by
// the number of lost lines.
TEST(event_log_test, a_stalled_reader_does_not_block_the_process) {
    std::string read;
    time_point began;
    duration writing{};
    {
        const piped_output output;
        began = monotonic_now();
        for (int i = 0; i < 1'900; ++i) {
            log_event(events::request_ended, "request={} filler={}", i, std::string(400, 'x'));
        }
        writing = monotonic_now() - began;
        for (int i = 0; i < 100; ++i) {
            read += output.read_all();
            flush_log();
        }
        log_event(events::caller_left, "request=last");
        read += output.read_all();
    }
    EXPECT_LT(writing, seconds(1));
    EXPECT_GT(dropped_log_lines(), 0u);
    EXPECT_NE(read.find("request=0 "), std::string::npos);
    EXPECT_NE(read.find("log_lines_lost"), std::string::npos);
    EXPECT_GT(read.find("request=last"), read.find("log_lines_lost"));
    std::size_t begin = 0;
    for (std::size_t end = 0; (end = read.find('\n', begin)) != std::string::npos;
         begin = end + 1) {
        const std::string line = read.substr(begin, end - begin);
        EXPECT_NE(line.find("request"), line.find("log_lines_lost")) << line;
    }
}

} // namespace
} // namespace bamboostream
