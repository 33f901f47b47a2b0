#include "programs/ctl/slo_report.h"

#include "bamboostream/Configuration"
#include "bamboostream/Contracts"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <map>

namespace bamboostream::ctl {

namespace json = boost::json;

namespace {

struct burn_window {
    std::string_view name;
    std::int64_t minutes;
};
constexpr std::array<burn_window, 4> windows = {
    burn_window{"5m", 5}, {"1h", 60}, {"6h", 360}, {"24h", 1440}};

struct objective_column {
    std::string_view name;
    /// Index of the objective's column in a bucket as sent by instances.
    std::size_t column;
};
constexpr std::array<objective_column, 4> objectives = {
    objective_column{"first_token", 2}, {"inter_token", 3}, {"stall", 4}, {"completion", 5}};

constexpr std::size_t plotted_minutes = 60;

struct workspace_pool {
    std::string workspace;
    std::string pool;
    auto operator<=>(const workspace_pool&) const = default;
};

/// Sums of buckets over instances, by age in minutes. Column 1 holds the number of requests, the
/// columns after it the bad requests by objective.
using buckets_by_age = std::map<std::int64_t, std::array<std::uint64_t, 6>>;

void add_burn_buckets(const json::value& body, std::map<workspace_pool, buckets_by_age>& all) {
    const std::int64_t now = number_at(body, "minute_now");
    for (const json::value& row : body.at("rows").as_array()) {
        buckets_by_age& into = all[{text_at(row, "workspace"), text_at(row, "pool")}];
        for (const json::value& bucket : row.at("buckets").as_array()) {
            const json::array& columns = bucket.as_array();
            auto& sums = into[now - columns[0].to_number<std::int64_t>()];
            for (std::size_t i = 1; i < sums.size() && i < columns.size(); ++i) {
                sums[i] += columns[i].to_number<std::uint64_t>();
            }
        }
    }
}

burn_line make_burn_line(const workspace_pool& key, const objective_column& kind, double target,
                         const buckets_by_age& buckets) {
    burn_line line{key.workspace, key.pool, std::string(kind.name), target, {}, 1.0, {}};
    line.minutes.assign(plotted_minutes, 0.0);
    for (const burn_window& window : windows) {
        burn_figure figure;
        figure.window = window.name;
        for (const auto& [age, sums] : buckets) {
            if (age < window.minutes) {
                figure.requests += sums[1];
                figure.bad += sums[kind.column];
            }
        }
        if (figure.requests > 0) {
            const double share =
                static_cast<double>(figure.bad) / static_cast<double>(figure.requests);
            figure.burn = share / (1.0 - target);
        }
        line.budget_left = 1.0 - figure.burn;
        line.windows.push_back(figure);
    }
    for (const auto& [age, sums] : buckets) {
        if (age >= 0 && age < static_cast<std::int64_t>(plotted_minutes)) {
            line.minutes[plotted_minutes - 1 - static_cast<std::size_t>(age)] =
                static_cast<double>(sums[kind.column]);
        }
    }
    return line;
}

double target_of(const json::value& document, const workspace_pool& key) {
    std::vector<validation_error> ignored;
    const auto parse = [&](std::string_view section, const std::string& name) {
        const json::value* found = document.as_object().if_contains(section);
        const json::value* entry = found != nullptr && found->is_object()
                                       ? found->get_object().if_contains(name)
                                       : nullptr;
        const json::value* o = entry != nullptr && entry->is_object()
                                   ? entry->get_object().if_contains("objectives")
                                   : nullptr;
        return o == nullptr ? 0.0 : real_at(*o, "target", 0.95);
    };
    const double own = parse("workspaces", key.workspace);
    const double pool = parse("pools", key.pool);
    return own > 0.0 ? own : pool > 0.0 ? pool : 0.95;
}

std::string sparkline(const std::vector<double>& values) {
    const double top = std::max(1.0, *std::max_element(values.begin(), values.end()));
    std::string points;
    for (std::size_t i = 0; i < values.size(); ++i) {
        points += fmt::format("{},{:.1f} ", i * 4, 38.0 - 36.0 * values[i] / top);
    }
    return fmt::format("<svg width=\"240\" height=\"40\" role=\"img\" aria-label=\"bad requests a "
                       "minute, last hour\"><polyline fill=\"none\" stroke=\"#a33\" points=\"{}\"/>"
                       "</svg>",
                       points);
}

} // namespace

slo_report gather_slo_report(const operator_client& client, std::string& why) {
    slo_report report;
    const auto configuration = client.ask("GET", "/v1/configuration", "", why);
    if (!configuration || !configuration->body.is_object()) {
        return report;
    }
    const json::value document = configuration->body.at("document");
    std::map<workspace_pool, buckets_by_age> all;
    for (const std::string& address : client.all_instances(why)) {
        std::string reason;
        const auto answer = operator_client::ask_one(address, "GET", "/v1/report/burn", "", reason);
        if (!answer || answer->status != 200) {
            report.silent.push_back(address);
            continue;
        }
        report.answered.push_back(address);
        add_burn_buckets(answer->body, all);
    }
    for (const auto& [key, buckets] : all) {
        for (const objective_column& kind : objectives) {
            report.lines.push_back(make_burn_line(key, kind, target_of(document, key), buckets));
        }
    }
    std::stable_sort(
        report.lines.begin(), report.lines.end(),
        [](const burn_line& a, const burn_line& b) { return a.budget_left < b.budget_left; });
    return report;
}

std::string as_text(const slo_report& report) {
    std::string out =
        fmt::format("{:<14} {:<12} {:<12} {:>7}", "workspace", "pool", "objective", "target");
    for (const burn_window& window : windows) {
        out += fmt::format(" {:>8}", fmt::format("burn {}", window.name));
    }
    out += fmt::format(" {:>12}\n", "budget left");
    for (const burn_line& line : report.lines) {
        out += fmt::format("{:<14} {:<12} {:<12} {:>7.4f}", line.workspace, line.pool,
                           line.objective, line.target);
        for (const burn_figure& figure : line.windows) {
            out += fmt::format(" {:>8.2f}", figure.burn);
        }
        out += fmt::format(" {:>11.1f}%\n", 100.0 * line.budget_left);
    }
    out +=
        fmt::format("\n{} instances answered, {} did not. Requests served by instances that have "
                    "been replaced are not counted: instances keep nothing.\n",
                    report.answered.size(), report.silent.size());
    return out;
}

std::string as_json(const slo_report& report) {
    json::array lines;
    for (const burn_line& line : report.lines) {
        json::array figures;
        for (const burn_figure& figure : line.windows) {
            figures.push_back(json::object{{"window", figure.window},
                                           {"requests", figure.requests},
                                           {"bad", figure.bad},
                                           {"burn", figure.burn}});
        }
        lines.push_back(json::object{{"workspace", line.workspace},
                                     {"pool", line.pool},
                                     {"objective", line.objective},
                                     {"target", line.target},
                                     {"windows", std::move(figures)},
                                     {"budget_left", line.budget_left}});
    }
    json::array answered(report.answered.begin(), report.answered.end());
    json::array silent(report.silent.begin(), report.silent.end());
    return json::serialize(json::object{{"lines", std::move(lines)},
                                        {"answered", std::move(answered)},
                                        {"silent", std::move(silent)}});
}

std::string as_html(const slo_report& report) {
    std::string out = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
                      "Service-level burn</title><style>body{font-family:sans-serif}td,th{"
                      "padding:.3em .8em;text-align:right}td:first-child{text-align:left}"
                      ".over{color:#a00;font-weight:bold}</style></head><body>"
                      "<h1>Service-level burn</h1><table><tr><th>workspace / pool / objective</th>";
    for (const burn_window& window : windows) {
        out += fmt::format("<th>burn {}</th>", window.name);
    }
    out += "<th>budget left</th><th>bad requests, last hour</th></tr>\n";
    for (const burn_line& line : report.lines) {
        out += fmt::format("<tr><td>{} / {} / {}</td>", line.workspace, line.pool, line.objective);
        for (const burn_figure& figure : line.windows) {
            out += fmt::format("<td{}>{:.2f}</td>", figure.burn > 1.0 ? " class=\"over\"" : "",
                               figure.burn);
        }
        out += fmt::format("<td>{:.1f} %</td><td>{}</td></tr>\n", 100.0 * line.budget_left,
                           sparkline(line.minutes));
    }
    out += fmt::format("</table><p>{} instances answered, {} did not. Requests served by replaced "
                       "instances are not counted.</p></body></html>\n",
                       report.answered.size(), report.silent.size());
    return out;
}

} // namespace bamboostream::ctl
