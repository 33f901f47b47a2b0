#include "bamboostream/src/Limits/engine_admission.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// Prompt tokens that an engine reads in a millisecond besides its running generations; the sheets
/// of the deployments say 14 for an engine that does nothing else.
constexpr double tokens_read_a_ms = 10.0;

} // namespace

admission_verdict judge_admission(const admission_rules& rules, const backend_work& work,
                                  std::int64_t memory_tokens, int priority, duration objective) {
    const double full = static_cast<double>(work.memory_tokens) /
                        static_cast<double>(std::max<std::int64_t>(memory_tokens, 1));
    const int rank = std::clamp(priority, 0, rules.ranks - 1);
    if (full > rules.most_full - rules.less_a_rank * rank) {
        return admission_verdict::memory_full;
    }
    const double wait_ms = static_cast<double>(work.unread_tokens) / tokens_read_a_ms;
    if (wait_ms > rules.most_wait * to_milliseconds(objective)) {
        return admission_verdict::prompts_queued;
    }
    return admission_verdict::admit;
}

} // namespace bamboostream
