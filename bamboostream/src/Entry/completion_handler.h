#pragma once

#include "bamboostream/src/Entry/completion_request.h"
#include "bamboostream/src/Entry/error_answer.h"
#include "bamboostream/src/Entry/instance_core.h"
#include "bamboostream/src/Entry/sse_writer.h"
#include "bamboostream/src/Http/http_server.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboostream {

/// Serves one `POST /v1/completions` request: authenticates and validates it, acquires a slot on an
/// engine, relays the tokens, and retries on another engine where that is allowed. Every request
/// ends in exactly one outcome.
///
/// A handler runs on the traffic thread of its connection. Functions marked "control thread" must
/// be called through `instance_core::on_control`.
class completion_handler {
public:
    completion_handler(instance_core& core, http_exchange& exchange);
    boost::asio::awaitable<void> run();

private:
    /// The result of the request as reported to the caller. `code` and `message` describe an
    /// outcome other than `completed`.
    struct request_result {
        outcome result = outcome::completed;
        std::string finish_reason;
        milliseconds retry_after{0};
        std::string_view code;
        std::string message;
    };

    /// Authenticates and validates the request. False with `problem` set when it is rejected.
    bool check(error_answer& problem);
    boost::asio::awaitable<request_result> serve();
    boost::asio::awaitable<bool> claim_or_attach(request_result& end);
    boost::asio::awaitable<bool> attach(const std::string& handle, request_result& end);
    boost::asio::awaitable<request_result> run_attempts();
    boost::asio::awaitable<relay_result> run_attempt(const scheduling_decision& place,
                                                     std::uint64_t place_id);
    boost::asio::awaitable<bool> may_retry(const relay_result& result, request_result& end);
    boost::asio::awaitable<void> answer(const request_result& end);
    boost::asio::awaitable<void> answer_non_streaming(const request_result& end);
    void schedule_cancel_when_abandoned(const issued_handle& handle);
    void record(const request_result& end) const;
    scheduling_request make_scheduling_request(std::uint64_t id) const;
    const request_digest& digest();
    /// The verdict on the request. Control thread.
    quarantine_verdict verdict();
    /// Whether the request may be sent as far as the quarantine is concerned: waits for its release
    /// or its trial if that is possible. Control thread.
    boost::asio::awaitable<bool> pass_quarantine();
    void end_trial();
    /// Sets `end` for a quarantined request.
    boost::asio::awaitable<void> end_quarantined(request_result& end);
    /// Reports the end of an attempt to the scheduler, the quarantine and the membership service.
    /// Control thread.
    boost::asio::awaitable<void> record_attempt_end(const scheduling_decision& place,
                                                    std::uint64_t place_id, wall_time start_stamp,
                                                    const relay_result& result);
    const stream_timing& timing() const;
    token_sink& sink();
    bool streaming() const { return request_.stream; }

    instance_core& core_;
    http_exchange& exchange_;
    time_point accepted_;
    std::shared_ptr<const configuration_document> document_;
    workspace_id workspace_;
    completion_request request_;
    std::string pool_;
    /// Latest time for a generation to start. A lost generation is not retried after it.
    time_point start_by_{};
    /// Random id that identifies this request as the claimant of its idempotency key.
    std::string claimant_;
    /// Addresses of the engines on which an attempt has failed.
    std::vector<std::string> avoid_;
    std::unique_ptr<sse_writer> writer_;
    std::unique_ptr<answer_buffer> buffer_;
    /// Computed on first use, since it is not needed as long as no engine has crashed.
    std::optional<request_digest> digest_;
    /// The request is quarantined, and this attempt is its trial. Control thread.
    bool on_trial_ = false;
    /// Identifies the caller's attempt in evidence; empty until a server was lost.
    std::string attempt_id_;
    /// Id of the generation whose tokens were sent to the caller; empty before the first token.
    std::string generation_;
    std::uint64_t tokens_ = 0;
    /// Whether an engine may have run part of the request; decides between `not_run` and
    /// `incomplete`.
    bool may_have_run_ = false;
    std::uint32_t resumed_ = 0;
    std::uint32_t dropped_ = 0;
    std::uint32_t restarts_ = 0;
};

/// Serves one `GET /v1/streams/{handle}?from=N`: resumes a stream at token number N.
boost::asio::awaitable<void> resume_stream(instance_core& core, http_exchange& exchange,
                                           std::string handle_text);

/// Cancels a generation whose caller has not reconnected within `instance_settings::away_limit`.
/// Does nothing when another request has resumed the stream in the meantime. Returns at once.
void cancel_when_abandoned(instance_core& core, const issued_handle& handle, std::string claimant);

} // namespace bamboostream
