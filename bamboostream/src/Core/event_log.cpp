#include "bamboostream/src/Core/event_log.h"

#include "bamboostream/src/Core/clock.h"

#include <atomic>
#include <boost/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace bamboostream {

namespace {
/// A pipe that is ready to be written takes this much at once without blocking (PIPE_BUF).
constexpr std::size_t most_line_bytes = 4'000;
/// Lines that the reader of the log did not make room for.
std::atomic<std::uint64_t> dropped_lines{0};

/// Writes a line with one call, so that lines of several threads don't mix. A reader that stands
/// still would block the process and with it every request; the line is dropped then, and counted.
void write_unless_full(std::string& line) {
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) {
        ++dropped_lines;
        return;
    }
    if (line.size() > most_line_bytes) {
        line.resize(most_line_bytes - 1);
        line += '\n';
    }
    if (write(STDOUT_FILENO, line.data(), line.size()) < 0) {
        ++dropped_lines;
    }
}

std::atomic<log_format> current_format{log_format::text};
std::atomic<event_level> lowest_level{event_level::info};
} // namespace

void configure_log(log_format format, event_level lowest) {
    current_format = format;
    lowest_level = lowest;
}

std::uint64_t dropped_log_lines() {
    return dropped_lines.load();
}

namespace internal {

bool log_enabled(event_level level) {
    return level >= lowest_level.load();
}

void write_log_line(const event_kind& kind, std::string_view detail) {
    std::string line;
    if (current_format.load() == log_format::json) {
        line = boost::json::serialize(boost::json::object{{"time_ms", wall_now()},
                                                          {"event", kind.number},
                                                          {"level", to_string(kind.level)},
                                                          {"name", kind.name},
                                                          {"detail", detail}});
        line += '\n';
    } else {
        line = fmt::format("{} {} {} {} {}\n", wall_now(), kind.number, to_string(kind.level),
                           kind.name, detail);
    }
    write_unless_full(line);
}

} // namespace internal
} // namespace bamboostream
