#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Routing/load_table.h"

#include <cstdint>
#include <string_view>

namespace bamboostream {

/// Limits on the work in progress at an engine, applied when one more generation is sent there.
struct admission_rules {
    /// Fraction of the latency objective within which the first event must be expected. The rest is
    /// a reserve for prefill that is slowed down by a full batch.
    double max_start_fraction = 0.9;
    /// Fraction of the engine's memory that all its generations, including the new one, may hold at
    /// their expected final lengths, for a request of the most urgent rank. It exceeds 1 because
    /// generations end one after another and don't reach their final lengths at the same time.
    double max_claimed_fraction = 1.1;
    /// Reduction of `max_claimed_fraction` for each lower rank, so that the more urgent requests
    /// are still served when memory runs out.
    double claimed_fraction_step = 0.05;
    /// Number of ranks; lower priorities count as the last one.
    int ranks = 2;
};

/// A generation to be admitted to an engine.
struct admission_request {
    /// The work that it adds there.
    backend_work work;
    /// Capacity of the engine's KV cache, in tokens.
    std::int64_t memory_tokens = 0;
    /// Rank; 0 is the most urgent.
    int priority = 0;
    /// Latency objective for the first event; zero when there is none.
    duration objective{};
};

/// Whether a generation is admitted to an engine, or which limit it exceeds.
enum class admission_result : std::uint8_t {
    admit,
    memory_full,
    prompts_queued,
    /// All engines that could take it have got the requests a second that they take.
    rate_limited,
    /// The memory that is left is needed for generations that must leave their engines.
    memory_reserved,
    /// Memory is short, and the request's workspace holds its share of it.
    workspace_over_share,
    count_,
};
/// Name of a result in log lines.
std::string_view to_string(admission_result result);

/// Fraction of an engine's memory that its generations may hold for a request of this rank to be
/// admitted there.
double max_claimed_fraction(const admission_rules& rules, int priority);

/// The time that an engine takes to prefill `queued` prompt tokens and then `prompt` more, at
/// `tokens_per_ms` tokens a millisecond.
duration expected_prefill_time(std::int64_t queued, std::int64_t prompt, double tokens_per_ms);

/// Decides whether a generation may be sent to an engine that has `work` in progress.
///
/// Engines serve requests first in, first out and return none of them: a request sent to a long
/// queue is certainly late, and so is every request behind it. Past saturation engines would spend
/// most of their prefill on responses that come too late, and goodput would fall as the load grows.
/// So a request is admitted only while its first event is expected within its objective and enough
/// memory is expected to be free by then; otherwise it is refused at once with a time to retry.
admission_result check_admission(const admission_rules& rules, const admission_request& request,
                                 const backend_work& work, double tokens_per_ms);

} // namespace bamboostream
