#pragma once

#include "bamboostream/src/Contracts/engine.h"
#include "bamboostream/src/Streams/token_sequencer.h"
#include "bamboostream/src/Streams/token_stream.h"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>

namespace bamboostream {

/// Timeouts and limits by which a relay handles an idle or broken connection to an engine.
struct relay_timing {
    /// Time limit for an engine to accept a generation.
    milliseconds start_timeout{1'000};
    /// Time without any bytes, including keep-alives, after which the connection is replaced.
    milliseconds idle_timeout{700};
    /// Time limit for one attempt to resume the stream.
    milliseconds reconnect_timeout{400};
    /// Time without contact, or without a new token, after which the engine counts as lost.
    milliseconds engine_lost_timeout{6'000};
    /// Time without contact before the first token, when the request can still run elsewhere.
    milliseconds first_token_lost_timeout{1'500};
    /// Consecutive connections refused or closed at once after which the engine counts as lost
    /// without further waiting: its host responds, but no engine is running there.
    int max_consecutive_refusals = 4;
    /// Pause before the first reconnection is repeated; doubled for each further one.
    milliseconds retry_pause{50};
    /// A reconnection that fails faster than this was refused; a slower one timed out.
    milliseconds refusal_threshold{100};
};

/// How a relay ended.
enum class relay_end : std::uint8_t {
    completed,
    /// The generation was cancelled at the engine by request.
    cancelled,
    /// The engine refused the generation or was unreachable, and did not run it.
    not_run,
    /// The engine or the generation no longer exists.
    lost,
    /// The caller has disconnected.
    caller_gone,
};

/// Counters of one relay. Other threads may read them while it runs.
struct relay_progress {
    std::atomic<std::uint32_t> tokens{0};
    std::atomic<std::uint32_t> finished{0};
};

/// Outcome of a relay, with its counters.
struct relay_result {
    relay_end end = relay_end::lost;
    /// Tokens delivered, counted from the start of the generation.
    std::uint64_t tokens = 0;
    std::string finish_reason;
    /// No connection to the engine could be established.
    bool unreachable = false;
    /// Times the stream was resumed on a new connection.
    std::uint32_t resumed = 0;
    /// Malformed, duplicate and foreign events that were dropped.
    std::uint32_t dropped = 0;
    /// Why the relay failed, for the caller and the log.
    std::string why;
};

/// Relays the tokens of one generation from its engine to a sink. Drops duplicate events and those
/// of other generations, requests missing ones again, and replaces an idle or broken connection.
/// Runs on its caller's traffic thread and does not allocate per token.
class relay {
public:
    relay(boost::asio::any_io_executor executor, backend_id backend, relay_timing timing);

    /// Starts the generation and relays it from its first token.
    boost::asio::awaitable<relay_result> start(const generation_request& request, token_stream& out,
                                               relay_progress& progress);
    /// Resumes an existing generation from token number `from`.
    boost::asio::awaitable<relay_result> resume(generation_id generation, std::uint64_t from,
                                                token_stream& out, relay_progress& progress);

private:
    boost::asio::awaitable<relay_result> run(std::shared_ptr<http_stream> stream,
                                             generation_id generation, std::uint64_t from,
                                             token_stream& out, relay_progress& progress);
    boost::asio::awaitable<std::shared_ptr<http_stream>>
    reconnect(const generation_id& generation, std::uint64_t from, relay_result& result);

    boost::asio::any_io_executor executor_;
    backend_id backend_;
    engine_client engine_;
    relay_timing timing_;
};

} // namespace bamboostream
