#include "bamboostream/src/Entry/sse_writer.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/log_exception.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

constexpr milliseconds head_delay{800};
constexpr milliseconds heartbeat_period{500};
/// Prevents the heartbeat loop from spinning while a slow write is in progress.
constexpr milliseconds min_pause{20};
constexpr std::size_t max_answer_bytes = 16 * 1024 * 1024;

bool needs_escape(std::string_view text) {
    return std::any_of(text.begin(), text.end(),
                       [](unsigned char c) { return c < 0x20 || c == '"' || c == '\\'; });
}

/// Appends `text` as a JSON string. Tokens without characters to escape, the usual case, are copied
/// without a temporary string.
void append_json_text(std::string& out, std::string_view text) {
    if (needs_escape(text)) {
        out += boost::json::serialize(boost::json::string(text));
        return;
    }
    out += '"';
    out += text;
    out += '"';
}

} // namespace

struct sse_writer::heartbeat_state {
    explicit heartbeat_state(const asio::any_io_executor& executor)
        : timer(executor), ended(executor) {}
    asio::steady_timer timer;
    asio::steady_timer ended;
    bool stop = false;
    bool running = false;
};

void stream_timing::on_token(time_point now) {
    if (tokens++ == 0) {
        first_token = now;
    } else {
        longest_gap = std::max(longest_gap, now - last_token);
    }
    last_token = now;
}

sse_writer::sse_writer(http_exchange& exchange, time_point accepted) : exchange_(exchange) {
    timing_.accepted = accepted;
    last_write_ = accepted;
}

sse_writer::~sse_writer() = default;

void sse_writer::start_heartbeats() {
    heartbeats_ = std::make_shared<heartbeat_state>(exchange_.executor());
    heartbeats_->running = true;
    asio::co_spawn(exchange_.executor(), run_heartbeats(heartbeats_, this), log_exception);
}

asio::awaitable<void> sse_writer::run_heartbeats(std::shared_ptr<heartbeat_state> state,
                                                 sse_writer* writer) {
    while (!state->stop) {
        const time_point due = writer->head_sent_ ? writer->last_write_ + heartbeat_period
                                                  : writer->timing_.accepted + head_delay;
        co_await wait_on(state->timer, std::max(due, monotonic_now() + min_pause));
        if (state->stop) {
            break;
        }
        const time_point now = monotonic_now();
        if (!writer->head_sent_ && now - writer->timing_.accepted >= head_delay) {
            co_await writer->send_head(nullptr);
        } else if (writer->head_sent_ && now - writer->last_write_ >= heartbeat_period) {
            writer->last_write_ = now;
            co_await writer->exchange_.write(": heartbeat\n\n");
        }
    }
    state->running = false;
    state->ended.cancel();
}

asio::awaitable<void> sse_writer::stop_heartbeats() {
    if (!heartbeats_) {
        co_return;
    }
    heartbeats_->stop = true;
    heartbeats_->timer.cancel();
    while (heartbeats_->running) {
        co_await wait_on(heartbeats_->ended, time_point::max());
    }
}

asio::awaitable<bool> sse_writer::send_head(const issued_handle* handle) {
    head_sent_ = true;
    last_write_ = monotonic_now();
    std::vector<http_field> fields;
    if (handle != nullptr) {
        fields.push_back({std::string(resume_field), handle->text()});
    }
    co_return co_await exchange_.begin_stream(200, "text/event-stream", fields);
}

asio::awaitable<bool> sse_writer::announce(const issued_handle& handle) {
    announced_ = handle.content().generation.text();
    if (!head_sent_) {
        co_await send_head(&handle);
    }
    last_write_ = monotonic_now();
    const std::string event =
        fmt::format("event: handle\ndata: {{\"id\":\"{}\",\"handle\":\"{}\"}}\n\n",
                    handle.content().generation.text(), handle.text());
    co_return co_await exchange_.write(event);
}

asio::awaitable<bool> sse_writer::token(const issued_handle& handle, std::uint64_t number,
                                        std::string_view text) {
    const std::string& generation = handle.content().generation.text();
    if (announced_ != generation) {
        co_await announce(handle);
    }
    const time_point now = monotonic_now();
    timing_.on_token(now);
    last_write_ = now;
    line_.clear();
    fmt::format_to(std::back_inserter(line_),
                   "id: {}:{}\ndata: {{\"id\":\"{}\",\"object\":\"text_completion\",\"seq\":{},"
                   "\"choices\":[{{\"index\":0,\"text\":",
                   generation, number, generation, number);
    append_json_text(line_, text);
    line_ += ",\"finish_reason\":null}]}\n\n";
    co_return co_await exchange_.write(line_);
}

asio::awaitable<bool> sse_writer::restart(std::string_view old_generation) {
    const std::string event =
        fmt::format("event: restart\ndata: {{\"discard\":\"{}\"}}\n\n", old_generation);
    co_return co_await exchange_.write(event);
}

asio::awaitable<bool> sse_writer::finish(std::string_view generation, outcome result,
                                         std::uint64_t tokens, std::string_view finish_reason,
                                         milliseconds retry_after, std::string_view message) {
    if (!head_sent_) {
        co_await send_head(nullptr);
    }
    boost::json::object final{
        {"id", generation}, {"outcome", to_string(result)}, {"tokens", tokens}};
    if (!finish_reason.empty()) {
        final["finish_reason"] = finish_reason;
    }
    if (retry_after.count() > 0) {
        final["come_back_in_ms"] = retry_after.count();
    }
    if (!message.empty()) {
        final["message"] = message;
    }
    const std::string event =
        fmt::format("event: outcome\ndata: {}\n\ndata: [DONE]\n\n", boost::json::serialize(final));
    if (!co_await exchange_.write(event)) {
        co_return false;
    }
    co_return co_await exchange_.end_stream();
}

asio::awaitable<bool> answer_buffer::token(const issued_handle& handle, std::uint64_t,
                                           std::string_view text) {
    if (generation_ != handle.content().generation.text()) {
        generation_ = handle.content().generation.text();
        text_.clear();
    }
    timing_.on_token(monotonic_now());
    overflow_ = text_.size() + text.size() > max_answer_bytes;
    text_ += text;
    co_return !overflow_;
}

} // namespace bamboostream
