#include "bamboostream/src/Entry/service_handler.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Entry/authentication.h"

#include <utility>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

constexpr int max_tries = 4;
constexpr milliseconds refusal_retry_delay{500};
constexpr milliseconds retry_pause{50};
/// Subtracted from the deadline, so that the response still reaches the caller in time.
constexpr milliseconds answer_reserve{100};

} // namespace

service_handler::service_handler(instance_core& core, http_exchange& exchange, std::string service,
                                 std::string operation)
    : core_(core), exchange_(exchange) {
    call_.service = std::move(service);
    call_.operation = std::move(operation);
}

bool service_handler::check(error_answer& problem) {
    if (core_.refusing_new_work || core_.configuration->version() == 0) {
        problem = make_error(503, core_.refusing_new_work ? "leaving" : "not_ready",
                             "this instance takes no calls now; ask for other addresses");
        // Of an earlier request with the same key, nothing is known here.
        const bool has_key = !exchange_.request().field("Idempotency-Key").empty();
        problem.outcome = has_key ? "unknown" : "not_run";
        problem.retry_after = refusal_retry_delay;
        return false;
    }
    document_ = core_.configuration->document();
    const http_request& request = exchange_.request();
    const auto owner = authenticate(request, *document_);
    if (!owner) {
        problem = make_error(401, "unauthorized", "a workspace's bearer key is required");
        return false;
    }
    const auto service = document_->services.find(call_.service);
    if (service == document_->services.end() ||
        !service->second.operations.contains(call_.operation)) {
        problem = make_error(404, "unknown_operation", "no such service or operation");
        return false;
    }
    operation_ = &service->second.operations.find(call_.operation)->second;
    call_.workspace = owner->text();
    call_.key = std::string(request.field("Idempotency-Key"));
    call_.body = request.body;
    if (call_.body.size() > operation_->max_body_bytes) {
        problem = make_error(413, "body_too_large", "the body is over the operation's limit");
        return false;
    }
    if (!operation_->idempotent && uuid_v7_time(call_.key) < 0) {
        problem = make_error(400, "key_required",
                             "this operation needs an Idempotency-Key that is a UUID of version 7");
        return false;
    }
    if (!call_.key.empty() && !is_valid_idempotency_key(call_.key)) {
        problem = make_error(400, "invalid_request", "the Idempotency-Key is not usable");
        return false;
    }
    deadline_ = monotonic_now() + operation_->deadline - answer_reserve;
    return true;
}

milliseconds service_handler::remaining_time() const {
    return std::chrono::duration_cast<milliseconds>(deadline_ - monotonic_now());
}

asio::awaitable<void> service_handler::run() {
    error_answer problem;
    if (!check(problem)) {
        co_await respond_error(exchange_, problem);
        co_return;
    }
    if (operation_->idempotent) {
        co_await run_idempotent();
    } else {
        co_await run_once();
    }
}

asio::awaitable<void> service_handler::answer_with(int status, std::string body) {
    const std::vector<http_field> fields{{"Outcome", "completed"}};
    co_await exchange_.respond_json(status, std::move(body), fields);
}

asio::awaitable<void> service_handler::refuse(std::string_view outcome, std::string_view code,
                                              std::string message) {
    error_answer answer = make_error(outcome == "not_run" ? 503 : 502, code, std::move(message));
    answer.outcome = outcome;
    answer.retry_after = refusal_retry_delay;
    co_await respond_error(exchange_, answer);
}

asio::awaitable<void> service_handler::refuse_quarantined(std::string_view outcome,
                                                          milliseconds held_for) {
    error_answer answer = make_error(outcome == "not_run" ? 503 : 502, "ends_servers",
                                     "several servers ended while they ran this call");
    answer.outcome = outcome;
    answer.retry_after = held_for;
    co_await respond_error(exchange_, answer);
}

const request_digest& service_handler::digest() {
    if (!digest_) {
        digest_ = request_digest::of({call_.workspace, call_.service, call_.operation, call_.body});
    }
    return *digest_;
}

asio::awaitable<bool> service_handler::pass_quarantine() {
    quarantine_service& quarantine = *core_.quarantine;
    if (!quarantine.any() || quarantine.verdict(digest()) == quarantine_verdict::free) {
        co_return true;
    }
    const trial_result result = co_await quarantine.await_trial(digest(), deadline_);
    on_trial_ = result == trial_result::on_trial;
    co_return result != trial_result::refused;
}

void service_handler::end_trial() {
    if (std::exchange(on_trial_, false)) {
        core_.quarantine->end_trial(digest());
    }
}

asio::awaitable<void> service_handler::record_attempt_end(const backend_id& backend,
                                                          wall_time start_stamp,
                                                          const attempt& ended) {
    const auto replicas = core_.membership->backends().group(call_.service);
    core_.services.call_ended(backend, ended.answer.has_value(), replicas.size(), monotonic_now());
    if (ended.answer) {
        core_.membership->observe(backend.text(), ended.answer->start_stamp,
                                  ended.answer->leaving ? backend_state::leaving
                                                        : backend_state::live);
        const bool survived = ended.answer->status < 500;
        if (survived && core_.quarantine->wants_answer(call_.body.size())) {
            core_.quarantine->note_answer(digest());
        }
        end_trial();
        co_return;
    }
    if (ended.why.code == service_error::outcome_unknown) {
        attempt_id_ = attempt_id_.empty() ? random_id() : attempt_id_;
        lost_attempt run{digest(), call_.workspace, backend,    start_stamp,
                         false,    on_trial_,       attempt_id_};
        co_await core_.quarantine->examine(std::move(run));
    }
    end_trial();
    core_.membership->observe_failure(backend.text());
}

