#pragma once

#include "bamboostream/src/Core/event_catalogue.h"

#include <fmt/format.h>
#include <string>
#include <string_view>
#include <utility>

namespace bamboostream {

/// How log lines are written on standard output.
enum class log_format : std::uint8_t { text, json };

/// Sets the format and the lowest level written. Called once at the start of a program.
void configure_log(log_format format, event_level min_level);

/// Lines that were dropped because nobody read standard output.
std::uint64_t dropped_log_lines();
/// Writes what still waits, as far as the reader takes it; called now and then and at the end.
void flush_log();

namespace internal {
bool log_enabled(event_level level);
void write_log_line(const event_kind& kind, std::string_view detail);
} // namespace internal

/// Writes one numbered event with a detail built by fmt. Costs one comparison when the level is
/// not wanted.
///
/// Example: `log_event(events::backend_down, "backend={} reason={}", id.text(), why.text);`
template <class... Args>
void log_event(const event_kind& kind, fmt::format_string<Args...> format, Args&&... args) {
    if (internal::log_enabled(kind.level)) {
        internal::write_log_line(kind, fmt::format(format, std::forward<Args>(args)...));
    }
}

} // namespace bamboostream
