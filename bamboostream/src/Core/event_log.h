#pragma once

#include "bamboostream/src/Core/event_catalogue.h"

#include <fmt/format.h>
#include <string>
#include <string_view>
#include <utility>

namespace bamboostream {

/// Format of the log lines on standard output.
enum class log_format : std::uint8_t { text, json };

/// Sets the format and the lowest level that is written. Called once at program start.
void configure_log(log_format format, event_level min_level);

/// Number of lines that were dropped because nobody read standard output.
std::uint64_t dropped_log_lines();
/// Writes pending lines as far as standard output accepts them without blocking. Called
/// periodically and before the program exits.
void flush_log();

namespace internal {
bool log_enabled(event_level level);
void write_log_line(const event_kind& kind, std::string_view detail);
} // namespace internal

/// Logs one event with a detail formatted by fmt. When the level is disabled, this costs one
/// comparison. Thread-safe; never blocks on the reader of standard output.
///
/// Example: `log_event(events::backend_down, "backend={} reason={}", id.text(), why.text);`
template <class... Args>
void log_event(const event_kind& kind, fmt::format_string<Args...> format, Args&&... args) {
    if (internal::log_enabled(kind.level)) {
        internal::write_log_line(kind, fmt::format(format, std::forward<Args>(args)...));
    }
}

} // namespace bamboostream
