#include "bamboostream/src/Forwarding/attempt_policy.h"

#include <array>

namespace bamboostream {

std::string_view to_string(attempt_end end) {
    static constexpr std::array<std::string_view, 5> names = {"not_sent", "not_run", "lost",
                                                              "silent", "failed"};
    return names[static_cast<std::size_t>(end)];
}

void attempt_history::record(attempt_end end) {
    if (end == attempt_end::not_sent) {
        ++failed_connects;
        return;
    }
    ++sends;
    may_have_run = may_have_run || end != attempt_end::not_run;
}

bool may_retry(repeat_policy repeats, int max_attempts, const attempt_history& history,
               attempt_end last) {
    if (history.sends >= max_attempts || history.failed_connects >= max_failed_connects) {
        return false;
    }
    const bool not_executed = last == attempt_end::not_sent || last == attempt_end::not_run;
    return repeats != repeat_policy::once || (not_executed && !history.may_have_run);
}

final_response choose_final_response(const attempt_history& history, attempt_end last) {
    if (last == attempt_end::failed) {
        return final_response::backend_failure;
    }
    if (!history.may_have_run) {
        return final_response::not_run;
    }
    return last == attempt_end::silent ? final_response::timed_out : final_response::unknown;
}

} // namespace bamboostream
