#include "bamboostream/src/Contracts/log_service.h"

#include "bamboostream/src/Contracts/json_reader.h"
#include "bamboostream/src/Http/http_client.h"

#include <fmt/format.h>

namespace bamboostream {

namespace {

constexpr int status_ok = 200;
constexpr int records_per_page = 2000;

log_error to_log_error(http_error code) {
    return code == http_error::not_connected ? log_error::not_appended : log_error::unknown;
}

std::optional<log_page> parse_page(const std::string& body, log_failure& why) {
    std::string reason;
    const auto json = parse_json(body, reason);
    const auto* records =
        json && json->is_object() ? json->get_object().if_contains("records") : nullptr;
    if (records == nullptr || !records->is_array()) {
        why.set(log_error::unavailable, "malformed page " + reason);
        return std::nullopt;
    }
    log_page page;
    page.first_offset = number_at(*json, "first_offset");
    page.next_offset = number_at(*json, "next_offset");
    for (const boost::json::value& record : records->get_array()) {
        page.records.push_back({number_at(record, "offset", -1), number_at(record, "time_ms"),
                                text_at(record, "data")});
    }
    return page;
}

} // namespace

http_log_service::http_log_service(boost::asio::any_io_executor executor, std::string address,
                                   milliseconds timeout)
    : executor_(std::move(executor)), address_(std::move(address)), timeout_(timeout) {}

boost::asio::awaitable<std::optional<std::int64_t>>
http_log_service::append(std::string stream, std::string data, log_failure& why) {
    http_request request =
        make_request("POST", "/v1/streams/" + percent_encode(stream) + "/records", std::move(data));
    http_failure reason;
    const auto response = co_await fetch(executor_, address_, std::move(request), timeout_, reason);
    if (!response) {
        why.set(to_log_error(reason.code), reason.text);
        co_return std::nullopt;
    }
    if (response->status != status_ok) {
        // 429 and 503 are sent before the append; after any other status the outcome is unknown.
        const bool before = response->status == 429 || response->status == 503;
        why.set(before ? log_error::not_appended : log_error::unknown,
                fmt::format("status {}", response->status));
        co_return std::nullopt;
    }
    std::string text;
    const auto json = parse_json(response->body, text);
    const std::int64_t offset = json ? number_at(*json, "offset", -1) : -1;
    if (offset < 0) {
        why.set(log_error::unknown, "malformed answer");
        co_return std::nullopt;
    }
    co_return offset;
}

boost::asio::awaitable<std::optional<log_page>>
http_log_service::read(std::string stream, std::int64_t from, milliseconds wait, log_failure& why) {
    http_request request = make_request(
        "GET", fmt::format("/v1/streams/{}/records?from={}&limit={}&wait_ms={}",
                           percent_encode(stream), from, records_per_page, wait.count()));
    http_failure reason;
    const auto response =
        co_await fetch(executor_, address_, std::move(request), timeout_ + wait, reason);
    if (!response || response->status != status_ok) {
        why.set(log_error::unavailable,
                response ? fmt::format("status {}", response->status) : reason.text);
        co_return std::nullopt;
    }
    co_return parse_page(response->body, why);
}

} // namespace bamboostream
