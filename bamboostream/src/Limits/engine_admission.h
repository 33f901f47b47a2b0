#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Routing/load_book.h"

#include <cstdint>

namespace bamboostream {

/// Limits of what may be under way at an engine when one more generation is sent there.
struct admission_rules {
    /// Share of the engine's memory that its generations will hold when all have grown to their
    /// expected end, for a request of the most urgent rank. They end one after the other, so it is
    /// over 1. On 44 engines past the brim, 1.2 and 1.0 served 0.75 and 0.72 of the worth of long
    /// streams where 9 (no limit) served 0.75: only what is hopeless is turned away.
    double most_full = 1.5;
    /// How much less it is for each rank below: when memory runs out the more urgent are served.
    double less_a_rank = 0.15;
    /// Ranks below this are treated alike.
    int ranks = 2;
    /// How often the objective reading the prompts queued before may take; callers give a stream up
    /// after four times.
    double most_wait = 2.0;
};

/// Why a generation is not sent to an engine.
enum class admission_verdict : std::uint8_t { admit, memory_full, prompts_queued };

/// Decides whether a generation goes to the engine that would serve it best, or is turned away at
/// once.
///
/// An engine whose memory is full keeps requests waiting until others end. One that would wait
/// beyond its objective several times over is given up by its caller after all, and until then it
/// holds a connection and a place in the queue; it is told at once when to come back instead.
admission_verdict judge_admission(const admission_rules& rules, const backend_work& work,
                                  std::int64_t memory_tokens, int priority, duration objective);

} // namespace bamboostream
