#include "bench/policy/report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <map>

namespace bamboostream::bench {

namespace json = boost::json;

namespace {

struct group_key {
    std::string workload;
    int load_percent;
    auto operator<=>(const group_key&) const = default;
};
using group = std::map<std::string, std::vector<const run_measures*>>;

std::map<group_key, group> group_rows(const std::vector<result_row>& rows) {
    std::map<group_key, group> out;
    for (const result_row& row : rows) {
        out[{row.workload, row.load_percent}][row.policy].push_back(&row.measures);
    }
    return out;
}

double median(const std::vector<const run_measures*>& runs, double run_measures::*member) {
    std::vector<double> values;
    for (const run_measures* run : runs) {
        values.push_back(run->*member);
    }
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2.0;
}

} // namespace

std::string format_table(const std::vector<result_row>& rows) {
    std::string out;
    for (const auto& [key, policies] : group_rows(rows)) {
        fmt::format_to(std::back_inserter(out), "\n{} at {} %\n{:<22}", key.workload,
                       key.load_percent, "policy");
        static constexpr std::array<std::string_view, 15> short_names = {
            "preempt", "sil99", "silsum", "itl99", "itl999", "itl9999", "ft95", "sft999",
            "tok/s",   "jain",  "gap",    "refus", "wrong",  "return",  "done"};
        for (const std::string_view name : short_names) {
            fmt::format_to(std::back_inserter(out), "{:>9}", name);
        }
        out += '\n';
        for (const std::string_view name : policy_names) {
            const auto found = policies.find(std::string(name));
            if (found == policies.end()) {
                continue;
            }
            fmt::format_to(std::back_inserter(out), "{:<22}", name);
            for (const measure_column& column : measure_columns) {
                const double value = median(found->second, column.member);
                const int digits = value < 2.0 ? 3 : 0;
                fmt::format_to(std::back_inserter(out), "{:>9.{}f}", value, digits);
            }
            out += '\n';
        }
    }
    return out;
}

void write_json(const std::vector<result_row>& rows, const std::string& file) {
    json::array list;
    for (const result_row& row : rows) {
        json::object object{{"workload", row.workload},
                            {"load_percent", row.load_percent},
                            {"policy", row.policy},
                            {"seed", row.seed}};
        for (const measure_column& column : measure_columns) {
            object[column.name] = row.measures.*column.member;
        }
        list.push_back(std::move(object));
    }
    json::object units;
    for (const measure_column& column : measure_columns) {
        units[column.name] = column.unit;
    }
    std::ofstream(file) << json::serialize(
                               json::object{{"units", std::move(units)}, {"rows", std::move(list)}})
                        << '\n';
}

void write_plots(const std::vector<result_row>& rows, const std::string& folder) {
    std::filesystem::create_directories(folder);
    const auto groups = group_rows(rows);
    static constexpr std::array<std::string_view, 6> colours = {"#bbb", "#999", "#777",
                                                                "#555", "#2a6", "#26a"};
    constexpr int bar = 10;
    constexpr int gap = 30;
    constexpr int height = 220;
    const auto bars = static_cast<int>(policy_names.size());
    for (const measure_column& column : measure_columns) {
        double top = 1e-9;
        for (const auto& [key, policies] : groups) {
            for (const auto& [name, runs] : policies) {
                top = std::max(top, median(runs, column.member));
            }
        }
        const int width = static_cast<int>(groups.size()) * (bars * bar + gap) + 200;
        std::string svg = fmt::format(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
            "font-family=\"sans-serif\" font-size=\"10\"><text x=\"10\" y=\"15\">{} ({}), medians, "
            "top {:.3g}</text>\n",
            width, height + 120, column.name, column.unit, top);
        int x = 20;
        for (const auto& [key, policies] : groups) {
            for (std::size_t p = 0; p < policy_names.size(); ++p) {
                const auto found = policies.find(std::string(policy_names[p]));
                const double value =
                    found == policies.end() ? 0.0 : median(found->second, column.member);
                const double tall = (height - 20) * value / top;
                fmt::format_to(std::back_inserter(svg),
                               "<rect x=\"{}\" y=\"{:.1f}\" width=\"{}\" height=\"{:.1f}\" "
                               "fill=\"{}\"/>\n",
                               x + static_cast<int>(p) * bar, height - tall, bar - 1, tall,
                               colours[p]);
            }
            fmt::format_to(std::back_inserter(svg),
                           "<text transform=\"translate({},{}) rotate(40)\">{} {} %</text>\n",
                           x + 10, height + 12, key.workload, key.load_percent);
            x += bars * bar + gap;
        }
        for (std::size_t p = 0; p < policy_names.size(); ++p) {
            fmt::format_to(std::back_inserter(svg),
                           "<rect x=\"{0}\" y=\"{1}\" width=\"9\" height=\"9\" fill=\"{2}\"/>"
                           "<text x=\"{3}\" y=\"{4}\">{5}</text>\n",
                           width - 160, 30 + 14 * p, colours[p], width - 145, 38 + 14 * p,
                           policy_names[p]);
        }
        svg += "</svg>\n";
        std::ofstream(folder + "/" + std::string(column.name) + ".svg") << svg;
    }
}

} // namespace bamboostream::bench
