#pragma once

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/execution_context.hpp>
#include <cstddef>
#include <cstdint>
#include <mutex>

namespace bamboostream {

/// What memory is reserved for. Each use has a limit of its own below that of all together.
enum class memory_use : std::uint8_t {
    /// Bodies of callers' requests.
    request,
    /// Those longer than `memory_budget::long_body_bytes`. Their limit is lower, so that short
    /// requests are served while long ones have to wait.
    long_request,
    /// Bodies of servers' responses that are kept until they are complete.
    response,
    count_,
};

/// The memory that callers and servers can make one execution context hold: a part of the memory of
/// the process, since the rest is needed for its own state and for what the allocator can't use.
/// Thread-safe.
///
/// Example: `memory_budget::of(executor).try_reserve(memory_use::request, bytes)`
class memory_budget final : public boost::asio::execution_context::service {
public:
    // Asio identifies services by this member.
    // NOLINTNEXTLINE(readability-identifier-naming)
    static boost::asio::execution_context::id id;

    static constexpr std::size_t long_body_bytes = 64 * 1024;

    explicit memory_budget(boost::asio::execution_context& context);
    /// The budget of the context that runs `executor`.
    static memory_budget& of(const boost::asio::any_io_executor& executor);

    /// Sets the limits from the memory of the process and the share of it for responses.
    void configure(std::size_t process_bytes, double response_share);
    /// Sets the limit of one use in bytes.
    void set_limit(memory_use use, std::size_t bytes);
    /// Reserves memory; false if there isn't as much left.
    bool try_reserve(memory_use use, std::size_t bytes);
    void release(memory_use use, std::size_t bytes);
    /// Bytes reserved for one use, and for all.
    std::size_t reserved(memory_use use) const;
    std::size_t reserved() const;
    /// Counts a request that was refused because there was no memory for its body.
    void count_refusal();
    std::uint64_t refused_requests() const;

private:
    void shutdown() override {}

    using amounts = std::array<std::size_t, static_cast<std::size_t>(memory_use::count_)>;

    mutable std::mutex mutex_;
    std::size_t limit_ = 0;
    amounts limits_{};
    amounts reserved_{};
    std::uint64_t refused_requests_ = 0;
};

/// The reservation for the body of one request; released with this object.
class body_reservation {
public:
    explicit body_reservation(memory_budget& budget) : budget_(budget) {}
    ~body_reservation() { budget_.release(use_, bytes_); }
    body_reservation(const body_reservation&) = delete;
    body_reservation& operator=(const body_reservation&) = delete;

    /// Raises the reservation to what a body of this length takes; false, without a change, if
    /// there isn't as much left.
    bool raise(std::size_t body_bytes);

private:
    memory_budget& budget_;
    memory_use use_ = memory_use::request;
    std::size_t bytes_ = 0;
};

} // namespace bamboostream
