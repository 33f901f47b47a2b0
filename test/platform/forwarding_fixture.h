#pragma once

#include "bamboostream/Forwarding"
#include "platform/platform_request_codec.h"
#include "test/platform/scripted_backend.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboostream::test {

/// What a caller saw of one request.
struct caller_view {
    std::string bytes;
    bool closed = false;
    bool done = false;

    int status() const;
    std::string field(const std::string& name) const;
    /// The body with its chunks joined.
    std::string body() const;
    /// True when the answer looks complete by its framing.
    bool complete() const;
};

/// A forwarding instance on loopback with scripted backend servers, all on one thread.
class forwarding_fixture {
public:
    forwarding_fixture();
    ~forwarding_fixture();
    forwarding_fixture(const forwarding_fixture&) = delete;
    forwarding_fixture& operator=(const forwarding_fixture&) = delete;

    /// Registers a scripted backend server of the service "calls" or "engines".
    scripted_backend& add(const std::string& id, backend_script script,
                          const std::string& service = "calls");
    /// The server with that id registers anew, since a later life of it has begun.
    void note_start(const std::string& id, std::int64_t started_ms);
    /// Registers an address behind which nobody listens.
    void add_dead(const std::string& id);
    /// Changes a route before requests are sent.
    route_rule& route(const std::string& name);
    /// Sends a request whose target names the route, on a connection of its own.
    std::shared_ptr<caller_view> ask(const std::string& route, const std::string& id,
                                     const std::string& more_fields = "",
                                     const std::string& body = "body");
    /// The caller closes its connection.
    void leave(const std::shared_ptr<caller_view>& view);
    /// Runs until the caller has its answer or the connection is closed.
    void finish(const std::shared_ptr<caller_view>& view, milliseconds limit = milliseconds(3'000));
    void run_for(milliseconds time);
    forwarding_state& state() { return *state_; }
    boost::asio::io_context& context() { return context_; }

private:
    struct caller;
    void rebuild();

    boost::asio::io_context context_{1};
    platform::platform_request_codec codec_;
    routing_configuration configuration_;
    std::unique_ptr<forwarding_state> state_;
    std::unique_ptr<http_server> server_;
    std::string address_;
    std::vector<std::unique_ptr<scripted_backend>> backends_;
    std::vector<std::shared_ptr<caller>> callers_;
};

/// A whole answer of a backend server to the request on this connection.
std::string sealed_answer(const scripted_connection& connection, const std::string& body,
                          int status = 200);
/// A server that answers every request with this body.
backend_script answering(const std::string& body);
/// The head of a chunked stream of events.
std::string stream_head(const scripted_connection& connection);
/// Events from `first` to `last`, each in a chunk of its own.
std::string stream_events(int first, int last);
inline constexpr const char* stream_end = "0\r\n\r\n";
/// What the caller gets of such events.
std::string events_text(int first, int last);

} // namespace bamboostream::test
