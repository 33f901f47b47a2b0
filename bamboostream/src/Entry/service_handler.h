#pragma once

#include "bamboostream/src/Entry/error_answer.h"
#include "bamboostream/src/Entry/instance_core.h"
#include "bamboostream/src/Http/http_server.h"
#include "bamboostream/src/Streams/call_safety.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

namespace bamboostream {

/// Serves one `POST /v1/services/{service}/{operation}` request. Idempotent operations are retried
/// within the deadline and the retry budget. Other operations run at most once: each is claimed in
/// the ledger by its idempotency key before it is sent.
///
/// A handler runs on the traffic thread of its connection. Functions marked "control thread" must
/// be called through `instance_core::on_control`.
class service_handler {
public:
    service_handler(instance_core& core, http_exchange& exchange, std::string service,
                    std::string operation);
    boost::asio::awaitable<void> run();

private:
    /// The result of one attempt on one replica.
    struct attempt {
        std::optional<service_response> answer;
        service_failure why;
        bool no_replica = false;
        /// Set when the call was not sent because it is quarantined: the remaining time.
        std::optional<milliseconds> held_for;
    };

    /// Authenticates and validates the call. False with `problem` set when it is rejected.
    bool check(error_answer& problem);
    boost::asio::awaitable<void> run_idempotent();
    /// Claims the call in the ledger, and sends it only when the ledger permits.
    boost::asio::awaitable<void> run_once();
    boost::asio::awaitable<void> dispatch(const claim_result& granted_claim);
    boost::asio::awaitable<attempt> try_replica();
    boost::asio::awaitable<attempt> retry_replica(const retry_permit& permit);
    boost::asio::awaitable<void> answer_with(int status, std::string body);
    boost::asio::awaitable<void> refuse(std::string_view outcome, std::string_view code,
                                        std::string message);
    boost::asio::awaitable<void> refuse_quarantined(std::string_view outcome,
                                                    milliseconds held_for);
    const request_digest& digest();
    /// Whether the call may be sent as far as the quarantine is concerned: waits for its release or
    /// its trial if that is possible. Control thread.
    boost::asio::awaitable<bool> pass_quarantine();
    void end_trial();
    /// Reports the end of an attempt to the load balancer, the membership service and the
    /// quarantine. Control thread.
    boost::asio::awaitable<void> record_attempt_end(const backend_id& backend,
                                                    wall_time start_stamp, const attempt& ended);
    /// Time until the deadline, less the time reserved for sending the response.
    milliseconds remaining_time() const;

    instance_core& core_;
    http_exchange& exchange_;
    service_call call_;
    time_point deadline_{};
    const operation_settings* operation_ = nullptr;
    /// Computed on first use, since it is not needed as long as no server has crashed.
    std::optional<request_digest> digest_;
    /// The call is quarantined, and this attempt is its trial. Control thread.
    bool on_trial_ = false;
    /// Identifies the caller's attempt in evidence; empty until a server was lost.
    std::string attempt_id_;
    std::shared_ptr<const configuration_document> document_;
};

} // namespace bamboostream
