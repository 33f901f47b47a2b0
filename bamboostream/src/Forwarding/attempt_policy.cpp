#include "bamboostream/src/Forwarding/attempt_policy.h"

#include <array>

namespace bamboostream {

std::string_view to_string(attempt_end end) {
    static constexpr std::array<std::string_view, 5> names = {"not_sent", "not_run", "lost",
                                                              "silent", "failed"};
    return names[static_cast<std::size_t>(end)];
}

std::optional<not_run_proof> not_run_proof::of_response(const response_info& response) {
    if (!response.not_run && !response.wrong_server) {
        return std::nullopt;
    }
    return not_run_proof(attempt_end::not_run,
                         response.names_request ? "names_request" : "first_on_connection");
}

std::optional<not_run_proof> not_run_proof::of_connection(const http_connection& connection) {
    return connection.any_sent()
               ? std::nullopt
               : std::optional(not_run_proof(attempt_end::not_sent, "nothing_sent"));
}

attempt_end attempt_history::end_not_run(const not_run_proof& proof) {
    sending_ = false;
    ++(proof.end() == attempt_end::not_sent ? failed_connects_ : sends_);
    return proof.end();
}

attempt_end attempt_history::end_unsent() {
    if (sending_) {
        return end_sent(attempt_end::lost);
    }
    ++failed_connects_;
    return attempt_end::not_sent;
}

attempt_end attempt_history::end_sent(attempt_end end) {
    sending_ = false;
    may_have_run_ = true;
    ++sends_;
    const bool needs_proof = end == attempt_end::not_sent || end == attempt_end::not_run;
    return needs_proof ? attempt_end::lost : end;
}

std::optional<not_run_promise> attempt_history::promise_not_run() const {
    return may_have_run() ? std::nullopt : std::optional(not_run_promise());
}

bool may_retry(repeat_policy repeats, int max_attempts, const attempt_history& history) {
    if (history.sends() >= max_attempts || history.failed_connects() >= max_failed_connects) {
        return false;
    }
    return repeats != repeat_policy::once || !history.may_have_run();
}

final_response choose_final_response(const attempt_history& history, attempt_end last) {
    if (last == attempt_end::failed) {
        return final_response::backend_failure;
    }
    if (!history.may_have_run()) {
        return final_response::not_run;
    }
    return last == attempt_end::silent ? final_response::timed_out : final_response::unknown;
}

} // namespace bamboostream
