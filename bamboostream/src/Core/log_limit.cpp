#include "bamboostream/src/Core/log_limit.h"

#include <algorithm>
#include <utility>

namespace bamboostream {

namespace {

/// Lines per second of one event. At the design size an instance forwards about 30 requests per
/// second (33,000 per second over 1,100 instances); this is several times that.
constexpr double lines_per_second = 200.0;
/// Burst size: at startup a line is written for each backend server that becomes known.
constexpr double burst_lines = 2'000.0;

} // namespace

log_permit log_rate_limiter::try_acquire(int event_number, time_point now) {
    const auto [found, is_new] =
        buckets_.try_emplace(event_number, token_bucket{burst_lines, now, 0});
    token_bucket& bucket = found->second;
    const double elapsed_s = to_milliseconds(now - bucket.updated) / 1000.0;
    bucket.tokens = std::min(burst_lines, bucket.tokens + elapsed_s * lines_per_second);
    bucket.updated = now;
    if (bucket.tokens < 1.0) {
        ++bucket.suppressed_lines;
        return {};
    }
    bucket.tokens -= 1.0;
    return {true, std::exchange(bucket.suppressed_lines, 0)};
}

void log_line_buffer::add(std::string line) {
    if (bytes_ + line.size() > max_bytes) {
        ++dropped_;
        return;
    }
    bytes_ += line.size();
    lines_.push_back(std::move(line));
}

void log_line_buffer::pop() {
    bytes_ -= lines_.front().size();
    lines_.pop_front();
}

std::uint64_t log_line_buffer::take_dropped() {
    return dropped_ - std::exchange(reported_drops_, dropped_);
}

} // namespace bamboostream
