#pragma once

#include "standins/packet_filter.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bamboostream::test {

/// One connection of a scripted backend server, on which a complete request was received.
class scripted_connection {
public:
    scripted_connection(boost::asio::ip::tcp::socket& socket, int number, std::string request,
                        std::function<void()> end_process)
        : socket_(socket), number_(number), request_(std::move(request)),
          end_process_(std::move(end_process)) {}

    /// Tells the connections of a server apart; the first one has the number 1.
    int number() const { return number_; }

    const std::string& request() const { return request_; }
    /// The value of a header field of the request; empty when absent.
    std::string field(const std::string& name) const;
    /// Sends nothing more once sending has failed: a further write on the socket may never end.
    boost::asio::awaitable<void> send(std::string bytes);
    bool send_failed() const { return send_failed_; }
    boost::asio::awaitable<void> pause(int ms);
    /// Reads and discards data until the peer closes the connection.
    boost::asio::awaitable<void> wait_for_close();
    /// Returns true when the peer has closed or reset the connection and no unread data is left.
    bool is_closed() const;
    void close();
    /// Closes the connection with a TCP reset.
    void reset();
    /// Simulates the end of the server's process: closes all its connections and accepts no more.
    void end_process() { end_process_(); }

private:
    boost::asio::ip::tcp::socket& socket_;
    int number_;
    std::string request_;
    std::function<void()> end_process_;
    bool send_failed_ = false;
};

using backend_script = std::function<boost::asio::awaitable<void>(scripted_connection&)>;

/// A backend server on loopback. Its script runs once for each request and determines every byte
/// that is sent.
class scripted_backend {
public:
    scripted_backend(boost::asio::io_context& context, backend_script script);

    const std::string& address() const { return address_; }
    const std::vector<std::string>& requests() const { return requests_; }
    int connections() const { return connections_; }
    /// The number of connections that the peer has closed.
    int closed() const { return closed_; }
    /// Accepts no more connections; those that are open stay open.
    void stop();
    /// Simulates the end of the process: closes the open connections and accepts no more.
    void end_process();
    bool ended() const { return !acceptor_.is_open(); }
    /// From now on, discards packets from these IP addresses: with none, none.
    bool discard_packets_from(const std::vector<std::string>& sources,
                              standins::discarded_packets which);
    /// From now on, runs the script as soon as the head of a request has arrived, without waiting
    /// for the body, and serves one request on each connection, which stays open until the peer
    /// closes it.
    void answer_before_the_body();
    /// From now on, sends these bytes on each new connection as soon as it is accepted.
    void greet_with(std::string bytes) { greeting_ = std::move(bytes); }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket, int number);

    boost::asio::io_context& context_;
    backend_script script_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string address_;
    std::vector<std::string> requests_;
    using socket_set = std::set<boost::asio::ip::tcp::socket*>;
    /// The sockets of open connections. Shared with the connections, which may outlive the server.
    std::shared_ptr<socket_set> open_ = std::make_shared<socket_set>();
    int connections_ = 0;
    int closed_ = 0;
    bool reads_bodies_ = true;
    std::string greeting_;
};

} // namespace bamboostream::test
