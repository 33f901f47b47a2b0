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

/// Serves one `POST /v1/services/{service}/{operation}`: idempotent operations are retried within
/// the deadline and the retry budget; the others run at most once, by the ledger's word.
class service_handler {
public:
    service_handler(instance_core& core, http_exchange& exchange, std::string service,
                    std::string operation);
    boost::asio::awaitable<void> run();

private:
    /// One try on one replica.
    struct attempt {
        std::optional<service_response> answer;
        service_failure why;
        bool no_replica = false;
        /// The call wasn't sent because of what it does to servers; for how much longer.
        std::optional<milliseconds> held_for;
    };

    bool check(error_answer& problem);
    boost::asio::awaitable<void> run_idempotent();
    boost::asio::awaitable<void> run_once();
    boost::asio::awaitable<void> dispatch(const claim_result& won);
    boost::asio::awaitable<attempt> try_replica();
    boost::asio::awaitable<attempt> try_again(const retry_permit& permit);
    boost::asio::awaitable<void> answer_with(int status, std::string body);
    boost::asio::awaitable<void> refuse(std::string_view outcome, std::string_view code,
                                        std::string message);
    boost::asio::awaitable<void> refuse_held(std::string_view outcome, milliseconds held_for);
    const request_digest& digest();
    /// For how much longer the call is refused because of what it does to servers; nothing when it
    /// isn't. On the control thread.
    std::optional<milliseconds> held_for();
    /// Takes the end of a try into account. On the control thread.
    boost::asio::awaitable<void> note_end(const backend_id& backend, wall_time start_stamp,
                                          const attempt& ended);
    milliseconds left() const;

    instance_core& core_;
    http_exchange& exchange_;
    service_call call_;
    time_point deadline_{};
    const operation_settings* operation_ = nullptr;
    /// Computed on first use: while no server has ended, none is needed.
    std::optional<request_digest> digest_;
    std::shared_ptr<const configuration_document> document_;
};

} // namespace bamboostream
