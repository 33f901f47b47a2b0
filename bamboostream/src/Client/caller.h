#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Http/http_client.h"
#include "bamboostream/src/Streams/token_stream.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace bamboostream {

/// Settings of a caller.
struct caller_options {
    /// Addresses for the first directory request; also used when no known address answers.
    std::vector<std::string> seeds;
    std::string bearer_key;
    /// Failure domain of the caller; the directory lists instances in it first.
    std::string failure_domain;
    /// Time without received data after which the instance is considered frozen and another one is
    /// used. Instances send a heartbeat every 500 ms.
    milliseconds silence_limit{1'500};
    milliseconds connect_timeout{1'000};
    /// Time after which a request without an outcome is given up.
    milliseconds patience{120'000};
};

/// A completion request.
struct completion_call {
    /// Idempotency key.
    std::string key;
    std::string model;
    std::string prompt;
    std::string kind;
    std::string priority = "standard";
    std::uint32_t max_tokens = 0;
    /// Length of the prompt; zero to have it estimated by the instance.
    std::uint32_t prompt_tokens = 0;
    /// Time to wait for the start; zero for the default of the pool.
    milliseconds deadline{0};
    /// Whether to start again, rather than to end as incomplete, when the engine is lost.
    bool restart_on_loss = false;
};

/// The result of a completion request.
struct completion_result {
    /// False when there was no outcome within `caller_options::patience`.
    bool ended = false;
    outcome result = outcome::unknown;
    std::string generation;
    std::vector<std::string> tokens;
    std::string finish_reason;
    milliseconds retry_after{0};
    std::string message;
    /// Number of tokens according to the outcome event.
    std::uint64_t declared_tokens = 0;
    double first_token_ms = 0.0;
    std::vector<float> gaps_ms;
    std::uint32_t reconnects = 0;
    std::uint32_t restarts = 0;
    /// Protocol violations: tokens received twice, tokens received out of order, and events of
    /// another generation. Always zero in a correct system.
    std::uint32_t doubled = 0;
    std::uint32_t out_of_order = 0;
    std::uint32_t mixed = 0;
};

/// The result of a call to a plain service.
struct service_result {
    /// False when there was no response within `caller_options::patience`.
    bool ended = false;
    outcome result = outcome::unknown;
    int status = 0;
    std::string body;
    std::string message;
    milliseconds retry_after{0};
    std::uint32_t tries = 0;
};

/// Client for completions and service calls. It caches the directory of instances while that is
/// valid, reconnects to another instance when one is lost, resumes streams by their handle,
/// discards tokens on a restart, and repeats a request with the same idempotency key when an
/// instance is lost before the first token. Not thread-safe; must be used from the thread of its
/// executor.
class caller {
public:
    /// Called for each accepted token with the time at which it was received.
    using token_listener = std::function<void(time_point)>;

    caller(boost::asio::any_io_executor executor, caller_options options, std::uint64_t seed);

    /// Runs a completion to its outcome, over as many connections as needed.
    boost::asio::awaitable<completion_result> complete(completion_call call,
                                                       token_listener listener = {});
    /// Calls a service. When the connection is lost, the call is repeated with the same key; this
    /// is safe because the system runs a call at most once per key.
    boost::asio::awaitable<service_result> call_service(std::string service, std::string operation,
                                                        std::string key, std::string body,
                                                        milliseconds timeout);

private:
    struct stream_state;
    boost::asio::awaitable<std::string> choose_address();
    boost::asio::awaitable<void> refresh_directory();
    void avoid(const std::string& address);
    boost::asio::awaitable<bool> run_connection(const completion_call& call, stream_state& state,
                                                completion_result& result,
                                                const token_listener& listener);
    bool handle_event(std::string_view type, std::string_view data, stream_state& state,
                      completion_result& result, const token_listener& listener);
    void read_refusal(int status, const std::string& body, completion_result& result);
    http_request make_start_request(const completion_call& call) const;

    boost::asio::any_io_executor executor_;
    caller_options options_;
    std::mt19937_64 random_;
    std::vector<std::string> addresses_;
    time_point valid_until_{};
    std::string avoided_address_;
};

} // namespace bamboostream
