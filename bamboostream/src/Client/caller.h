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

/// How a caller behaves.
struct caller_options {
    /// Addresses to ask for the directory at first.
    std::vector<std::string> seeds;
    std::string bearer_key;
    /// Failure domain to stay in when possible.
    std::string failure_domain;
    /// Silence after which the instance counts as frozen and another is used. Instances send a
    /// heartbeat each half second.
    milliseconds silence_limit{1'500};
    milliseconds connect_timeout{1'000};
    /// After this long a request without an outcome is given up on.
    milliseconds patience{120'000};
};

/// A request for a completion.
struct completion_call {
    std::string key;
    std::string model;
    std::string prompt;
    std::string kind;
    std::string priority = "standard";
    std::uint32_t max_tokens = 0;
    std::uint32_t prompt_tokens = 0;
    milliseconds deadline{0};
    bool restart_on_loss = false;
};

/// What a caller got.
struct completion_result {
    /// False when no outcome came within the patience.
    bool ended = false;
    outcome result = outcome::unknown;
    std::string generation;
    std::vector<std::string> tokens;
    std::string finish_reason;
    milliseconds retry_after{0};
    std::string message;
    std::uint64_t declared_tokens = 0;
    double first_token_ms = 0.0;
    std::vector<float> gaps_ms;
    std::uint32_t reconnects = 0;
    std::uint32_t restarts = 0;
    /// Promises broken on the wire; always zero with a correct system.
    std::uint32_t doubled = 0;
    std::uint32_t out_of_order = 0;
    std::uint32_t mixed = 0;
};

/// What a call to a plain service brought.
struct service_result {
    bool ended = false;
    outcome result = outcome::unknown;
    int status = 0;
    std::string body;
    std::string message;
    milliseconds retry_after{0};
    std::uint32_t tries = 0;
};

/// The caller's side of the protocol: asks for addresses, keeps the answer while it is valid,
/// reconnects, resumes by handle, discards on restart, and repeats a request with its key when an
/// instance is lost before the first token. Lives on one thread.
class caller {
public:
    /// Called for each token taken, with its time.
    using token_listener = std::function<void(time_point)>;

    caller(boost::asio::any_io_executor executor, caller_options options, std::uint64_t seed);

    boost::asio::awaitable<completion_result> complete(completion_call call,
                                                       token_listener listener = {});
    /// Calls a service; when the connection is lost the call is repeated with its key, which is
    /// safe because the system runs it at most once.
    boost::asio::awaitable<service_result> call_service(std::string service, std::string operation,
                                                        std::string key, std::string body,
                                                        milliseconds timeout);

private:
    struct stream_state;
    boost::asio::awaitable<std::string> choose_address();
    boost::asio::awaitable<void> refresh_directory();
    void avoid(const std::string& address);
    boost::asio::awaitable<bool> open_and_read(const completion_call& call, stream_state& state,
                                               completion_result& result,
                                               const token_listener& listener);
    bool take_event(std::string_view type, std::string_view data, stream_state& state,
                    completion_result& result, const token_listener& listener);
    void take_refusal(int status, const std::string& body, completion_result& result);
    http_request make_start(const completion_call& call) const;

    boost::asio::any_io_executor executor_;
    caller_options options_;
    std::mt19937_64 random_;
    std::vector<std::string> addresses_;
    time_point valid_until_{};
    std::string avoided_;
};

} // namespace bamboostream
