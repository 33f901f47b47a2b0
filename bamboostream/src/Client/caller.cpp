#include "bamboostream/src/Client/caller.h"

#include "bamboostream/src/Contracts/json_reader.h"
#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Http/server_sent_events.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <fmt/format.h>

namespace bamboostream {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr milliseconds retry_pause{50};
constexpr std::size_t max_addresses = 4;

outcome parse_outcome(std::string_view name) {
    static constexpr std::array all = {outcome::completed, outcome::not_run, outcome::incomplete,
                                       outcome::unknown};
    const auto found =
        std::find_if(all.begin(), all.end(), [&](outcome o) { return to_string(o) == name; });
    return found == all.end() ? outcome::unknown : *found;
}

/// State shared with the coroutine that closes a stream after too long without received data.
struct silence_guard {
    http_stream* stream = nullptr;
    time_point last_received = monotonic_now();
    bool ended = false;
};

asio::awaitable<void> close_when_silent(std::shared_ptr<silence_guard> guard, milliseconds limit) {
    while (!guard->ended) {
        co_await pause_for(limit / 8);
        const bool silent = monotonic_now() - guard->last_received > limit;
        if (!guard->ended && guard->stream != nullptr && silent) {
            guard->stream->close();
            guard->stream = nullptr;
        }
    }
}

} // namespace

/// State of a request that is kept across connections.
struct caller::stream_state {
    std::string handle;
    std::string generation;
    std::uint64_t next = 0;
    bool done = false;
    time_point started{};
    time_point last_token{};
};

caller::caller(asio::any_io_executor executor, caller_options options, std::uint64_t seed)
    : executor_(std::move(executor)), options_(std::move(options)), random_(seed),
      addresses_(options_.seeds) {}

asio::awaitable<void> caller::refresh_directory() {
    std::vector<std::string> candidates = addresses_;
    std::shuffle(candidates.begin(), candidates.end(), random_);
    candidates.insert(candidates.end(), options_.seeds.begin(), options_.seeds.end());
    for (const std::string& address : candidates) {
        http_failure why;
        http_request request =
            make_request("GET", "/v1/entries?near=" + percent_encode(options_.failure_domain));
        const auto response =
            co_await fetch(executor_, address, std::move(request), options_.connect_timeout, why);
        if (!response || response->status != 200) {
            continue;
        }
        std::string reason;
        const auto value = parse_json(response->body, reason);
        const json::value* entries =
            value && value->is_object() ? value->get_object().if_contains("entries") : nullptr;
        if (entries == nullptr || !entries->is_array() || entries->get_array().empty()) {
            continue;
        }
        addresses_.clear();
        for (const json::value& entry : entries->get_array()) {
            addresses_.push_back(text_at(entry, "address"));
        }
        addresses_.resize(std::min(addresses_.size(), max_addresses));
        valid_until_ = monotonic_now() + milliseconds(number_at(*value, "valid_for_ms", 1000));
        co_return;
    }
    valid_until_ = monotonic_now() + retry_pause;
}

asio::awaitable<std::string> caller::choose_address() {
    if (monotonic_now() >= valid_until_) {
        co_await refresh_directory();
    }
    std::vector<std::string> usable = addresses_;
    if (usable.size() > 1) {
        std::erase(usable, avoided_address_);
    }
    std::uniform_int_distribution<std::size_t> pick(0, usable.size() - 1);
    co_return usable[pick(random_)];
}

void caller::avoid(const std::string& address) {
    avoided_address_ = address;
    valid_until_ = {};
}

http_request caller::make_start_request(const completion_call& call) const {
    json::object body{{"model", call.model},
                      {"prompt", call.prompt},
                      {"kind", call.kind},
                      {"priority", call.priority},
                      {"stream", true},
                      {"max_tokens", call.max_tokens},
                      {"on_loss", call.restart_on_loss ? "restart" : "incomplete"}};
    if (call.prompt_tokens > 0) {
        body["prompt_tokens"] = call.prompt_tokens;
    }
    if (call.deadline.count() > 0) {
        body["deadline_ms"] = call.deadline.count();
    }
    http_request request = make_request("POST", "/v1/completions", json::serialize(body));
    request.fields.push_back({"Idempotency-Key", call.key});
    return request;
}

asio::awaitable<completion_result> caller::complete(completion_call call, token_listener listener) {
    completion_result result;
    stream_state state;
    state.started = monotonic_now();
    const time_point give_up_at = state.started + options_.patience;
    while (!state.done && monotonic_now() < give_up_at) {
        if (!co_await run_connection(call, state, result, listener)) {
            ++result.reconnects;
            co_await pause_for(retry_pause);
        }
    }
    result.ended = state.done;
    result.generation = state.generation;
    co_return result;
}

void caller::read_refusal(int status, const std::string& body, completion_result& result) {
    std::string reason;
    const auto value = parse_json(body, reason);
    const json::value* error =
        value && value->is_object() ? value->get_object().if_contains("error") : nullptr;
    if (error != nullptr) {
        result.result = parse_outcome(text_at(*error, "outcome"));
        result.retry_after = milliseconds(number_at(*error, "come_back_in_ms"));
        result.message = text_at(*error, "code");
    } else {
        result.message = fmt::format("status {}", status);
    }
}

