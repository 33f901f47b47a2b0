#include "test/platform/system/soak_requests.h"

#include <fmt/format.h>

namespace bamboostream::test {

namespace asio = boost::asio;

namespace {

constexpr milliseconds patience_of_callers{3'000};
/// An instance that answers later than its caller's patience is as good as silent.
constexpr milliseconds longest_answer{3'600};

/// Tells of the whole events in `body` beyond the `known` ones; how many there are.
int note_events(soak_audit& audit, const std::string& id, const std::string& body, int known) {
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

std::string path_of(const std::string& request) {
    const std::size_t from = request.find(' ') + 1;
    return request.substr(from, request.find(' ', from) - from);
}

asio::awaitable<void> send_audited(http_connection& connection, soak_audit& audit,
                                   soak_request request) {
    connection.send(fmt::format("GET {} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {}\r\n"
                                "Authorization: Bearer k\r\nDeadline-Ms: {}\r\n\r\n",
                                request.path, request.id, patience_of_callers.count()),
                    false);
    connection.expire_at(monotonic_now() + longest_answer);
    http_failure why;
    const bool head = co_await connection.read_head(why);
    std::string body;
    int events = 0;
    while (head && co_await connection.read(body)) {
        if (request.stream && connection.status() == 200) {
            events = note_events(audit, request.id, body, events);
        }
    }
    const bool whole = head && connection.complete();
    if (request.stream && whole && connection.status() == 200) {
        audit.completed(request.id, events_a_stream);
    } else if (whole && connection.status() == 200) {
        audit.ended(request.id, seen_end::answered, body);
    } else if (head && connection.status() == 503) {
        audit.ended(request.id, seen_end::not_run, body);
    } else {
        audit.ended(request.id, seen_end::unknown, body);
    }
    if (body.find("ends_servers") != std::string::npos) {
        audit.held(request.id, request.path);
    }
    if (!whole) {
        connection.close();
    }
}

} // namespace bamboostream::test
