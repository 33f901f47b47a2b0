#pragma once

#include "bamboostream/src/Core/clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// What the program should do after parsing its settings.
enum class settings_outcome : std::uint8_t { run, exit_ok, exit_bad_settings };

/// Exit codes shared by all programs; docs/OPERATIONS.md lists them.
inline constexpr int exit_code_ok = 0;
inline constexpr int exit_code_failed = 1;
inline constexpr int exit_code_bad_settings = 2;
inline constexpr int exit_code_unavailable = 3;

/// The settings of one program. Each setting is a command-line option and an environment variable
/// `BAMBOOSTREAM_…`. All errors are printed together before the program exits with code 2.
///
/// Example:
/// ```
/// settings s{"standin-log", "Append-only log service"};
/// s.address("listen", &listen, "Address to listen on");
/// if (s.parse(argc, argv) != settings_outcome::run) return s.exit_code();
/// ```
class settings {
public:
    settings(std::string program, std::string purpose);
    ~settings();
    settings(const settings&) = delete;
    settings& operator=(const settings&) = delete;

    /// A string, which must not be empty when `required`.
    void text(std::string name, std::string* value, std::string help, bool required = false);
    /// An address "ip:port"; with port 0 the operating system chooses the port.
    void address(std::string name, std::string* value, std::string help, bool required = false);
    /// An integer within [min_value, max_value].
    void number(std::string name, std::int64_t* value, std::string help, std::int64_t min_value,
                std::int64_t max_value);
    /// A floating-point number within [min_value, max_value].
    void real(std::string name, double* value, std::string help, double min_value,
              double max_value);
    /// A duration in milliseconds within [min_value, max_value].
    void duration_ms(std::string name, milliseconds* value, std::string help,
                     std::int64_t min_value, std::int64_t max_value);
    /// One of the given choices.
    void choice(std::string name, std::string* value, const std::string& help,
                std::vector<std::string> choices);
    /// A Boolean option without an argument; the environment variable takes 0 or 1.
    void flag(std::string name, bool* value, std::string help);
    /// A positional argument.
    void positional(std::string name, std::string* value, std::string help, bool required);
    /// A check that involves several settings; it returns an error message or an empty string.
    /// Checks run only when every single setting is valid.
    void check(std::function<std::string()> rule);

    /// Reads options and environment, adds `--log-format` and `--log-level`, prints help, version
    /// or all errors, and configures the log.
    settings_outcome parse(int argc, const char* const* argv);
    /// The exit code when `parse` didn't return `run`.
    int exit_code() const { return exit_code_; }

private:
    struct entry;
    entry& add(std::string name, std::string help, std::string initial,
               std::function<std::string(const std::string&)> assign);
    void collect_errors(std::vector<std::string>& errors) const;

    std::string program_;
    std::string purpose_;
    std::vector<std::unique_ptr<entry>> entries_;
    std::vector<std::function<std::string()>> rules_;
    int exit_code_ = exit_code_ok;
};

/// True when `text` is "ip:port" with a numeric IP.
bool is_address(std::string_view text);

} // namespace bamboostream
