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

/// What the caller received in response to one request.
struct caller_view {
    std::string bytes;
    bool closed = false;
    bool done = false;

    int status() const;
    std::string field(const std::string& name) const;
    /// The body with chunked encoding removed.
    std::string body() const;
    /// True when the response is complete by its Content-Length or chunked framing.
    bool complete() const;
};

/// The routes and services that the fixture serves; its only API key is "the-key".
routing_configuration forwarding_configuration();

/// A forwarding instance on loopback with scripted backend servers and callers. Everything runs on
/// one thread, and only inside finish() and run_for().
class forwarding_fixture {
public:
    forwarding_fixture();
    ~forwarding_fixture();
    forwarding_fixture(const forwarding_fixture&) = delete;
    forwarding_fixture& operator=(const forwarding_fixture&) = delete;

    /// Registers a scripted backend server of the service "calls" or "engines".
    scripted_backend& add(const std::string& id, backend_script script,
                          const std::string& service = "calls", const std::string& version = "v1");
    /// Registers a new incarnation of the server with that id, at the address of the server that
    /// was added last.
    void note_start(const std::string& id, std::int64_t started_ms);
    /// Registers a backend server whose address refuses connections.
    void add_dead(const std::string& id);
    /// Returns a route for modification; the change takes effect when the fixture runs next.
    route_rule& route(const std::string& name);
    /// Sends a request for the route on a new connection. `id` is its Attempt-Id; each line of
    /// `more_fields` ends in CRLF.
    std::shared_ptr<caller_view> ask(const std::string& route, const std::string& id,
                                     const std::string& more_fields = "",
                                     const std::string& body = "body",
                                     const std::string& method = "POST");
    /// The caller closes its connection.
    void leave(const std::shared_ptr<caller_view>& view);
    /// Runs until the response is complete, the connection is closed or `limit` has passed.
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

/// A complete response with a seal to the request on this connection.
std::string sealed_answer(const scripted_connection& connection, const std::string& body,
                          int status = 200);
/// A script that answers every request with status 200 and this body.
backend_script answering(const std::string& body);
/// The response head of a chunked event stream.
std::string stream_head(const scripted_connection& connection);
/// The events from `first` to `last` inclusive, each encoded as one chunk.
std::string stream_events(int first, int last);
inline constexpr const char* stream_end = "0\r\n\r\n";
/// The same events as the caller receives them, without chunked encoding.
std::string events_text(int first, int last);

} // namespace bamboostream::test
