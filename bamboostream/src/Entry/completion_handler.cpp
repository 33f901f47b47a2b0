#include "bamboostream/src/Entry/completion_handler.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Entry/authentication.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <exception>
#include <utility>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

constexpr int max_attempts = 8;
constexpr milliseconds attach_poll_period{50};
/// Short, because after the loss of an engine a retry can start on another one at once.
constexpr milliseconds retry_delay_after_loss{100};
constexpr milliseconds retry_delay_when_leaving{50};
constexpr milliseconds retry_delay_when_not_ready{500};

} // namespace

completion_handler::completion_handler(instance_core& core, http_exchange& exchange)
    : core_(core), exchange_(exchange), accepted_(monotonic_now()) {}

token_sink& completion_handler::sink() {
    return streaming() ? static_cast<token_sink&>(*writer_) : static_cast<token_sink&>(*buffer_);
}

const stream_timing& completion_handler::timing() const {
    return streaming() ? writer_->timing() : buffer_->timing();
}

bool completion_handler::check(error_answer& problem) {
    if (core_.refusing_new_work) {
        problem = make_refusal("leaving", "this instance is shutting down; ask for other addresses",
                               retry_delay_when_leaving);
        return false;
    }
    if (core_.configuration->version() == 0) {
        problem = make_refusal("not_ready", "no configuration is in force yet",
                               retry_delay_when_not_ready);
        return false;
    }
    document_ = core_.configuration->document();
    const auto owner = authenticate(exchange_.request(), *document_);
    if (!owner) {
        problem = make_error(401, "unauthorized", "a workspace's bearer key is required");
        return false;
    }
    workspace_ = *owner;
    auto read = read_completion(exchange_.request(), problem.errors);
    if (!read) {
        problem.status = 400;
        problem.code = "invalid_request";
        problem.message = "the request has mistakes";
        return false;
    }
    request_ = std::move(*read);
    const auto* pool = document_->pool_of_model(request_.model);
    if (pool == nullptr) {
        problem = make_error(404, "unknown_model", "no pool serves model " + request_.model);
        return false;
    }
    if (request_.priority >
        document_->workspaces.find(workspace_.text())->second.highest_priority) {
        problem =
            make_error(403, "priority_not_allowed", "the workspace may not use this priority");
        return false;
    }
    pool_ = pool->first;
    const milliseconds wait =
        request_.deadline.count() > 0 ? request_.deadline : pool->second.default_wait;
    start_by_ = accepted_ + wait;
    claimant_ = random_id();
    return true;
}

asio::awaitable<void> completion_handler::run() {
    error_answer problem;
    if (!check(problem)) {
        co_await respond_error(exchange_, problem);
        co_return;
    }
    if (streaming()) {
        writer_ = std::make_unique<sse_writer>(exchange_, accepted_);
        writer_->start_heartbeats();
    } else {
        buffer_ = std::make_unique<answer_buffer>(accepted_);
    }
    request_result end;
    std::exception_ptr error;
    try {
        end = co_await serve();
    } catch (...) {
        error = std::current_exception();
    }
    if (writer_) {
        co_await writer_->stop_heartbeats();
    }
    if (error) {
        std::rethrow_exception(error);
    }
    co_await answer(end);
    record(end);
}

asio::awaitable<completion_handler::request_result> completion_handler::serve() {
    request_result end;
    if (!request_.key.empty()) {
        const bool first = co_await claim_or_attach(end);
        if (!first) {
            co_return end;
        }
    }
    end = co_await run_attempts();
    if (!request_.key.empty() && end.result != outcome::completed) {
        co_await core_.on_control([this]() -> asio::awaitable<void> {
            core_.homes->release(workspace_.text(), request_.key, claimant_);
            co_return;
        });
    }
    co_return end;
}

/// Claims the idempotency key at its home instance. Returns true when this request has to run the
/// generation. Returns false with `end` set when it was attached to the stream of an earlier
/// request with the same key, or when that request did not start in time.
asio::awaitable<bool> completion_handler::claim_or_attach(request_result& end) {
    while (true) {
        const home_answer home =
            co_await core_.on_control([this]() -> asio::awaitable<home_answer> {
                return core_.homes->claim(workspace_.text(), request_.key, claimant_);
            });
        if (home.first) {
            co_return true;
        }
        if (!home.handle.empty()) {
            if (co_await attach(home.handle, end)) {
                co_return false;
            }
            // The stream of the earlier request is lost and this caller has received none of it, so
            // a new generation can be started.
            co_await core_.on_control([this]() -> asio::awaitable<void> {
                core_.homes->take_over(workspace_.text(), request_.key, claimant_);
                co_return;
            });
            co_return true;
        }
        if (monotonic_now() > start_by_ || sink().caller_gone()) {
            end.result = outcome::unknown;
            end.code = "still_waiting";
            end.message = "another request with this key is still waiting for its place";
            end.retry_after = retry_delay_after_loss;
            co_return false;
        }
        co_await pause_for(attach_poll_period);
    }
}

