#pragma once

#include "bamboostream/src/Core/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace bamboostream::test {

/// A TCP proxy with a limited total speed, which all connections share in both directions, as they
/// share the link of a small machine.
class narrow_link {
public:
    narrow_link(boost::asio::io_context& context, std::string target, double megabits_per_second);
    ~narrow_link();
    narrow_link(const narrow_link&) = delete;
    narrow_link& operator=(const narrow_link&) = delete;

    const std::string& address() const { return address_; }
    /// Number of bytes sent over the link.
    std::uint64_t carried() const { return state_->carried; }
    /// Stalls the link, without closing connections, once it has carried more than `bytes`.
    void stop_after(std::uint64_t bytes) { state_->max_bytes = bytes; }

private:
    /// State shared by the connections; outlives the link until the last one is closed.
    struct link_state {
        double bytes_per_second;
        time_point free_at{};
        std::uint64_t carried = 0;
        std::uint64_t max_bytes = std::numeric_limits<std::uint64_t>::max();
    };
    using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;
    static boost::asio::awaitable<void>
    accept_all(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
               std::shared_ptr<link_state> shared, std::string target);
    static boost::asio::awaitable<void>
    connect(socket_ptr client, std::shared_ptr<link_state> shared, std::string target);
    static boost::asio::awaitable<void> forward_bytes(socket_ptr from, socket_ptr to,
                                                      std::shared_ptr<link_state> shared);

    std::string address_;
    std::shared_ptr<link_state> state_;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
};

} // namespace bamboostream::test
