#include "bamboostream/src/Limits/engine_admission.h"

#include <algorithm>
#include <array>

namespace bamboostream {

std::string_view to_string(admission_result result) {
    static constexpr std::array<std::string_view,
                                static_cast<std::size_t>(admission_result::count_)>
        names = {"admitted",     "memory_full",     "prompts_queued",
                 "rate_limited", "memory_reserved", "workspace_over_share"};
    return names[static_cast<std::size_t>(result)];
}

double max_claimed_fraction(const admission_rules& rules, int priority) {
    const int rank = std::clamp(priority, 0, rules.ranks - 1);
    return rules.max_claimed_fraction - rules.claimed_fraction_step * rank;
}

duration expected_prefill_time(std::int64_t queued, std::int64_t prompt, double tokens_per_ms) {
    return from_milliseconds(static_cast<double>(queued + prompt) / tokens_per_ms);
}

admission_result check_admission(const admission_rules& rules, const admission_request& request,
                                 const backend_work& work, double tokens_per_ms) {
    const double claimed = static_cast<double>(work.memory_tokens + request.work.memory_tokens) /
                           static_cast<double>(std::max<std::int64_t>(request.memory_tokens, 1));
    // An idle engine admits a request of any size: one that exceeds the limit would fit nowhere.
    if (work.requests > 0 && claimed > max_claimed_fraction(rules, request.priority)) {
        return admission_result::memory_full;
    }
    const duration start =
        expected_prefill_time(work.unread_tokens, request.work.unread_tokens, tokens_per_ms);
    if (work.unread_tokens > 0 && request.objective > duration{} &&
        to_milliseconds(start) > rules.max_start_fraction * to_milliseconds(request.objective)) {
        return admission_result::prompts_queued;
    }
    return admission_result::admit;
}

} // namespace bamboostream