asio::awaitable<bool> completion_handler::attach(const std::string& handle_text,
                                                 request_result& end) {
    handle_failure why;
    const auto handle = make_signer(*document_).reissue(handle_text, workspace_, wall_now(), why);
    if (!handle) {
        co_return false;
    }
    const resume_handle& content = handle->content();
    token_stream out(sink(), *handle);
    relay_progress progress;
    relay engine_relay(exchange_.executor(), content.backend, {});
    const relay_result result = co_await engine_relay.resume(content.generation, 0, out, progress);
    tokens_ = result.tokens;
    resumed_ += result.resumed;
    if (result.end == relay_end::lost && result.tokens == 0) {
        co_return false;
    }
    generation_ = content.generation.text();
    if (result.end == relay_end::completed) {
        end.result = outcome::completed;
        end.finish_reason = result.finish_reason;
    } else {
        end.result = outcome::incomplete;
        end.code = "engine_lost";
        end.message = result.why;
        end.retry_after = retry_delay_after_loss;
    }
    co_return true;
}

scheduling_request completion_handler::make_scheduling_request(std::uint64_t id) const {
    scheduling_request request;
    request.id = id;
    request.workspace = workspace_.text();
    request.priority = request_.priority;
    request.kind = request_.kind;
    request.prompt_tokens = request_.prompt_tokens;
    request.max_tokens = request_.max_tokens;
    request.prefix = request_.prefix;
    request.start_by = start_by_;
    request.avoid = avoid_;
    return request;
}

const request_digest& completion_handler::digest() {
    if (!digest_) {
        const http_request& request = exchange_.request();
        digest_ = request_digest::of({workspace_.text(), request.path, request.body});
    }
    return *digest_;
}

quarantine_verdict completion_handler::verdict() {
    const quarantine_service& quarantine = *core_.quarantine;
    return quarantine.any() ? quarantine.verdict(digest()) : quarantine_verdict::free;
}

asio::awaitable<bool> completion_handler::pass_quarantine() {
    const bool trial_continues = on_trial_ && verdict() != quarantine_verdict::confirmed;
    if (verdict() == quarantine_verdict::free || trial_continues) {
        co_return true;
    }
    const trial_result result = co_await core_.quarantine->await_trial(digest(), start_by_);
    on_trial_ = result == trial_result::on_trial;
    co_return result != trial_result::refused;
}

void completion_handler::end_trial() {
    if (std::exchange(on_trial_, false)) {
        core_.quarantine->end_trial(digest());
    }
}

asio::awaitable<void> completion_handler::end_quarantined(request_result& end) {
    end.result = may_have_run_ ? outcome::incomplete : outcome::not_run;
    end.code = "ends_servers";
    end.message = "several engines ended while they ran this request";
    end.retry_after = co_await core_.on_control([this]() -> asio::awaitable<milliseconds> {
        co_return core_.quarantine->held_for(digest());
    });
}

asio::awaitable<void> completion_handler::record_attempt_end(const scheduling_decision& place,
                                                             std::uint64_t place_id,
                                                             wall_time start_stamp,
                                                             const relay_result& result) {
    const bool completed = result.end == relay_end::completed;
    const auto reported_end = completed && result.finish_reason != "length"
                                  ? generation_end::finished
                                  : generation_end::cut_off;
    core_.scheduling->stream_ended(place_id, reported_end);
    if (completed && core_.quarantine->wants_answer(exchange_.request().body.size())) {
        core_.quarantine->note_answer(digest());
    }
    if (result.end == relay_end::lost) {
        attempt_id_ = attempt_id_.empty() ? random_id() : attempt_id_;
        lost_attempt run{digest(),          workspace_.text(), place.backend, start_stamp,
                         result.tokens > 0, on_trial_,         attempt_id_};
        co_await core_.quarantine->examine(std::move(run));
    }
    end_trial();
    if (result.end == relay_end::lost || result.unreachable) {
        core_.membership->observe_failure(place.backend.text());
    }
}