/// Handles one connection: starts the request, or resumes its stream when tokens have been received
/// already. Returns true when the request has ended.
asio::awaitable<bool> caller::run_connection(const completion_call& call, stream_state& state,
                                             completion_result& result,
                                             const token_listener& listener) {
    const std::string address = co_await choose_address();
    const bool resuming = !state.handle.empty() && state.next > 0;
    http_request request =
        resuming
            ? make_request("GET", fmt::format("/v1/streams/{}?from={}", state.handle, state.next))
            : make_start_request(call);
    request.fields.push_back({"Authorization", "Bearer " + options_.bearer_key});
    http_failure why;
    auto stream = co_await open_http_stream(executor_, address, std::move(request),
                                            options_.silence_limit, why);
    if (!stream) {
        avoid(address);
        co_return false;
    }
    auto guard = std::make_shared<silence_guard>();
    asio::co_spawn(executor_, close_when_silent(guard, options_.silence_limit), log_exception);
    std::string refusal;
    sse_parser reader;
    const bool streaming = stream->status() == 200;
    bool more = true;
    while (more && !state.done) {
        guard->stream = stream.get();
        guard->last_received = monotonic_now();
        more = co_await stream->read(streaming ? reader.buffer() : refusal);
        guard->stream = nullptr;
        sse_parser::event event;
        while (streaming && !state.done && reader.next(event)) {
            if (!event.comment_only) {
                handle_event(event.type, event.data, state, result, listener);
            }
        }
    }
    guard->ended = true;
    if (!streaming && stream->complete()) {
        read_refusal(stream->status(), refusal, result);
        // These refusals are sent before anything has run, so another instance may be tried.
        if (result.message == "leaving" || result.message == "not_ready") {
            avoid(address);
            co_return false;
        }
        state.done = true;
    }
    if (!state.done) {
        avoid(address);
    }
    co_return state.done;
}

/// Applies one event to the request. Returns false when the event was ignored: malformed, of
/// another generation, or not the next token.
bool caller::handle_event(std::string_view type, std::string_view data, stream_state& state,
                          completion_result& result, const token_listener& listener) {
    if (data == "[DONE]") {
        return true;
    }
    std::string reason;
    const auto value = parse_json(data, reason);
    if (!value) {
        return false;
    }
    if (type == "handle") {
        const std::string generation = text_at(*value, "id");
        if (state.next > 0 && generation != state.generation) {
            ++result.mixed;
        }
        state.generation = generation;
        state.handle = text_at(*value, "handle");
        return true;
    }
    if (type == "restart") {
        ++result.restarts;
        result.tokens.clear();
        state.next = 0;
        state.handle.clear();
        return true;
    }
    if (type == "outcome") {
        result.result = parse_outcome(text_at(*value, "outcome"));
        result.finish_reason = text_at(*value, "finish_reason");
        result.declared_tokens = static_cast<std::uint64_t>(number_at(*value, "tokens"));
        result.retry_after = milliseconds(number_at(*value, "come_back_in_ms"));
        result.message = text_at(*value, "message");
        state.done = true;
        return true;
    }
    const auto number = static_cast<std::uint64_t>(number_at(*value, "seq", -1));
    if (text_at(*value, "id") != state.generation) {
        ++result.mixed;
        return false;
    }
    if (number != state.next) {
        ++(number < state.next ? result.doubled : result.out_of_order);
        return false;
    }
    const json::value* choices = value->get_object().if_contains("choices");
    const bool has_choice =
        choices != nullptr && choices->is_array() && !choices->get_array().empty();
    result.tokens.push_back(has_choice ? text_at(choices->get_array()[0], "text") : "");
    const time_point now = monotonic_now();
    if (state.next == 0) {
        result.first_token_ms = to_milliseconds(now - state.started);
    } else {
        result.gaps_ms.push_back(static_cast<float>(to_milliseconds(now - state.last_token)));
    }
    state.last_token = now;
    ++state.next;
    if (listener) {
        listener(now);
    }
    return true;
}

asio::awaitable<service_result> caller::call_service(std::string service, std::string operation,
                                                     std::string key, std::string body,
                                                     milliseconds timeout) {
    service_result result;
    const time_point give_up_at = monotonic_now() + options_.patience;
    while (monotonic_now() < give_up_at) {
        const std::string address = co_await choose_address();
        http_request request = make_request(
            "POST",
            fmt::format("/v1/services/{}/{}", percent_encode(service), percent_encode(operation)),
            body);
        request.fields.push_back({"Authorization", "Bearer " + options_.bearer_key});
        request.fields.push_back({"Idempotency-Key", key});
        http_failure why;
        ++result.tries;
        const auto response = co_await fetch(executor_, address, std::move(request), timeout, why);
        if (!response) {
            avoid(address);
            co_await pause_for(retry_pause);
            continue;
        }
        result.ended = true;
        result.status = response->status;
        result.body = response->body;
        if (response->field("Outcome") == "completed") {
            result.result = outcome::completed;
            co_return result;
        }
        completion_result refusal;
        read_refusal(response->status, response->body, refusal);
        result.result = refusal.result;
        result.message = refusal.message;
        result.retry_after = refusal.retry_after;
        if (refusal.message == "leaving" || refusal.message == "not_ready") {
            result.ended = false;
            avoid(address);
            co_await pause_for(retry_pause);
            continue;
        }
        co_return result;
    }
    co_return result;
}

} // namespace bamboostream
