#include "test/platform/system/soak_requests.h"

#include <fmt/format.h>

namespace bamboostream::test {

namespace asio = boost::asio;

namespace {

constexpr milliseconds caller_timeout{3'000};
/// Longer than `caller_timeout`, the deadline that the request carries: an instance that answers
/// later than this is treated as one that does not answer.
constexpr milliseconds answer_timeout{3'600};

/// Reports the complete events in `body` after the first `known` ones to the audit. Returns the
/// number of complete events in `body`.
int record_events(soak_audit& audit, const std::string& id, const std::string& body, int known) {
    std::size_t from = 0;
    int seen = 0;
    while ((from = body.find("id: ", from)) != std::string::npos &&
           body.find("\n\n", from) != std::string::npos) {
        if (seen++ >= known) {
            audit.event(id, std::stoi(body.substr(from + 4)));
        }
        from += 4;
    }
    return seen;
}

} // namespace

std::string request_target(const std::string& request) {
    const std::size_t from = request.find(' ') + 1;
    return request.substr(from, request.find(' ', from) - from);
}

asio::awaitable<void> send_audited(http_connection& connection, soak_audit& audit,
                                   soak_request request) {
    connection.send(fmt::format("GET {} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {}\r\n"
                                "Authorization: Bearer k\r\nDeadline-Ms: {}\r\n\r\n",
                                request.path, request.id, caller_timeout.count()),
                    false);
    connection.expire_at(monotonic_now() + answer_timeout);
    http_failure why;
    const bool head = co_await connection.read_head(why);
    std::string body;
    int events = 0;
    while (head && co_await connection.read(body)) {
        if (request.stream && connection.status() == 200) {
            events = record_events(audit, request.id, body, events);
        }
    }
    const bool answer_complete = head && connection.complete();
    if (request.stream && answer_complete && connection.status() == 200) {
        audit.completed(request.id, events_per_stream);
    } else if (answer_complete && connection.status() == 200) {
        audit.ended(request.id, observed_outcome::answered, body);
    } else if (head && connection.status() == 503) {
        audit.ended(request.id, observed_outcome::not_run, body);
    } else {
        audit.ended(request.id, observed_outcome::unknown, body);
    }
    if (body.find("ends_servers") != std::string::npos) {
        audit.quarantined(request.id, request.path);
    }
    if (!answer_complete) {
        connection.close();
    }
}

} // namespace bamboostream::test