asio::awaitable<service_handler::attempt> service_handler::try_replica() {
    attempt out;
    wall_time start_stamp = 0;
    const auto backend =
        co_await core_.on_control([&]() -> asio::awaitable<std::optional<backend_id>> {
            if (!co_await pass_quarantine()) {
                out.held_for = core_.quarantine->held_for(digest());
                co_return std::nullopt;
            }
            const auto document = core_.configuration->document();
            auto replicas = core_.membership->backends().group(call_.service);
            std::erase_if(replicas, [&document](const backend_facts& replica) {
                return document->is_cordoned(replica.failure_domain);
            });
            const auto chosen = core_.services.pick(
                replicas, failure_domain_id(core_.settings.failure_domain), monotonic_now());
            if (chosen) {
                core_.services.call_started(*chosen);
                start_stamp = core_.quarantine->start_stamp_of(*chosen);
            } else {
                end_trial();
            }
            co_return chosen;
        });
    if (out.held_for) {
        out.why.set(service_error::not_run, "several servers ended while they ran this call");
        co_return out;
    }
    if (!backend) {
        out.no_replica = true;
        out.why.set(service_error::not_run, "no replica of the service is in use");
        co_return out;
    }
    const milliseconds timeout = std::max(remaining_time(), milliseconds(1));
    out.answer = co_await call_service(exchange_.executor(), *backend, call_, timeout, out.why);
    co_await core_.on_control([&] { return record_attempt_end(*backend, start_stamp, out); });
    co_return out;
}

asio::awaitable<service_handler::attempt> service_handler::retry_replica(const retry_permit&) {
    co_await pause_for(retry_pause);
    co_return co_await try_replica();
}

asio::awaitable<void> service_handler::run_idempotent() {
    const retry_permit permit(idempotent_call{call_.key});
    attempt last = co_await try_replica();
    bool outcome_unknown = last.why.code == service_error::outcome_unknown;
    for (int tries = 1;
         tries < max_tries && !last.answer && !last.held_for && remaining_time() > retry_pause;
         ++tries) {
        const bool allowed = co_await core_.on_control(
            [this]() -> asio::awaitable<bool> { co_return core_.retries.try_spend(); });
        if (!allowed) {
            break;
        }
        last = co_await retry_replica(permit);
        outcome_unknown = outcome_unknown || last.why.code == service_error::outcome_unknown;
    }
    const std::string_view outcome = outcome_unknown ? "unknown" : "not_run";
    if (last.answer) {
        co_await answer_with(last.answer->status, std::move(last.answer->body));
    } else if (last.held_for) {
        co_await refuse_quarantined(outcome, *last.held_for);
    } else {
        co_await refuse(outcome, "service_unavailable", last.why.text);
    }
}

asio::awaitable<void> service_handler::run_once() {
    const std::string digest =
        sha256_hex(call_.service + '\n' + call_.operation + '\n' + call_.body);
    const claim_result result = co_await core_.on_control([&]() -> asio::awaitable<claim_result> {
        return core_.claims->claim(call_.workspace, call_.key, digest, deadline_);
    });
    switch (result.decision) {
    case claim_result::kind::dispatch:
        co_await dispatch(result);
        break;
    case claim_result::kind::decided:
        co_await answer_with(result.status, result.body);
        break;
    case claim_result::kind::not_run:
        co_await refuse("not_run", "not_claimed", result.reason);
        break;
    case claim_result::kind::unknown:
        co_await refuse("unknown", "outcome_unknown", result.reason);
        break;
    case claim_result::kind::key_reused: {
        const error_answer problem = make_error(409, "key_reused", result.reason);
        co_await respond_error(exchange_, problem);
        break;
    }
    }
}

/// Sends a call that the ledger has permitted and records its result in the ledger.
///
/// The quarantine is checked after the claim, because only the ledger knows whether an earlier call
/// with the same key has run. Another replica is tried only when no byte was sent or the service
/// itself reported that it did not run the call. After any other failure the call is never sent
/// again.
asio::awaitable<void> service_handler::dispatch(const claim_result& granted_claim) {
    attempt last = co_await try_replica();
    for (int tries = 1; tries < max_tries && !last.answer && !last.no_replica && !last.held_for &&
                        last.why.code == service_error::not_run && remaining_time() > retry_pause;
         ++tries) {
        last = co_await try_replica();
    }
    co_await core_.on_control([&]() -> asio::awaitable<void> {
        if (last.answer) {
            core_.claims->decided(call_.workspace, call_.key, granted_claim.claim,
                                  last.answer->status, last.answer->body);
        } else if (last.why.code == service_error::not_run) {
            core_.claims->abandon(call_.workspace, call_.key, granted_claim.claim);
        } else {
            core_.claims->mark_unknown(granted_claim.claim);
        }
        co_return;
    });
    if (last.answer) {
        co_await answer_with(last.answer->status, std::move(last.answer->body));
    } else if (last.held_for) {
        co_await refuse_quarantined("not_run", *last.held_for);
    } else if (last.why.code == service_error::not_run) {
        co_await refuse("not_run", "service_unavailable", last.why.text);
    } else {
        co_await refuse("unknown", "outcome_unknown", last.why.text);
    }
}

} // namespace bamboostream