asio::awaitable<completion_handler::request_result> completion_handler::run_attempts() {
    request_result end;
    const std::string& unique = request_.key.empty() ? claimant_ : request_.key;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        const std::uint64_t place_id =
            stable_hash({workspace_.text(), unique, std::to_string(attempt)});
        const scheduling_request wanted = make_scheduling_request(place_id);
        bool held = false;
        const scheduling_decision place =
            co_await core_.on_control([&]() -> asio::awaitable<scheduling_decision> {
                held = !co_await pass_quarantine();
                if (held) {
                    co_return scheduling_decision{};
                }
                scheduling_decision found = co_await core_.scheduling->acquire(pool_, wanted);
                if (!found.granted) {
                    end_trial();
                }
                co_return found;
            });
        if (held) {
            co_await end_quarantined(end);
            co_return end;
        }
        if (!place.granted) {
            end.result = may_have_run_ ? outcome::incomplete : outcome::not_run;
            end.code = to_string(place.reason);
            end.message = "the request was given up on before it started";
            end.retry_after = place.retry_after;
            co_return end;
        }
        const relay_result result = co_await run_attempt(place, place_id);
        resumed_ += result.resumed;
        dropped_ += result.dropped;
        if (result.end == relay_end::completed) {
            end.result = outcome::completed;
            end.finish_reason = result.finish_reason;
            co_return end;
        }
        avoid_.push_back(place.backend.text());
        if (!co_await may_retry(result, end)) {
            co_return end;
        }
    }
    end.result = may_have_run_ ? outcome::incomplete : outcome::not_run;
    end.code = "attempts_exhausted";
    end.message = "no backend server of the pool could run the request";
    end.retry_after = retry_delay_when_not_ready;
    co_return end;
}

/// Handles a failed attempt. Returns true when another attempt may be made; otherwise `end` holds
/// the result of the request.
asio::awaitable<bool> completion_handler::may_retry(const relay_result& result,
                                                    request_result& end) {
    end.result = outcome::incomplete;
    end.retry_after = retry_delay_after_loss;
    end.message = result.why;
    if (result.end == relay_end::caller_gone || result.end == relay_end::cancelled) {
        end.code = result.end == relay_end::cancelled ? "cancelled" : "caller_gone";
        co_return false;
    }
    if (result.end == relay_end::not_run) {
        co_return true;
    }
    may_have_run_ = true;
    end.code = "engine_lost";
    const bool started = result.tokens > 0;
    if (started && streaming() && request_.loss == on_loss::incomplete) {
        co_return false;
    }
    if (monotonic_now() > start_by_) {
        co_return false;
    }
    const bool allowed = co_await core_.on_control(
        [this]() -> asio::awaitable<bool> { co_return core_.retries.try_spend(); });
    if (!allowed) {
        end.message = "the retry budget is used up";
        co_return false;
    }
    ++restarts_;
    if (started && streaming()) {
        co_return co_await writer_->restart(generation_);
    }
    co_return true;
}

