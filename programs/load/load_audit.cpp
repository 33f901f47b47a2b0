#include "programs/load/load_audit.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace bamboostream::load {

namespace json = boost::json;

namespace {

double percentile(std::vector<float>& values, double p) {
    if (values.empty()) {
        return 0.0;
    }
    const auto rank = std::min(values.size() - 1,
                               static_cast<std::size_t>(p * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return std::round(static_cast<double>(values[rank]) * 10.0) / 10.0;
}

/// Totals over requests; most are printed under the same name.
struct counters {
    std::int64_t accepted = 0;
    std::int64_t completed = 0;
    std::int64_t not_run = 0;
    std::int64_t unknown = 0;
    std::int64_t incomplete = 0;
    std::int64_t lost = 0;
    std::int64_t doubled = 0;
    std::int64_t out_of_order = 0;
    std::int64_t mixed_generation = 0;
    /// Requests that were reported as not run although a journal contains them.
    std::int64_t dishonest = 0;
    std::int64_t wrong_answers = 0;
    std::int64_t returns = 0;
    std::int64_t admitted_returns = 0;
    std::int64_t reconnects = 0;
    std::int64_t restarts = 0;
    std::int64_t refusals = 0;
};

struct distributions {
    std::vector<float> stalls;
    std::vector<float> gaps;
    std::vector<float> first_tokens;
};

void count_outcome(const request_record& record, counters& c) {
    if (!record.ended) {
        ++c.lost;
        return;
    }
    c.accepted += record.result != outcome::not_run ? 1 : 0;
    switch (record.result) {
    case outcome::completed:
        ++c.completed;
        break;
    case outcome::not_run:
        ++c.not_run;
        break;
    case outcome::incomplete:
        ++c.incomplete;
        break;
    case outcome::unknown:
        ++c.unknown;
        break;
    }
}

void audit_generation(const request_record& record, const journal_counts& journals, counters& c,
                      distributions& d) {
    const completion_result& got = record.completion;
    c.doubled += got.doubled;
    c.out_of_order += got.out_of_order;
    c.mixed_generation += got.mixed;
    c.reconnects += got.reconnects;
    c.restarts += got.restarts;
    for (std::size_t i = 0; i < got.tokens.size(); ++i) {
        if (got.tokens[i] != expected_token(record.plan.prompt, i)) {
            ++c.wrong_answers;
        }
    }
    const bool count_matches = got.declared_tokens == got.tokens.size();
    if (record.ended && record.result == outcome::completed) {
        const auto journal = journals.tokens_of_generation.find(got.generation);
        const bool journal_agrees = journal == journals.tokens_of_generation.end() ||
                                    journal->second == static_cast<std::int64_t>(got.tokens.size());
        c.lost += count_matches && journal_agrees ? 0 : 1;
    }
    const auto ran = journals.generations.find(record.plan.key);
    if (record.ended && record.result == outcome::not_run && ran != journals.generations.end()) {
        ++c.dishonest;
    }
    if (!got.tokens.empty()) {
        d.first_tokens.push_back(static_cast<float>(got.first_token_ms));
        d.stalls.push_back(
            got.gaps_ms.empty() ? 0.0F : *std::max_element(got.gaps_ms.begin(), got.gaps_ms.end()));
        d.gaps.insert(d.gaps.end(), got.gaps_ms.begin(), got.gaps_ms.end());
    }
}

void audit_call(const request_record& record, const journal_counts& journals, counters& c) {
    const auto found = journals.service_runs.find(record.plan.key);
    const int runs = found == journals.service_runs.end() ? 0 : found->second;
    c.doubled += runs > 1 ? runs - 1 : 0;
    if (record.ended && record.result == outcome::not_run && runs > 0) {
        ++c.dishonest;
    }
    if (record.ended && record.result == outcome::completed && runs == 0 && journals.complete) {
        ++c.lost;
    }
}

/// Jain's fairness index of the weighted number of tokens received by each workspace, up to the
/// time at which the first workspace ran out of work.
double jain_index(const std::vector<request_record>& records, const load_options& options,
                  const std::vector<std::vector<std::uint32_t>>& by_second) {
    std::vector<time_point> last(options.workspaces.size());
    time_point first_start = time_point::max();
    for (const request_record& record : records) {
        if (!record.plan.is_service_call) {
            last[record.plan.workspace] = std::max(last[record.plan.workspace], record.finished);
            first_start = std::min(first_start, record.finished);
        }
    }
    std::size_t until = by_second.size();
    for (std::size_t w = 0; w < by_second.size() && w < last.size(); ++w) {
        std::size_t active = 0;
        for (std::size_t s = 0; s < by_second[w].size(); ++s) {
            active = by_second[w][s] > 0 ? s + 1 : active;
        }
        until = w == 0 ? active : std::min(until, active);
    }
    double sum = 0.0;
    double squares = 0.0;
    std::size_t count = 0;
    for (std::size_t w = 0; w < by_second.size(); ++w) {
        double served = 0.0;
        for (std::size_t s = 0; s < std::min(until, by_second[w].size()); ++s) {
            served += by_second[w][s];
        }
        served /= options.workspaces[w].weight;
        sum += served;
        squares += served * served;
        ++count;
    }
    return squares > 0.0 ? sum * sum / (static_cast<double>(count) * squares) : 1.0;
}

json::array workspace_rows(const std::vector<request_record>& records,
                           const load_options& options) {
    json::array rows;
    for (std::size_t w = 0; w < options.workspaces.size(); ++w) {
        counters c;
        distributions d;
        std::int64_t tokens = 0;
        for (const request_record& record : records) {
            if (record.plan.workspace != w) {
                continue;
            }
            count_outcome(record, c);
            audit_generation(record, {}, c, d);
            tokens += static_cast<std::int64_t>(record.completion.tokens.size());
        }
        rows.push_back(json::object{{"workspace", options.workspaces[w].name},
                                    {"weight", options.workspaces[w].weight},
                                    {"completed", c.completed},
                                    {"not_run", c.not_run},
                                    {"tokens", tokens},
                                    {"stall_ms_p99", percentile(d.stalls, 0.99)},
                                    {"first_token_ms_p95", percentile(d.first_tokens, 0.95)}});
    }
    return rows;
}

} // namespace

std::string expected_token(const std::string& prompt, std::size_t number) {
    return fmt::format("{}.{} ", sha256_hex(prompt).substr(0, 8), number);
}

audit_result audit(const std::vector<request_record>& records, const journal_counts& journals,
                   const load_options& options,
                   const std::vector<std::vector<std::uint32_t>>& tokens_by_second) {
    counters c;
    distributions d;
    std::int64_t generations = 0;
    for (const request_record& record : records) {
        count_outcome(record, c);
        c.returns += record.returns;
        c.admitted_returns += record.admitted_returns;
        c.refusals += record.refusals;
        if (record.plan.is_service_call) {
            audit_call(record, journals, c);
        } else {
            ++generations;
            audit_generation(record, journals, c, d);
        }
    }
    audit_result out;
    json::object& f = out.figures;
    f["requests"] = records.size();
    f["accepted"] = c.accepted;
    f["completed"] = c.completed;
    f["not_run"] = c.not_run;
    f["unknown"] = c.unknown;
    f["incomplete"] = c.incomplete;
    f["lost"] = c.lost;
    f["doubled"] = c.doubled;
    f["out_of_order"] = c.out_of_order;
    f["mixed_generation"] = c.mixed_generation;
    f["dishonest_refusals"] = c.dishonest;
    f["wrong_answers"] = c.wrong_answers;
    f["refusals"] = c.refusals;
    f["returns"] = c.returns;
    f["admitted_on_return"] =
        c.returns > 0 ? static_cast<double>(c.admitted_returns) / static_cast<double>(c.returns)
                      : 1.0;
    f["reconnects"] = c.reconnects;
    f["restarts"] = c.restarts;
    f["preemptions_per_1000"] =
        generations > 0
            ? 1000.0 * static_cast<double>(journals.preemptions) / static_cast<double>(generations)
            : 0.0;
    f["stall_ms"] = json::object{{"p50", percentile(d.stalls, 0.5)},
                                 {"p99", percentile(d.stalls, 0.99)},
                                 {"max", percentile(d.stalls, 1.0)}};
    f["inter_token_ms"] = json::object{{"p50", percentile(d.gaps, 0.5)},
                                       {"p95", percentile(d.gaps, 0.95)},
                                       {"p99", percentile(d.gaps, 0.99)},
                                       {"p999", percentile(d.gaps, 0.999)},
                                       {"p9999", percentile(d.gaps, 0.9999)}};
    f["first_token_ms"] = json::object{{"p50", percentile(d.first_tokens, 0.5)},
                                       {"p95", percentile(d.first_tokens, 0.95)},
                                       {"p99", percentile(d.first_tokens, 0.99)}};
    f["tokens"] = d.gaps.size() + d.first_tokens.size();
    f["fairness_jain"] = jain_index(records, options, tokens_by_second);
    f["journals_complete"] = journals.complete;
    f["workspaces"] = workspace_rows(records, options);
    out.promises_kept = c.lost == 0 && c.doubled == 0 && c.out_of_order == 0 &&
                        c.mixed_generation == 0 && c.dishonest == 0 && c.wrong_answers == 0;
    return out;
}

} // namespace bamboostream::load
