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

/// Why a call to an engine failed.
enum class engine_error : std::uint8_t {
    none,
    /// The engine reported that it had not run the request.
    not_run,
    /// The engine is shutting down and reported that it had not run the request.
    leaving,
    /// The engine has no such generation.
    unknown_generation,
    /// The engine can't be reached; nothing was sent.
    unreachable,
    /// The response was lost, malformed or a failure; the request may have run, or may be running.
    outcome_unknown,
    /// The engine rejected the order because of its fencing number.
    fenced,
};
using engine_failure = failure<engine_error>;

/// Parameters of one generation, as sent to an engine.
struct generation_request {
    generation_id generation;
    /// The caller's own key of the request; the engine records it in its journal.
    std::string request_key;
    std::string model;
    std::string prompt;
    std::string kind;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    priority_level priority = priority_level::standard;
};

/// Status that an engine reports about itself.
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

/// Tells an engine which model or adapter to load, or which role to take. An engine may reject an
/// order because of its fencing number.
struct placement_order {
    std::string kind;
    std::string model;
    std::string version;
    std::string adapter;
    std::string role;
    std::int64_t fencing = 0;
};

/// HTTP client of one engine. Calls run on the given executor; when one fails, `why` gives the
/// reason. `timeout` limits connecting, the response head and, where a whole response is read, its
/// body, each separately.
class engine_client {
public:
    engine_client(boost::asio::any_io_executor executor, backend_id engine);

    /// Starts a generation; the result is its event stream.
    boost::asio::awaitable<std::shared_ptr<http_stream>>
    start(const generation_request& request, milliseconds timeout, engine_failure& why);
    /// Reopens the event stream of a generation, starting with event number `from`.
    boost::asio::awaitable<std::shared_ptr<http_stream>>
    resume(generation_id generation, std::uint64_t from, milliseconds timeout, engine_failure& why);
    /// Cancels a generation, best effort: when the engine can't be reached, nothing happens.
    boost::asio::awaitable<void> cancel(generation_id generation, milliseconds timeout);
    /// Reads the engine's status; nothing on failure.
    boost::asio::awaitable<std::optional<engine_status>> status(milliseconds timeout,
                                                                engine_failure& why);
    /// Sends a placement order; false when the engine did not accept it.
    boost::asio::awaitable<bool> order(const placement_order& order, milliseconds timeout,
                                       engine_failure& why);

private:
    boost::asio::any_io_executor executor_;
    backend_id engine_;
};

/// Header field that gives the state of a backend server ("live" or "leaving") in each of its
/// responses.
inline constexpr std::string_view backend_state_field = "Backend-State";
/// Header field with the start stamp of the backend server.
inline constexpr std::string_view backend_start_field = "Backend-Start";

} // namespace bamboostream
