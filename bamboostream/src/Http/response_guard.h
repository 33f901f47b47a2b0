#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Http/memory_budget.h"
#include "bamboostream/src/Http/response_limits.h"

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/execution_context.hpp>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace bamboostream {

/// What all client connections of one execution context share: the limits of responses, the rate at
/// which responses are read in bulk, and the record of servers that exceeded a limit. Thread-safe.
///
/// Example: `response_guard::of(executor).claim_turn(now)`
class response_guard final : public boost::asio::execution_context::service {
public:
    // Asio identifies services by this member.
    // NOLINTNEXTLINE(readability-identifier-naming)
    static boost::asio::execution_context::id id;

    explicit response_guard(boost::asio::execution_context& context);
    /// The guard of the context that runs `executor`.
    static response_guard& of(const boost::asio::any_io_executor& executor);

    /// Sets the limits for connections that are made from now on.
    void configure(const response_limits& limits);
    response_limits limits() const;

    /// The memory for responses that are kept, with all other memory of the context.
    memory_budget& memory() { return memory_; }

    /// The time at which a connection that has bytes ready all the time may read them. Each call
    /// claims the next turn.
    time_point claim_turn(time_point now);

    /// Counts and logs that a server exceeded a limit; one line per server and minute. `server` is
    /// its id, or its address if that isn't known.
    void record(const std::string& server, const std::string& address, response_limit limit,
                std::size_t bytes, time_point now);
    /// Whether a line for the server was written within the minute before `now`.
    bool has_exceeded_lately(const std::string& server, time_point now) const;
    std::array<std::uint64_t, static_cast<std::size_t>(response_limit::count_)> counts() const;

private:
    void shutdown() override {}

    mutable std::mutex mutex_;
    response_limits limits_;
    memory_budget& memory_;
    time_point next_turn_;
    std::array<std::uint64_t, static_cast<std::size_t>(response_limit::count_)> counts_{};
    /// When the latest line was written for a server.
    std::unordered_map<std::string, time_point> logged_;
};

/// Memory that one response has reserved; released with this object.
class reserved_memory {
public:
    explicit reserved_memory(response_guard& guard) : guard_(guard) {}
    ~reserved_memory() { guard_.memory().release(memory_use::response, bytes_); }
    reserved_memory(const reserved_memory&) = delete;
    reserved_memory& operator=(const reserved_memory&) = delete;

    /// Changes the reservation to what `bytes` take beyond those that every response may have;
    /// false, without a change, if there isn't as much left.
    bool resize(std::size_t bytes);

private:
    response_guard& guard_;
    std::size_t bytes_ = 0;
};

} // namespace bamboostream
