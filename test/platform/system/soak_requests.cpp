#include "test/platform/system/soak_requests.h"

#include <fmt/format.h>
#include <functional>

namespace bamboostream::test {

namespace asio = boost::asio;

namespace {

constexpr milliseconds caller_timeout{3'000};
/// Longer than `caller_timeout`, the deadline that the request carries: an instance that answers
/// later than this is treated as one that does not answer.
constexpr milliseconds answer_timeout{3'600};

/// Reports the complete events in `body` that are not in `received` yet to the audit.
void record_events(soak_audit& audit, const soak_request& request, const std::string& body,
                   received_stream& received) {
    constexpr std::string_view data = "data: ";
    std::size_t from = 0;
    std::size_t end = 0;
    int seen = 0;
    while ((from = body.find("id: ", from)) != std::string::npos &&
           (end = body.find("\n\n", from)) != std::string::npos) {
        if (seen++ >= received.events) {
            const std::size_t text = body.find(data, from) + data.size();
            const std::size_t id = body.find(' ', text) + 1;
            received.version = body.substr(text, id - 1 - text);
            audit.event(request.stream_id(), std::stoi(body.substr(from + 4)), received.version);
            audit.event_brought(request.id, body.substr(id, end - id));
        }
        from += 4;
    }
    received.events = seen;
}

std::string resumption_fields(const soak_request& request) {
    return request.resumes.empty() ? std::string()
                                   : fmt::format("Resumes: {}\r\nLast-Event-Id: {}\r\n",
                                                 request.resumes, request.events - 1);
}

/// The parts of the prompt: one of three that all requests share, one of several documents, and the
/// harmful one or one of its own.
std::string prompt_fields(const soak_request& request) {
    constexpr std::size_t first_parts = 3;
    constexpr std::size_t documents = 8;
    const std::size_t draw = std::hash<std::string>()(request.id);
    const std::string harmful =
        request.harmful_part.empty() ? "" : fmt::format("{}:60,", request.harmful_part);
    return fmt::format("Model: m\r\nPrompt-Prefix: f{}:79,d{}:30,{}{:x}:20\r\n", draw % first_parts,
                       draw / first_parts % documents, harmful, draw);
}

} // namespace

std::string request_target(const std::string& request) {
    const std::size_t from = request.find(' ') + 1;
    return request.substr(from, request.find(' ', from) - from);
}

asio::awaitable<received_stream> send_audited(http_connection& connection, soak_audit& audit,
                                              soak_request request) {
    connection.send(fmt::format("GET {} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {}\r\n"
                                "Authorization: Bearer k\r\nDeadline-Ms: {}\r\n{}{}\r\n",
                                request.path, request.id, caller_timeout.count(),
                                resumption_fields(request), prompt_fields(request)),
                    false);
    connection.expire_at(monotonic_now() + answer_timeout);
    http_failure why;
    const bool head = co_await connection.read_head(why);
    std::string body;
    received_stream received;
    while (head && co_await connection.read(body)) {
        if (request.stream && connection.status() == 200) {
            record_events(audit, request, body, received);
        }
    }
    received.status = head ? connection.status() : 0;
    const bool answer_complete = head && connection.complete();
    if (request.stream && answer_complete && connection.status() == 200) {
        audit.completed(request.stream_id(), events_per_stream);
        received.complete = true;
    } else {
        audit.ended(request.id, outcome_of(received.status, answer_complete), body);
    }
    if (body.find("ends_servers") != std::string::npos) {
        audit.quarantined(request.id,
                          request.harmful_part.empty() ? request.path : request.harmful_part);
    }
    if (!answer_complete) {
        connection.close();
    }
    co_return received;
}

} // namespace bamboostream::test
