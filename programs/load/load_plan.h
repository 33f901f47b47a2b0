#pragma once

#include "bamboostream/Core"

#include <string>
#include <string_view>
#include <vector>

namespace bamboostream::load {

/// A workspace on whose behalf requests are sent.
struct load_workspace {
    std::string name;
    /// Bearer key.
    std::string key;
    /// Relative share of all requests.
    double share = 1.0;
    /// Configured scheduling weight, used for the fairness index.
    double weight = 1.0;
};

/// One request to be sent.
struct planned_request {
    /// Index into `load_options::workspaces`.
    std::size_t workspace = 0;
    /// Time of sending, relative to the start.
    duration at{0};
    /// Idempotency key.
    std::string key;
    std::string kind;
    std::string prompt;
    std::uint32_t prompt_tokens = 0;
    bool is_service_call = false;
    bool restart_on_loss = false;
};

/// Parameters of the load.
struct load_options {
    std::string scenario = "rush";
    std::int64_t generations = 300;
    std::int64_t service_calls = 50;
    milliseconds window{5'000};
    std::int64_t seed = 1;
    std::vector<std::string> kinds;
    std::vector<load_workspace> workspaces;
};

/// Returns the requests to be sent, sorted by time and determined by the seed except for their
/// keys, which contain the time `now`. Scenario "rush" sends two thirds of the generations in the
/// first third of the window; "steady" and "mixed" spread them evenly. Kinds of output alternate in
/// every scenario, in the order of `load_options::kinds`.
std::vector<planned_request> make_plan(const load_options& options, wall_time now);

/// Parses a list of "name:key[:share[:weight]]" separated by commas. Returns an empty list and sets
/// `mistake` when the text is malformed.
std::vector<load_workspace> parse_workspaces(std::string_view text, std::string& mistake);

/// Splits a list at its commas.
std::vector<std::string> split_list(std::string_view text);

} // namespace bamboostream::load
