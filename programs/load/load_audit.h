#pragma once

#include "bamboostream/Client"
#include "programs/load/load_plan.h"

#include <boost/json.hpp>
#include <map>
#include <string>
#include <vector>

namespace bamboostream::load {

/// The results of one planned request over all its attempts.
struct request_record {
    planned_request plan;
    completion_result completion;
    service_result service;
    std::uint32_t refusals = 0;
    /// Retries after a refusal, and those of them that were not refused again.
    std::uint32_t returns = 0;
    std::uint32_t admitted_returns = 0;
    /// False when there was no outcome.
    bool ended = false;
    outcome result = outcome::unknown;
    time_point finished{};
};

/// Executions recorded in the journals of engines and services, by request key;
/// `tokens_of_generation` is by generation id.
struct journal_counts {
    std::map<std::string, int> generations;
    std::map<std::string, std::int64_t> tokens_of_generation;
    std::map<std::string, int> service_runs;
    std::int64_t preemptions = 0;
    std::int64_t tokens = 0;
    /// False when a journal could not be read.
    bool complete = true;
};

/// The result of an audit.
struct audit_result {
    /// Figures in the order in which they are printed.
    boost::json::object figures;
    bool promises_kept = true;
};

/// Verifies the guarantees of the system over all records and computes the figures. The guarantees
/// hold when no request was lost, no token or call was duplicated, no token was out of order, wrong
/// or of another generation, and no request reported as "not run" had run. `tokens_by_second` holds
/// the number of tokens received by workspace and second since the start.
audit_result audit(const std::vector<request_record>& records, const journal_counts& journals,
                   const load_options& options,
                   const std::vector<std::vector<std::uint32_t>>& tokens_by_second);

/// Returns the text that a stand-in engine generates as token `number` for `prompt`.
std::string expected_token(const std::string& prompt, std::size_t number);

} // namespace bamboostream::load
