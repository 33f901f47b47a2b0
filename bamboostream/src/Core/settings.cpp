#include "bamboostream/src/Core/settings.h"

#include "bamboostream/src/Core/event_log.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <fmt/ranges.h>

namespace bamboostream {

/// One setting: its name, the text given for it, and a function that parses and stores the text and
/// returns an error message or an empty string.
struct settings::entry {
    std::string name;
    std::string help;
    std::string raw_value;
    std::function<std::string(const std::string&)> assign;
    bool is_flag = false;
    bool is_positional = false;
    bool required = false;
    bool flag_present = false;
};

namespace {

std::string environment_name(std::string_view name) {
    std::string out = "BAMBOOSTREAM_";
    for (const char c : name) {
        out += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return out;
}

template <class Number> bool parse_number(const std::string& text, Number& value) {
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc{} && result.ptr == end;
}

template <class Number>
std::string parse_in_range(const std::string& text, Number min_value, Number max_value,
                           Number& value) {
    Number parsed{};
    if (!parse_number(text, parsed) || parsed < min_value || parsed > max_value) {
        return fmt::format("must be a number from {} to {}", min_value, max_value);
    }
    value = parsed;
    return {};
}

} // namespace

bool is_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const std::string host(text.substr(0, colon));
    in_addr v4{};
    int port = -1;
    return inet_pton(AF_INET, host.c_str(), &v4) == 1 &&
           parse_number(std::string(text.substr(colon + 1)), port) && port >= 0 && port <= 65535;
}

settings::settings(std::string program, std::string purpose)
    : program_(std::move(program)), purpose_(std::move(purpose)) {}

settings::~settings() = default;

settings::entry& settings::add(std::string name, std::string help, std::string initial,
                               std::function<std::string(const std::string&)> assign) {
    auto added = std::make_unique<entry>();
    added->name = std::move(name);
    added->help = std::move(help);
    added->raw_value = std::move(initial);
    added->assign = std::move(assign);
    entries_.push_back(std::move(added));
    return *entries_.back();
}

void settings::text(std::string name, std::string* value, std::string help, bool required) {
    auto assign = [value](const std::string& raw_value) {
        *value = raw_value;
        return std::string{};
    };
    add(std::move(name), std::move(help), *value, assign).required = required;
}

void settings::address(std::string name, std::string* value, std::string help, bool required) {
    auto assign = [value](const std::string& raw_value) -> std::string {
        if (!raw_value.empty() && !is_address(raw_value)) {
            return "must be ip:port with a numeric IP";
        }
        *value = raw_value;
        return {};
    };
    add(std::move(name), std::move(help), *value, assign).required = required;
}

void settings::number(std::string name, std::int64_t* value, std::string help,
                      std::int64_t min_value, std::int64_t max_value) {
    add(std::move(name), std::move(help), std::to_string(*value),
        [=](const std::string& raw_value) {
            return parse_in_range(raw_value, min_value, max_value, *value);
        });
}

void settings::real(std::string name, double* value, std::string help, double min_value,
                    double max_value) {
    add(std::move(name), std::move(help), fmt::format("{}", *value),
        [=](const std::string& raw_value) {
            return parse_in_range(raw_value, min_value, max_value, *value);
        });
}

void settings::duration_ms(std::string name, milliseconds* value, std::string help,
                           std::int64_t min_value, std::int64_t max_value) {
    auto assign = [=](const std::string& raw_value) {
        std::int64_t count = value->count();
        std::string error = parse_in_range(raw_value, min_value, max_value, count);
        *value = milliseconds(count);
        return error;
    };
    add(std::move(name), std::move(help), std::to_string(value->count()), assign);
}

void settings::choice(std::string name, std::string* value, const std::string& help,
                      std::vector<std::string> choices) {
    const std::string choice_list = fmt::format("{}", fmt::join(choices, "|"));
    auto assign = [value, choices = std::move(choices), choice_list](const std::string& raw_value) {
        if (std::find(choices.begin(), choices.end(), raw_value) == choices.end()) {
            return fmt::format("must be one of {}", choice_list);
        }
        *value = raw_value;
        return std::string{};
    };
    add(std::move(name), help + " (" + choice_list + ")", *value, assign);
}

void settings::flag(std::string name, bool* value, std::string help) {
    auto assign = [value](const std::string& raw_value) -> std::string {
        if (raw_value != "0" && raw_value != "1") {
            return "must be 0 or 1";
        }
        *value = raw_value == "1";
        return {};
    };
    add(std::move(name), std::move(help), *value ? "1" : "0", assign).is_flag = true;
}

void settings::positional(std::string name, std::string* value, std::string help, bool required) {
    text(std::move(name), value, std::move(help), required);
    entries_.back()->is_positional = true;
}

void settings::check(std::function<std::string()> rule) {
    rules_.push_back(std::move(rule));
}

void settings::collect_errors(std::vector<std::string>& errors) const {
    for (const auto& entry : entries_) {
        const std::string label = entry->is_positional ? entry->name : "--" + entry->name;
        if (entry->required && entry->raw_value.empty()) {
            errors.push_back(fmt::format("{}: is required", label));
            continue;
        }
        const std::string error = entry->assign(entry->raw_value);
        if (!error.empty()) {
            errors.push_back(fmt::format("{}: '{}' {}", label, entry->raw_value, error));
        }
    }
    if (!errors.empty()) {
        return;
    }
    for (const auto& rule : rules_) {
        std::string error = rule();
        if (!error.empty()) {
            errors.push_back(std::move(error));
        }
    }
}

settings_outcome settings::parse(int argc, const char* const* argv) {
    std::string format = "text";
    std::string level = "info";
    choice("log-format", &format, "Form of the log lines on standard output", {"text", "json"});
    choice("log-level", &level, "Lowest level logged", {"debug", "info", "warning", "error"});

    CLI::App app{purpose_, program_};
    app.set_version_flag("--version", program_ + " " + BAMBOOSTREAM_VERSION);
    for (const auto& entry : entries_) {
        if (entry->is_flag) {
            app.add_flag("--" + entry->name, entry->flag_present,
                         entry->help + " [env " + environment_name(entry->name) + "]");
            if (const char* value = std::getenv(environment_name(entry->name).c_str())) {
                entry->raw_value = value;
            }
            continue;
        }
        const std::string option = entry->is_positional ? entry->name : "--" + entry->name;
        app.add_option(option, entry->raw_value, entry->help)
            ->envname(environment_name(entry->name))
            ->capture_default_str();
    }
    std::vector<std::string> errors;
    try {
        app.parse(argc, argv);
    } catch (const CLI::Success& done) {
        exit_code_ = app.exit(done);
        return settings_outcome::exit_ok;
    } catch (const CLI::ParseError& error) {
        errors.emplace_back(error.what());
    }
    for (const auto& entry : entries_) {
        if (entry->is_flag && entry->flag_present) {
            entry->raw_value = "1";
        }
    }
    collect_errors(errors);
    if (!errors.empty()) {
        fmt::print(stderr, "{}: {} mistake(s) in the settings:\n", program_, errors.size());
        for (const std::string& error : errors) {
            fmt::print(stderr, "  {}\n", error);
        }
        exit_code_ = exit_code_bad_settings;
        return settings_outcome::exit_bad_settings;
    }
    const auto lowest = level == "debug"     ? event_level::debug
                        : level == "warning" ? event_level::warning
                        : level == "error"   ? event_level::error
                                             : event_level::info;
    configure_log(format == "json" ? log_format::json : log_format::text, lowest);
    return settings_outcome::run;
}

} // namespace bamboostream
