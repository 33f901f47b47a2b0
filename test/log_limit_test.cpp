// Bounded logs: floods, and readers that stand still.

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

// Every request fails for two seconds, 5,000 a second. An operator sees the first 2,000 lines and
// then 200 a second with the count of those left out; lines of another kind are all written.
TEST(log_rate_limiter_test, bounds_a_flood_and_says_what_is_missing) {
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

// The reader stands still. Lines wait up to a bound; what doesn't fit is dropped and counted, and
// the count is said once.
TEST(log_line_buffer_test, keeps_the_oldest_lines_and_counts_what_it_drops) {
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

/// Standard output turned into a pipe for a while.
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

    /// What can be read now.
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

// Nobody reads the log while 1,900 requests are served. Each log call returns at once, so no caller
// waits; when the log is read again the waiting lines come whole and in order, then the number of
// lines that were lost.
TEST(event_log_test, a_reader_that_stands_still_stops_nobody) {
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
