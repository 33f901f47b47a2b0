#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Routing/load_table.h"

#include <cstdint>

namespace bamboostream {

/// Limits of what may be under way at an engine when one more generation is sent there.
struct admission_rules {
    /// Part of the objective within which the first event must be expected. What is left covers
    /// prompts that are read beside a full batch.
    double max_start_fraction = 0.9;
    /// Share of the engine's memory that its generations, the new one among them, will hold when
    /// all have grown to their expected end, for a request of the most urgent rank. They end one
    /// after the other, so it is over 1.
    double max_claimed_fraction = 1.1;
    /// How much less it is for each rank below: when memory runs out the more urgent are served.
    double claimed_fraction_step = 0.05;
    /// Ranks below this are treated alike.
    int ranks = 2;
};

/// A generation that asks for a place at an engine.
struct admission_request {
    /// What it adds to the work there.
    backend_work work;
    /// Cache memory of the engine, in tokens.
    std::int64_t memory_tokens = 0;
    int priority = 0;
    /// Until the first event.
    duration objective{};
};

/// Why a generation is not sent to an engine.
enum class admission_result : std::uint8_t { admit, memory_full, prompts_queued };

/// The time until an engine at which `queued` prompt tokens are unread has read `prompt` more,
/// at `tokens_per_ms` tokens a millisecond.
duration expected_start(std::int64_t queued, std::int64_t prompt, double tokens_per_ms);

/// Decides whether a generation may go to an engine where `work` is under way.
///
/// Engines serve first in, first out and take nothing back: who is sent to a long queue is late for
/// certain, and so is everybody behind. Past saturation most of what engines read would then be for
/// answers that come too late, and the more callers ask the fewer are served in time. So a request
/// is admitted while its first event is expected within its objective, and while its memory will be
/// there by then; otherwise it is told at once when to come back.
admission_result check_admission(const admission_rules& rules, const admission_request& request,
                                 const backend_work& work, double tokens_per_ms);

} // namespace bamboostream
