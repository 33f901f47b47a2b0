// Command-line tool for operators.

#include "bamboostream/Configuration"
#include "bamboostream/Contracts"
#include "bamboostream/Core"
#include "bamboostream/Report"
#include "programs/ctl/operator_client.h"
#include "programs/ctl/slo_report.h"

#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <sstream>
#include <thread>

namespace json = boost::json;
using namespace bamboostream;
using namespace bamboostream::ctl;

namespace {

constexpr milliseconds poll_pause{100};

struct ctl_settings {
    std::string operators;
    std::string group;
    std::string command;
    std::string argument;
    std::string author = "operator";
    std::string format = "text";
    std::string id;
    std::int64_t base = -1;
    milliseconds timeout{10'000};
};

int fail(const std::string& why) {
    fmt::print(stderr, "bamboostreamctl: {}\n", why);
    return exit_code_failed;
}

int fail_unavailable(const std::string& why) {
    fmt::print(stderr, "bamboostreamctl: no instance answered: {}\n", why);
    return exit_code_unavailable;
}

std::optional<json::value> read_document(const std::string& file, std::string& why) {
    std::ifstream input(file);
    if (!input) {
        why = file + " can't be read";
        return std::nullopt;
    }
    const std::string text((std::istreambuf_iterator<char>(input)),
                           std::istreambuf_iterator<char>());
    auto value = parse_json(text, why);
    if (!value) {
        why = file + ": " + why;
    }
    return value;
}

class commands {
public:
    explicit commands(ctl_settings s) : s_(std::move(s)), client_(operator_addresses()) {}

    int config_validate() const {
        std::string why;
        const auto document = read_document(s_.argument, why);
        if (!document) {
            return fail(why);
        }
        std::vector<validation_error> errors;
        validate_document(*document, errors);
        for (const validation_error& mistake : errors) {
            fmt::print("{}\n", to_string(mistake));
        }
        fmt::print("{}\n", errors.empty() ? "valid" : "not valid");
        return errors.empty() ? exit_code_ok : exit_code_failed;
    }

    int config_submit() const {
        std::string why;
        const auto document = read_document(s_.argument, why);
        if (!document) {
            return fail(why);
        }
        const auto current = fetch_configuration(why);
        if (!current) {
            return fail_unavailable(why);
        }
        const auto changes = difference(current->at("document"), *document);
        return submit(changes, number_at(*current, "version"));
    }

    /// Cordons a failure domain, which takes it out of service; `restore` removes the cordon.
    int evacuate() const {
        return change_cordon(json::object{{"reason", "by bamboostreamctl evacuate"}});
    }
    int restore() const { return change_cordon(nullptr); }

    int config_show() const {
        std::string why;
        const auto current = fetch_configuration(why);
        if (!current) {
            return fail_unavailable(why);
        }
        fmt::print("{}\n", json::serialize(*current));
        return exit_code_ok;
    }

    int config_diff() const {
        std::string why;
        const auto document = read_document(s_.argument, why);
        if (!document) {
            return fail(why);
        }
        const auto current = fetch_configuration(why);
        if (!current) {
            return fail_unavailable(why);
        }
        for (const configuration_change& change : difference(current->at("document"), *document)) {
            fmt::print("{} {}\n", change.value.is_null() ? "-" : "~", change.entry);
        }
        return exit_code_ok;
    }

    int config_history() const { return print("/v1/configuration/history"); }
    int status() const { return print("/v1/status"); }

    /// Waits until every live instance has reached the given configuration version. After the
    /// timeout it lists the instances that have not, and fails.
    int config_wait() const {
        const std::int64_t wanted = std::atoll(s_.argument.c_str());
        const time_point until = monotonic_now() + s_.timeout;
        while (true) {
            std::string why;
            std::vector<std::string> lagging;
            const auto instances = client_.all_instances(why);
            for (const std::string& address : instances) {
                const auto answer = operator_client::ask_one(address, "GET", "/v1/status", "", why);
                const std::int64_t version =
                    answer ? number_at(answer->body, "configuration_version", -1) : -1;
                if (version < wanted) {
                    lagging.push_back(fmt::format("{} ({})", address,
                                                  answer ? std::to_string(version) : "silent"));
                }
            }
            if (lagging.empty() && !instances.empty()) {
                fmt::print("version {} is in force on {} instances\n", wanted, instances.size());
                return exit_code_ok;
            }
            if (monotonic_now() >= until) {
                for (const std::string& line : lagging) {
                    fmt::print("lags: {}\n", line);
                }
                return exit_code_failed;
            }
            std::this_thread::sleep_for(poll_pause);
        }
    }

    int drain() const {
        std::string why;
        const auto answer =
            operator_client::ask_one(client_.addresses().front(), "POST", "/v1/drain", "", why);
        if (!answer) {
            return fail_unavailable(why);
        }
        fmt::print("{}\n", answer->text);
        return answer->status == 200 ? exit_code_ok : exit_code_failed;
    }

    int explain() const {
        std::vector<log_line> lines;
        std::istringstream files(s_.argument);
        for (std::string file; std::getline(files, file, ',');) {
            std::ifstream input(file);
            if (!input) {
                return fail(file + " can't be read");
            }
            for (std::string text; std::getline(input, text);) {
                if (auto line = parse_log_line(text, file)) {
                    lines.push_back(std::move(*line));
                }
            }
        }
        const std::vector<log_line> explanation = explain_request(s_.command, lines);
        for (const log_line& line : explanation) {
            fmt::print("{} {} {} {} {}\n", line.time_ms, line.source, line.event, line.name,
                       line.detail);
        }
        return explanation.empty() ? fail("no line of these logs names the request") : exit_code_ok;
    }