asio::awaitable<relay_result> completion_handler::run_attempt(const scheduling_decision& place,
                                                              std::uint64_t place_id) {
    generation_request engine_request;
    engine_request.generation = generation_id(random_id());
    engine_request.request_key = request_.key;
    engine_request.model = request_.model;
    engine_request.prompt = request_.prompt;
    engine_request.kind = request_.kind;
    engine_request.prompt_tokens = request_.prompt_tokens;
    engine_request.max_tokens = request_.max_tokens;
    engine_request.priority = request_.priority;
    const auto handle = make_signer(*document_)
                            .issue({place.backend, engine_request.generation, workspace_,
                                    wall_now() + handle_lifetime_ms});
    relay_result result;
    if (!handle) {
        result.end = relay_end::not_run;
        result.why = "the configuration has no active resume key";
        co_await core_.on_control([this]() -> asio::awaitable<void> {
            end_trial();
            co_return;
        });
        co_return result;
    }
    auto progress = std::make_shared<relay_progress>();
    streamed_generation streamed;
    streamed.facts = {place_id,      workspace_.text(),      place.backend.text(),
                      request_.kind, request_.prompt_tokens, 0};
    streamed.pool = pool_;
    streamed.progress = progress;
    bool held = false;
    wall_time start_stamp = 0;
    co_await core_.on_control([&]() -> asio::awaitable<void> {
        core_.scheduling->stream_started(streamed);
        held = verdict() == quarantine_verdict::confirmed ||
               (verdict() == quarantine_verdict::contested && !on_trial_);
        if (held) {
            core_.scheduling->stream_ended(place_id, generation_end::cut_off);
            end_trial();
            co_return;
        }
        start_stamp = core_.quarantine->start_stamp_of(place.backend);
        core_.retries.on_first_try();
        if (!request_.key.empty()) {
            core_.homes->publish(workspace_.text(), request_.key, claimant_, handle->text());
        }
        co_return;
    });
    if (held) {
        result.end = relay_end::not_run;
        co_return result;
    }
    token_stream out(sink(), *handle);
    relay engine_relay(exchange_.executor(), place.backend, {});
    result = co_await engine_relay.start(engine_request, out, *progress);
    if (result.tokens > 0) {
        generation_ = engine_request.generation.text();
        tokens_ = result.tokens;
    }
    co_await core_.on_control(
        [&] { return record_attempt_end(place, place_id, start_stamp, result); });
    if (result.end == relay_end::lost) {
        // The generation may still be running although its connection was lost. Cancel it, so that
        // it does not occupy the engine while a retry runs elsewhere.
        asio::co_spawn(
            core_.control,
            [client = engine_client(core_.control.get_executor(), place.backend),
             id = engine_request.generation]() mutable -> asio::awaitable<void> {
                co_await client.cancel(id, milliseconds(1'000));
            },
            log_exception);
    } else if (result.end == relay_end::caller_gone) {
        schedule_cancel_when_abandoned(*handle);
    }
    co_return result;
}

void completion_handler::schedule_cancel_when_abandoned(const issued_handle& handle) {
    cancel_when_abandoned(core_, handle, claimant_);
}

asio::awaitable<void> completion_handler::answer(const request_result& end) {
    if (!streaming()) {
        co_await answer_non_streaming(end);
        co_return;
    }
    if (!writer_->head_sent() && end.result == outcome::not_run) {
        error_answer refusal = make_refusal(end.code, end.message, end.retry_after);
        refusal.status =
            end.code == "deadline_unreachable" || end.code == "workspace_queue_full" ? 429 : 503;
        co_await respond_error(exchange_, refusal);
        co_return;
    }
    co_await writer_->finish(generation_, end.result, tokens_, end.finish_reason, end.retry_after,
                             end.message);
}

asio::awaitable<void> completion_handler::answer_non_streaming(const request_result& end) {
    if (end.result != outcome::completed) {
        error_answer refusal = make_refusal(end.code, end.message, end.retry_after);
        refusal.outcome = to_string(end.result);
        refusal.status = end.result != outcome::not_run ? 502
                         : end.code == "deadline_unreachable" || end.code == "workspace_queue_full"
                             ? 429
                             : 503;
        co_await respond_error(exchange_, refusal);
        co_return;
    }
    boost::json::object choice{
        {"index", 0}, {"text", buffer_->text()}, {"finish_reason", end.finish_reason}};
    boost::json::object body{{"id", generation_},
                             {"object", "text_completion"},
                             {"model", request_.model},
                             {"outcome", to_string(end.result)}};
    body["choices"] = boost::json::array{std::move(choice)};
    body["usage"] = boost::json::object{{"prompt_tokens", request_.prompt_tokens},
                                        {"completion_tokens", tokens_}};
    std::string text = boost::json::serialize(body);
    co_await exchange_.respond_json(200, std::move(text));
}

void completion_handler::record(const request_result& end) const {
    const stream_timing& flow = timing();
    request_sample sample;
    sample.workspace = workspace_.text();
    sample.pool = pool_;
    sample.result = end.result;
    sample.tokens = flow.tokens;
    sample.resumed = resumed_;
    sample.dropped_events = dropped_;
    sample.restarts = restarts_;
    if (flow.tokens > 0) {
        sample.first_token_ms = to_milliseconds(flow.first_token - flow.accepted);
        sample.longest_gap_ms = to_milliseconds(flow.longest_gap);
    }
    if (flow.tokens > 1) {
        sample.mean_gap_ms = to_milliseconds(flow.last_token - flow.first_token) /
                             static_cast<double>(flow.tokens - 1);
    }
    const service_objectives& own =
        document_->workspaces.find(workspace_.text())->second.objectives;
    const service_objectives& pool = document_->pools.find(pool_)->second.objectives;
    const bool has_own = own.first_token_ms > 0 || own.inter_token_ms > 0 || own.stall_ms > 0;
    core_.metrics.record(sample, has_own ? own : pool, monotonic_now());
}

void cancel_when_abandoned(instance_core& core, const issued_handle& handle, std::string claimant) {
    asio::co_spawn(
        core.control,
        [&core, content = handle.content(),
         claimant = std::move(claimant)]() -> asio::awaitable<void> {
            co_await pause_for(core.settings.away_limit);
            const std::string key = "generation/" + content.generation.text();
            const home_answer holder =
                co_await core.homes->claim(content.workspace.text(), key, claimant);
            if (!holder.first) {
                co_return;
            }
            log_event(events::generation_cancelled, "backend={} generation={}",
                      content.backend.text(), content.generation.text());
            engine_client client(core.control.get_executor(), content.backend);
            co_await client.cancel(content.generation, milliseconds(1'000));
        },
        log_exception);
}

} // namespace bamboostream
