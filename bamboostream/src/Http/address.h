#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace bamboostream {

/// Parses "ip:port" with a numeric IP; nothing when `address` isn't of that form.
std::optional<boost::asio::ip::tcp::endpoint> to_endpoint(std::string_view address);

/// Opens an acceptor that listens on "ip:port"; nothing, with the reason in `why`, on failure.
std::optional<boost::asio::ip::tcp::acceptor> listen_on(boost::asio::io_context& context,
                                                        std::string_view address, std::string& why);

/// Opens `socket` and binds it to the IP address `ip` of this machine, with any port, for a
/// connection that is to be made from there.
void bind_to(boost::asio::ip::tcp::socket& socket, const std::string& ip,
             boost::system::error_code& ec);

/// Formats an endpoint as "ip:port".
std::string to_text(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace bamboostream
