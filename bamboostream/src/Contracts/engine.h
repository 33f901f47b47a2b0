#pragma once

#include "bamboostream/src/Contracts/engine_event.h"
#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/failure.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Http/http_client.h"
#include "bamboostream/src/Membership/backend_table.h"
#include "bamboostream/src/Routing/engine_view.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboostream {

/// Why an engine did not do what was asked.
enum class engine_error : std::uint8_t {
    none,
    /// Nothing was sent, or the engine said itself that it did not run the request.
    not_run,
    /// The engine is leaving and did not run the request.
    leaving,
    /// The engine does not know the generation.
    unknown_generation,
    /// The engine can't be reached.
    unreachable,
    /// The answer was lost or malformed; the generation may run.
    outcome_unknown,
    /// The engine refused the order because of its fencing number.
    fenced,
};
using engine_failure = failure<engine_error>;

/// What an engine is asked to run.
struct generation_request {
    generation_id generation;
    /// The caller's own key, for the engine's journal.
    std::string request_key;
    std::string model;
    std::string prompt;
    std::string kind;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    priority_level priority = priority_level::standard;
};

/// An engine's own status.
struct engine_status {
    wall_time start_stamp = 0;
    bool leaving = false;
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    std::string role;
    bool loading = false;
    engine_report load;
};

/// An order about what an engine has loaded.
struct placement_order {
    std::string kind;
    std::string model;
    std::string version;
    std::string adapter;
    std::string role;
    std::int64_t fencing = 0;
};

/// The calls to one engine.
class engine_client {
public:
    engine_client(boost::asio::any_io_executor executor, backend_id engine);

    /// Starts a generation; the result is its event stream.
    boost::asio::awaitable<std::shared_ptr<http_stream>>
    start(const generation_request& request, milliseconds timeout, engine_failure& why);
    /// Takes a generation's events up again from number `from`.
    boost::asio::awaitable<std::shared_ptr<http_stream>>
    resume(generation_id generation, std::uint64_t from, milliseconds timeout, engine_failure& why);
    /// Ends a generation. Best effort: an engine that can't be reached is told nothing.
    boost::asio::awaitable<void> cancel(generation_id generation, milliseconds timeout);
    boost::asio::awaitable<std::optional<engine_status>> status(milliseconds timeout,
                                                                engine_failure& why);
    boost::asio::awaitable<bool> order(const placement_order& order, milliseconds timeout,
                                       engine_failure& why);

private:
    boost::asio::any_io_executor executor_;
    backend_id engine_;
};

/// The header with which every answer of a backend server tells its state ("live" or "leaving").
inline constexpr std::string_view backend_state_field = "Backend-State";
/// The header with the start stamp of the backend server.
inline constexpr std::string_view backend_start_field = "Backend-Start";

} // namespace bamboostream
