#pragma once

#include "bamboostream/src/Http/address.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace bamboostream::test {

/// Loopback addresses at which connections fail in the two ways in which a network fails them.
class unreachable_addresses {
public:
    /// Takes effect once `context` has run for some milliseconds.
    explicit unreachable_addresses(boost::asio::io_context& context)
        : refusing_(context),
          full_(context, any_port()), waiting_{boost::asio::ip::tcp::socket(context),
                                               boost::asio::ip::tcp::socket(context),
                                               boost::asio::ip::tcp::socket(context)} {
        // Bound and not listening: connections are refused, and no other process can take the port.
        refusing_.open(any_port().protocol());
        refusing_.bind(any_port());
        refusing_address_ = to_text(refusing_.local_endpoint());
        // Nothing accepts connections there, and its queue for them is full.
        full_.listen(0);
        for (auto& socket : waiting_) {
            socket.async_connect(full_.local_endpoint(), [](boost::system::error_code) {});
        }
    }

    /// Where connections are refused.
    const std::string& refusing() const { return refusing_address_; }
    /// Where connections get no answer.
    std::string silent() const { return to_text(full_.local_endpoint()); }

private:
    static boost::asio::ip::tcp::endpoint any_port() {
        return {boost::asio::ip::make_address("127.0.0.1"), 0};
    }

    boost::asio::ip::tcp::acceptor refusing_;
    std::string refusing_address_;
    boost::asio::ip::tcp::acceptor full_;
    std::array<boost::asio::ip::tcp::socket, 3> waiting_;
};

} // namespace bamboostream::test
