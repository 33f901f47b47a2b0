#include "bamboostream/src/Http/response_guard.h"

#include "bamboostream/src/Core/event_log.h"

#include <algorithm>
#include <boost/asio/query.hpp>

namespace bamboostream {

namespace {

/// What every response may keep without a reservation, so that events and ordinary bodies never
/// fail because others are large.
constexpr std::size_t unreserved_bytes = 16 * 1024;
/// A turn reads up to 4 KB, which takes some 0.05 ms with parsing and forwarding. Turns that are
/// further apart than that leave most of the time to other requests; together they read 16 MB/s.
constexpr std::chrono::microseconds turn_interval{250};
constexpr seconds log_interval{60};
/// Addresses whose latest line is remembered.
constexpr std::size_t max_logged = 4'096;

} // namespace

boost::asio::execution_context::id response_guard::id;

response_guard::response_guard(boost::asio::execution_context& context)
    : boost::asio::execution_context::service(context),
      memory_(boost::asio::use_service<memory_budget>(context)) {}

response_guard& response_guard::of(const boost::asio::any_io_executor& executor) {
    return boost::asio::use_service<response_guard>(
        boost::asio::query(executor, boost::asio::execution::context));
}

void response_guard::configure(const response_limits& limits) {
    const std::lock_guard lock(mutex_);
    limits_ = limits;
}

response_limits response_guard::limits() const {
    const std::lock_guard lock(mutex_);
    return limits_;
}

time_point response_guard::claim_turn(time_point now) {
    const std::lock_guard lock(mutex_);
    const time_point turn = std::max(now, next_turn_);
    next_turn_ = turn + turn_interval;
    return turn;
}

void response_guard::record(const std::string& server, const std::string& address,
                            response_limit limit, std::size_t bytes, time_point now) {
    {
        const std::lock_guard lock(mutex_);
        ++counts_.at(static_cast<std::size_t>(limit));
        if (logged_.size() >= max_logged) {
            std::erase_if(logged_,
                          [now](const auto& it) { return now - it.second >= log_interval; });
        }
        const auto [latest, is_new] = logged_.try_emplace(server, now);
        if (!is_new && now - latest->second < log_interval) {
            return;
        }
        latest->second = now;
    }
    log_event(events::response_without_end, "backend={} address={} limit={} bytes={}", server,
              address, to_string(limit), bytes);
}

bool response_guard::has_exceeded_lately(const std::string& server, time_point now) const {
    const std::lock_guard lock(mutex_);
    const auto found = logged_.find(server);
    return found != logged_.end() && now - found->second < log_interval;
}

std::array<std::uint64_t, static_cast<std::size_t>(response_limit::count_)>
response_guard::counts() const {
    const std::lock_guard lock(mutex_);
    return counts_;
}

bool reserved_memory::resize(std::size_t bytes) {
    const std::size_t wanted = bytes > unreserved_bytes ? bytes - unreserved_bytes : 0;
    if (wanted > bytes_ && !guard_.memory().try_reserve(memory_use::response, wanted - bytes_)) {
        return false;
    }
    if (wanted < bytes_) {
        guard_.memory().release(memory_use::response, bytes_ - wanted);
    }
    bytes_ = wanted;
    return true;
}

} // namespace bamboostream
