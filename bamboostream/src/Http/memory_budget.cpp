#include "bamboostream/src/Http/memory_budget.h"

#include <algorithm>
#include <boost/asio/query.hpp>
#include <numeric>

namespace bamboostream {

namespace {

/// The memory of the smallest instance.
constexpr std::size_t default_process_bytes = 88 * 1024 * 1024;
constexpr double default_response_share = 1.0 / 32.0;
constexpr double total_share = 0.5;
constexpr double long_request_share = 0.375;
/// What a long body takes beside its bytes while it is received and passed on: the buffers of the
/// two sockets and of the connection.
constexpr std::size_t transfer_bytes = 256 * 1024;

} // namespace

boost::asio::execution_context::id memory_budget::id;

memory_budget::memory_budget(boost::asio::execution_context& context)
    : boost::asio::execution_context::service(context) {
    configure(default_process_bytes, default_response_share);
}

memory_budget& memory_budget::of(const boost::asio::any_io_executor& executor) {
    return boost::asio::use_service<memory_budget>(
        boost::asio::query(executor, boost::asio::execution::context));
}

void memory_budget::configure(std::size_t process_bytes, double response_share) {
    const auto part = [process_bytes](double share) {
        return static_cast<std::size_t>(share * static_cast<double>(process_bytes));
    };
    const std::lock_guard lock(mutex_);
    limit_ = part(total_share);
    limits_ = {limit_, part(long_request_share), part(response_share)};
}

void memory_budget::set_limit(memory_use use, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    limits_.at(static_cast<std::size_t>(use)) = bytes;
}

bool memory_budget::try_reserve(memory_use use, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    std::size_t& reserved = reserved_.at(static_cast<std::size_t>(use));
    const std::size_t all = std::accumulate(reserved_.begin(), reserved_.end(), std::size_t{0});
    if (reserved + bytes > limits_.at(static_cast<std::size_t>(use)) || all + bytes > limit_) {
        return false;
    }
    reserved += bytes;
    return true;
}

void memory_budget::release(memory_use use, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    std::size_t& reserved = reserved_.at(static_cast<std::size_t>(use));
    reserved -= std::min(bytes, reserved);
}

std::size_t memory_budget::reserved(memory_use use) const {
    const std::lock_guard lock(mutex_);
    return reserved_.at(static_cast<std::size_t>(use));
}

std::size_t memory_budget::reserved() const {
    const std::lock_guard lock(mutex_);
    return std::accumulate(reserved_.begin(), reserved_.end(), std::size_t{0});
}

void memory_budget::count_refusal() {
    const std::lock_guard lock(mutex_);
    ++refused_requests_;
}

std::uint64_t memory_budget::refused_requests() const {
    const std::lock_guard lock(mutex_);
    return refused_requests_;
}

/// A body that turns out to be long counts as such from then on.
bool body_reservation::raise(std::size_t body_bytes) {
    const bool is_long = body_bytes > memory_budget::long_body_bytes;
    const memory_use use = is_long ? memory_use::long_request : memory_use::request;
    const std::size_t wanted = body_bytes + (is_long ? transfer_bytes : 0);
    if (use == use_ && wanted <= bytes_) {
        return true;
    }
    const std::size_t more = use == use_ ? wanted - bytes_ : wanted;
    if (!budget_.try_reserve(use, more)) {
        return false;
    }
    if (use != use_) {
        budget_.release(use_, bytes_);
    }
    use_ = use;
    bytes_ = wanted;
    return true;
}

} // namespace bamboostream
