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

/// Formats an endpoint as "ip:port".
std::string to_text(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace bamboostream
