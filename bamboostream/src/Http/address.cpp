#include "bamboostream/src/Http/address.h"

#include <charconv>
#include <fmt/format.h>
#include <netinet/in.h>

namespace bamboostream {

std::optional<boost::asio::ip::tcp::endpoint> to_endpoint(std::string_view address) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const std::string_view digits = address.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(std::string(address.substr(0, colon)), ec);
    if (ec || parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

std::optional<boost::asio::ip::tcp::acceptor>
listen_on(boost::asio::io_context& context, std::string_view address, std::string& why) {
    const auto endpoint = to_endpoint(address);
    if (!endpoint) {
        why = "not an ip:port address";
        return std::nullopt;
    }
    boost::system::error_code ec;
    boost::asio::ip::tcp::acceptor acceptor(context);
    acceptor.open(endpoint->protocol(), ec);
    acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true), ec);
    acceptor.bind(*endpoint, ec);
    if (!ec) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        why = ec.message();
        return std::nullopt;
    }
    return acceptor;
}

void bind_to(boost::asio::ip::tcp::socket& socket, const std::string& ip,
             boost::system::error_code& ec) {
    const auto address = boost::asio::ip::make_address(ip, ec);
    if (ec) {
        return;
    }
    const boost::asio::ip::tcp::endpoint local(address, 0);
    socket.open(local.protocol(), ec);
    // Without this the port is taken from all destinations' range before the destination is known.
    using choose_port_on_connect =
        boost::asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;
    socket.set_option(choose_port_on_connect(true), ec);
    socket.bind(local, ec);
}

std::string to_text(const boost::asio::ip::tcp::endpoint& endpoint) {
    return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

} // namespace bamboostream
