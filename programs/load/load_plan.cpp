#include "programs/load/load_plan.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <random>

namespace bamboostream::load {

namespace {

std::vector<std::string> split(std::string_view text, char separator) {
    std::vector<std::string> out;
    while (!text.empty()) {
        const std::size_t at = std::min(text.find(separator), text.size());
        out.emplace_back(text.substr(0, at));
        text = text.substr(std::min(at + 1, text.size()));
    }
    return out;
}

double to_number(const std::string& text) {
    double value = 0.0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// Returns the time at which request `i` of `count` is sent, relative to the start.
duration send_time(const load_options& options, std::size_t i, std::size_t count,
                   std::mt19937_64& random) {
    const double window_ms = to_milliseconds(options.window);
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    if (options.scenario == "rush") {
        // Two thirds of the requests are sent in the first third of the window.
        const double u = uniform(random);
        return from_milliseconds(window_ms * (u < 0.67 ? u / 2.0 : u));
    }
    const double position = (static_cast<double>(i) + uniform(random)) / static_cast<double>(count);
    return from_milliseconds(window_ms * position);
}

} // namespace

std::vector<std::string> split_list(std::string_view text) {
    return split(text, ',');
}

std::vector<load_workspace> parse_workspaces(std::string_view text, std::string& mistake) {
    std::vector<load_workspace> out;
    for (const std::string& part : split(text, ',')) {
        const std::vector<std::string> fields = split(part, ':');
        if (fields.size() < 2) {
            mistake = "--workspaces: '" + part + "' is not name:key[:share[:weight]]";
            return {};
        }
        load_workspace workspace{fields[0], fields[1], 1.0, 1.0};
        workspace.share = fields.size() > 2 ? to_number(fields[2]) : 1.0;
        workspace.weight = fields.size() > 3 ? to_number(fields[3]) : 1.0;
        out.push_back(std::move(workspace));
    }
    if (out.empty()) {
        mistake = "--workspaces: names at least one workspace";
    }
    return out;
}

std::vector<planned_request> make_plan(const load_options& options, wall_time now) {
    std::mt19937_64 random(static_cast<std::uint64_t>(options.seed));
    std::vector<double> shares;
    for (const load_workspace& workspace : options.workspaces) {
        shares.push_back(workspace.share);
    }
    std::discrete_distribution<std::size_t> pick_workspace(shares.begin(), shares.end());
    std::uniform_int_distribution<std::uint32_t> prompt_tokens(24, 160);
    std::vector<planned_request> plan;
    const auto generations = static_cast<std::size_t>(options.generations);
    const std::size_t count = generations + static_cast<std::size_t>(options.service_calls);
    for (std::size_t i = 0; i < count; ++i) {
        planned_request request;
        request.workspace = pick_workspace(random);
        request.at = send_time(options, i, count, random);
        request.is_service_call = i >= generations;
        request.key = make_uuid_v7(now);
        request.kind = options.kinds[i % options.kinds.size()];
        request.prompt_tokens = prompt_tokens(random);
        request.prompt = fmt::format("Request {} of seed {}: {}", i, options.seed, random());
        request.restart_on_loss = i % 4 == 0;
        if (request.is_service_call) {
            request.at = from_milliseconds(to_milliseconds(options.window) *
                                           static_cast<double>(i - generations) /
                                           static_cast<double>(options.service_calls));
        }
        plan.push_back(std::move(request));
    }
    std::sort(plan.begin(), plan.end(),
              [](const planned_request& a, const planned_request& b) { return a.at < b.at; });
    return plan;
}

} // namespace bamboostream::load
