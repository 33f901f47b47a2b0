#include "bamboostream/src/Core/log_limit.h"

#include <algorithm>
#include <utility>

namespace bamboostream {

namespace {

/// Lines a second of one kind. An instance passes on some 30 requests a second at the size designed
/// for (33,000 a second over 1,100 instances); this is several times that.
constexpr double lines_a_second = 200.0;
/// Lines at once: all backend servers that become known at a start are told.
constexpr double most_at_once = 2'000.0;

} // namespace

log_permit log_rate_limiter::try_acquire(int event_number, time_point now) {
    const auto [found, is_new] = kinds_.try_emplace(event_number, allowance{most_at_once, now, 0});
    allowance& kind = found->second;
    const double since_s = to_milliseconds(now - kind.at) / 1000.0;
    kind.lines = std::min(most_at_once, kind.lines + since_s * lines_a_second);
    kind.at = now;
    if (kind.lines < 1.0) {
        ++kind.suppressed_lines;
        return {};
    }
    kind.lines -= 1.0;
    return {true, std::exchange(kind.suppressed_lines, 0)};
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
    return dropped_ - std::exchange(said_, dropped_);
}

} // namespace bamboostream
