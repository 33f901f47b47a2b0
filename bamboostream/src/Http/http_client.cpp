#include "bamboostream/src/Http/http_client.h"

#include "bamboostream/src/Http/http_connection.h"

#include <fmt/format.h>
#include <limits>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

std::string serialize(const http_request& request, std::string_view host) {
    std::string out =
        fmt::format("{} {}{}{} HTTP/1.1\r\nHost: {}\r\n", request.method, request.path,
                    request.query.empty() ? "" : "?", request.query, host);
    for (const http_field& field : request.fields) {
        fmt::format_to(std::back_inserter(out), "{}: {}\r\n", field.name, field.value);
    }
    if (!request.body.empty() || request.method == "POST") {
        fmt::format_to(std::back_inserter(out),
                       "Content-Type: application/json\r\nContent-Length: {}\r\n",
                       request.body.size());
    }
    out += "Connection: close\r\n\r\n";
    out += request.body;
    return out;
}

/// A stream may be of any length.
response_limits stream_limits() {
    response_limits out;
    out.body_bytes = std::numeric_limits<std::size_t>::max();
    return out;
}

asio::awaitable<std::shared_ptr<http_connection>>
open_connection(asio::any_io_executor executor, std::string address, http_request request,
                milliseconds timeout, http_failure& why, const response_limits& limits) {
    const auto connection = std::make_shared<http_connection>(executor);
    connection->set_limits(limits);
    if (!co_await connection->connect(address, timeout, why)) {
        co_return nullptr;
    }
    connection->expire_at(monotonic_now() + timeout);
    connection->send(serialize(request, address), request.method == "HEAD");
    if (!co_await connection->read_head(why)) {
        co_return nullptr;
    }
    connection->expire_never();
    co_return connection;
}

} // namespace

asio::awaitable<std::shared_ptr<http_stream>>
open_http_stream(asio::any_io_executor executor, std::string address, http_request request,
                 milliseconds timeout, http_failure& why) {
    co_return co_await open_connection(std::move(executor), std::move(address), std::move(request),
                                       timeout, why, stream_limits());
}

asio::awaitable<std::optional<http_response>> fetch(asio::any_io_executor executor,
                                                    std::string address, http_request request,
                                                    milliseconds timeout, http_failure& why,
                                                    response_limits limits) {
    const auto connection = co_await open_connection(std::move(executor), std::move(address),
                                                     std::move(request), timeout, why, limits);
    if (!connection) {
        co_return std::nullopt;
    }
    connection->expire_at(monotonic_now() + timeout);
    http_response response;
    response.status = connection->status();
    response.fields = connection->fields();
    while (co_await connection->read(response.body)) {
    }
    const bool complete = connection->complete();
    connection->close();
    if (!complete) {
        const response_limit limit = connection->exceeded();
        why.set(http_error::broken, limit == response_limit::none
                                        ? "the response broke off"
                                        : fmt::format("limit exceeded: {}", to_string(limit)));
        co_return std::nullopt;
    }
    co_return response;
}

http_request make_request(std::string_view method, std::string_view target, std::string body) {
    http_request request;
    request.method = method;
    request.target = target;
    const std::size_t query_separator = std::min(target.find('?'), target.size());
    request.path = target.substr(0, query_separator);
    request.query =
        query_separator < target.size() ? target.substr(query_separator + 1) : std::string_view{};
    request.body = std::move(body);
    return request;
}

} // namespace bamboostream
