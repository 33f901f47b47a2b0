#include "bamboostream/src/Contracts/engine.h"

#include "bamboostream/src/Contracts/json_reader.h"
#include "bamboostream/src/Contracts/plain_service.h"

#include <fmt/format.h>

namespace bamboostream {

namespace json = boost::json;

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

std::string start_body(const generation_request& request) {
    return json::serialize(json::object{
        {"model", request.model},
        {"prompt", request.prompt},
        {"kind", request.kind},
        {"prompt_tokens", request.prompt_tokens},
        {"max_tokens", request.max_tokens},
        {"priority", static_cast<int>(request.priority)},
        {"stream", true},
        {"generation_id", request.generation.text()},
        {"request_key", request.request_key},
    });
}

void set_failure(const http_failure& reason, engine_failure& why) {
    why.set(reason.code == http_error::not_connected ? engine_error::unreachable
                                                     : engine_error::outcome_unknown,
            reason.text);
}

/// What a response other than a success says of its request. Its status alone says nothing: an
/// engine may fail after it has worked on a request, and others may respond for it.
template <class Response> engine_error refusal_of(const Response& response) {
    if (response.field(not_run_field) != "true") {
        return engine_error::outcome_unknown;
    }
    return response.field(backend_state_field) == "leaving" ? engine_error::leaving
                                                            : engine_error::not_run;
}

std::vector<std::string> string_array_at(const json::value& value, std::string_view name) {
    std::vector<std::string> out;
    const json::value* found = value.is_object() ? value.get_object().if_contains(name) : nullptr;
    if (found == nullptr || !found->is_array()) {
        return out;
    }
    for (const json::value& item : found->get_array()) {
        if (item.is_string()) {
            out.emplace_back(item.get_string());
        }
    }
    return out;
}

engine_report to_report(const json::value& load) {
    engine_report report;
    report.capacity_tokens = real_at(load, "capacity_tokens");
    report.used_tokens = real_at(load, "used_tokens");
    report.running = static_cast<std::uint32_t>(number_at(load, "running"));
    report.waiting = static_cast<std::uint32_t>(number_at(load, "waiting"));
    report.max_running = static_cast<std::uint32_t>(number_at(load, "max_running"));
    report.preemptions = static_cast<std::uint64_t>(number_at(load, "preemptions"));
    report.step_ms = real_at(load, "step_ms");
    report.age = milliseconds(number_at(load, "age_ms"));
    return report;
}

} // namespace

engine_client::engine_client(boost::asio::any_io_executor executor, backend_id engine)
    : executor_(std::move(executor)), engine_(std::move(engine)) {}

boost::asio::awaitable<std::shared_ptr<http_stream>>
engine_client::start(const generation_request& request, milliseconds timeout, engine_failure& why) {
    http_failure reason;
    http_request message = make_request("POST", "/v1/completions", start_body(request));
    auto stream =
        co_await open_http_stream(executor_, engine_.text(), std::move(message), timeout, reason);
    if (!stream) {
        set_failure(reason, why);
        co_return nullptr;
    }
    if (stream->status() != status_ok) {
        why.set(refusal_of(*stream), fmt::format("status {}", stream->status()));
        co_return nullptr;
    }
    co_return stream;
}

boost::asio::awaitable<std::shared_ptr<http_stream>> engine_client::resume(generation_id generation,
                                                                           std::uint64_t from,
                                                                           milliseconds timeout,
                                                                           engine_failure& why) {
    http_failure reason;
    http_request message =
        make_request("GET", fmt::format("/v1/generations/{}?from={}", generation.text(), from));
    auto stream =
        co_await open_http_stream(executor_, engine_.text(), std::move(message), timeout, reason);
    if (!stream) {
        set_failure(reason, why);
        co_return nullptr;
    }
    if (stream->status() != status_ok) {
        why.set(stream->status() == status_not_found ? engine_error::unknown_generation
                                                     : engine_error::outcome_unknown,
                fmt::format("status {}", stream->status()));
        co_return nullptr;
    }
    co_return stream;
}

boost::asio::awaitable<void> engine_client::cancel(generation_id generation, milliseconds timeout) {
    http_failure ignored;
    http_request message = make_request("DELETE", "/v1/generations/" + generation.text());
    co_await fetch(executor_, engine_.text(), std::move(message), timeout, ignored,
                   short_response_limits());
}

boost::asio::awaitable<std::optional<engine_status>> engine_client::status(milliseconds timeout,
                                                                           engine_failure& why) {
    http_failure reason;
    http_request message = make_request("GET", "/v1/status");
    const auto response = co_await fetch(executor_, engine_.text(), std::move(message), timeout,
                                         reason, short_response_limits());
    if (!response || response->status != status_ok) {
        set_failure(reason, why);
        co_return std::nullopt;
    }
    std::string text;
    const auto value = parse_json(response->body, text);
    if (!value || !value->is_object()) {
        why.set(engine_error::outcome_unknown, "malformed status " + text);
        co_return std::nullopt;
    }
    engine_status status;
    status.start_stamp = number_at(*value, "start_stamp");
    status.leaving = text_at(*value, "state") == "leaving";
    status.model = text_at(*value, "model");
    status.version = text_at(*value, "version");
    status.adapters = string_array_at(*value, "adapters");
    status.role = text_at(*value, "role");
    status.loading = text_at(*value, "state") == "loading";
    if (const json::value* load = value->get_object().if_contains("load")) {
        status.load = to_report(*load);
    }
    co_return status;
}

boost::asio::awaitable<bool> engine_client::order(const placement_order& order,
                                                  milliseconds timeout, engine_failure& why) {
    const json::object body{{"kind", order.kind},       {"model", order.model},
                            {"version", order.version}, {"adapter", order.adapter},
                            {"role", order.role},       {"fencing", order.fencing}};
    http_failure reason;
    http_request message = make_request("POST", "/v1/orders", json::serialize(body));
    const auto response = co_await fetch(executor_, engine_.text(), std::move(message), timeout,
                                         reason, short_response_limits());
    if (!response) {
        set_failure(reason, why);
        co_return false;
    }
    if (response->status != status_ok) {
        why.set(response->status == status_conflict ? engine_error::fenced : refusal_of(*response),
                fmt::format("status {}", response->status));
        co_return false;
    }
    co_return true;
}

} // namespace bamboostream
