#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace bamboostream {

/// Monotonic time: used for every decision inside one process.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Wall time in milliseconds since the Unix epoch: used only for values that processes exchange
/// (key ages, expiry of handles, start stamps). Deployments keep clocks within one second of each
/// other.
using wall_time = std::int64_t;

/// Reads the monotonic clock. Only the outer layers (daemons, adapters) call it; functions that
/// make decisions take the time as an argument.
inline time_point monotonic_now() {
    return std::chrono::steady_clock::now();
}

/// Reads the wall clock in milliseconds since the Unix epoch. Same rule as `monotonic_now`.
inline wall_time wall_now() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Time since this machine booted, including time in which it was suspended. Same rule as
/// `monotonic_now`.
inline milliseconds time_since_boot() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<milliseconds>(seconds(now.tv_sec) +
                                                    std::chrono::nanoseconds(now.tv_nsec));
}

/// Converts a duration to fractional milliseconds.
inline double to_milliseconds(duration d) {
    return std::chrono::duration<double, std::milli>(d).count();
}

/// Converts fractional milliseconds to a duration.
inline duration from_milliseconds(double ms) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace bamboostream
