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

/// Times that govern how a relay treats a silent or broken link to an engine.
struct relay_timing {
    /// Time for an engine to accept a generation.
    milliseconds start_timeout{1'000};
    /// Silence, keep-alives included, after which the link is replaced.
    milliseconds silence_limit{700};
    milliseconds reconnect_timeout{400};
    /// Time without any contact after which the engine counts as lost.
    milliseconds lost_after{6'000};
    /// The same before the first token, when the request can still be run elsewhere.
    milliseconds lost_before_first_token{1'500};
    /// Connections refused or closed at once, in a row, after which the engine counts as lost
    /// without waiting longer: its machine answers, but nobody is there.
    int refusals_until_lost = 4;
    /// Pause before a link is tried again; doubled each time.
    milliseconds retry_pause{50};
    /// An attempt that fails faster than this was refused; a slower one timed out.
    milliseconds quick_failure{100};
};

/// How a relay ended.
enum class relay_end : std::uint8_t {
    completed,
    /// The engine ended the generation by order.
    cancelled,
    /// The engine refused the generation and did not run it.
    not_run,
    /// The engine or the generation is gone.
    lost,
    /// The caller is gone.
    caller_gone,
};

/// Counters of one relay, read by other threads while it runs.
struct relay_progress {
    std::atomic<std::uint32_t> tokens{0};
    std::atomic<std::uint32_t> finished{0};
};

struct relay_result {
    relay_end end = relay_end::lost;
    std::uint64_t tokens = 0;
    std::string finish_reason;
    /// No connection to the engine came about.
    bool unreachable = false;
    std::uint32_t resumed = 0;
    std::uint32_t dropped = 0;
    std::string why;
};

/// Carries one generation's tokens from its engine to a sink: drops foreign and repeated events,
/// asks for missing ones again, replaces a silent or broken link, and never mixes generations.
/// Lives on the traffic thread of its caller; allocates nothing on the path of a token.
class relay {
public:
    relay(boost::asio::any_io_executor executor, backend_id backend, relay_timing timing);

    /// Starts the generation and relays it from its first token.
    boost::asio::awaitable<relay_result> start(const generation_request& request, token_stream& out,
                                               relay_progress& progress);
    /// Takes an existing generation up from number `from`.
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