    int report_slo() const {
        std::string why;
        const slo_report report = gather_slo_report(client_, why);
        if (report.answered.empty()) {
            return fail_unavailable(why);
        }
        fmt::print("{}", s_.format == "json"   ? as_json(report) + "\n"
                         : s_.format == "html" ? as_html(report)
                                               : as_text(report));
        return exit_code_ok;
    }

private:
    int submit(const std::vector<configuration_change>& changes, std::int64_t version) const {
        if (changes.empty()) {
            fmt::print("nothing to change; version {}\n", version);
            return exit_code_ok;
        }
        configuration_submission submission;
        submission.id = s_.id.empty() ? random_id() : s_.id;
        submission.base = s_.base >= 0 ? s_.base : version;
        submission.author = s_.author;
        submission.changes = changes;
        const std::string body = configuration_state::submission_record(submission);
        std::string why;
        const auto answer = client_.ask("POST", "/v1/configuration", body, why);
        if (!answer) {
            return fail_unavailable(why + "; the submission may stand, repeat it with --id " +
                                    submission.id);
        }
        fmt::print("{}\n", answer->text);
        return answer->status == 200 ? exit_code_ok : exit_code_failed;
    }

    int change_cordon(json::value wanted) const {
        std::string why;
        const auto current = fetch_configuration(why);
        if (!current) {
            return fail_unavailable(why);
        }
        json::value document = current->at("document");
        json::object& cordons = document.as_object()["cordons"].emplace_object();
        if (const json::value* known = current->at("document").as_object().if_contains("cordons")) {
            cordons = known->as_object();
        }
        if (wanted.is_null()) {
            cordons.erase(s_.command);
        } else if (!cordons.contains(s_.command)) {
            cordons[s_.command] = std::move(wanted);
        }
        return submit(difference(current->at("document"), document),
                      number_at(*current, "version"));
    }

    std::vector<std::string> operator_addresses() const {
        std::vector<std::string> out;
        std::string_view rest = s_.operators;
        while (!rest.empty()) {
            const std::size_t at = std::min(rest.find(','), rest.size());
            out.emplace_back(rest.substr(0, at));
            rest = rest.substr(std::min(at + 1, rest.size()));
        }
        return out;
    }

    std::optional<json::value> fetch_configuration(std::string& why) const {
        const auto answer = client_.ask("GET", "/v1/configuration", "", why);
        if (!answer || answer->status != 200) {
            return std::nullopt;
        }
        return answer->body;
    }

    int print(const std::string& target) const {
        std::string why;
        const auto answer = client_.ask("GET", target, "", why);
        if (!answer) {
            return fail_unavailable(why);
        }
        fmt::print("{}\n", answer->text);
        return exit_code_ok;
    }

    ctl_settings s_;
    operator_client client_;
};

/// A command and the function that executes it.
struct command_row {
    std::string_view group;
    std::string_view name;
    bool needs_argument;
    bool needs_operators;
    int (commands::*run)() const;
};
/// Matches any non-empty word in place of a command name.
constexpr std::string_view any_name = "*";
constexpr std::array command_table = {
    command_row{"config", "validate", true, true, &commands::config_validate},
    command_row{"config", "submit", true, true, &commands::config_submit},
    command_row{"config", "show", false, true, &commands::config_show},
    command_row{"config", "diff", true, true, &commands::config_diff},
    command_row{"config", "history", false, true, &commands::config_history},
    command_row{"config", "wait", true, true, &commands::config_wait},
    command_row{"status", "", false, true, &commands::status},
    command_row{"drain", "", false, true, &commands::drain},
    command_row{"evacuate", any_name, false, true, &commands::evacuate},
    command_row{"restore", any_name, false, true, &commands::restore},
    command_row{"report", "slo", false, true, &commands::report_slo},
    command_row{"explain", any_name, true, false, &commands::explain},
};

const command_row* find_command(const ctl_settings& s) {
    for (const command_row& row : command_table) {
        if (row.group == s.group &&
            (row.name == s.command || (row.name == any_name && !s.command.empty()))) {
            return &row;
        }
    }
    return nullptr;
}

} // namespace

int main(int argc, char** argv) {
    ctl_settings values;
    settings s(
        "bamboostreamctl",
        "Operators' commands: config validate|submit|show|diff|history|wait, status, drain, "
        "evacuate FAILURE_DOMAIN, restore FAILURE_DOMAIN, report slo, explain REQUEST|DIGEST "
        "LOG[,LOG...]");
    s.text("operators", &values.operators,
           "Operators' addresses of instances, separated by commas");
    s.text("author", &values.author, "Author of a submission");
    s.text("id", &values.id, "Id of a submission that is repeated");
    s.number("base", &values.base, "Version a submission is based on; -1 for the one in force", -1,
             INT64_MAX);
    s.choice("format", &values.format, "Form of a report", {"text", "json", "html"});
    s.duration_ms("timeout-ms", &values.timeout, "Time for 'config wait'", 0, 3'600'000);
    s.positional("group", &values.group,
                 "config, status, drain, evacuate, restore, report or explain", true);
    s.positional("command", &values.command, "What to do, a failure domain, or the id of a request",
                 false);
    s.positional("argument", &values.argument, "File, version or logs", false);
    s.check([&]() -> std::string {
        const command_row* row = find_command(values);
        if (row == nullptr) {
            return "no such command: " + values.group + " " + values.command;
        }
        if (row->needs_operators && values.operators.empty()) {
            return "the command needs --operators";
        }
        return row->needs_argument && values.argument.empty() ? "the command needs an argument"
                                                              : "";
    });
    if (s.parse(argc, argv) != settings_outcome::run) {
        return s.exit_code();
    }
    const commands all(values);
    return (all.*find_command(values)->run)();
}
