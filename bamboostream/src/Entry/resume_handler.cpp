#include "bamboostream/src/Entry/authentication.h"
#include "bamboostream/src/Entry/completion_handler.h"

namespace bamboostream {

namespace asio = boost::asio;

namespace {

constexpr milliseconds retry_delay_after_loss{100};

int status_of(handle_error code) {
    switch (code) {
    case handle_error::expired:
        return 410;
    case handle_error::forged:
    case handle_error::wrong_workspace:
    case handle_error::unknown_key:
        return 403;
    case handle_error::none:
    case handle_error::malformed:
        break;
    }
    return 400;
}

/// Registers this request as the owner of the stream, so that the request that relayed it before
/// does not cancel it as abandoned.
asio::awaitable<void> take_over(instance_core& core, const resume_handle& content,
                                std::string claimant) {
    co_await core.on_control([&]() -> asio::awaitable<void> {
        core.homes->take_over(content.workspace.text(), "generation/" + content.generation.text(),
                              claimant);
        co_return;
    });
}

asio::awaitable<relay_result> relay_to_caller(http_exchange& exchange, sse_writer& writer,
                                              const issued_handle& handle, std::uint64_t from) {
    token_stream out(writer, handle);
    relay_progress progress;
    relay engine_relay(exchange.executor(), handle.content().backend, {});
    co_return co_await engine_relay.resume(handle.content().generation, from, out, progress);
}

} // namespace

asio::awaitable<void> resume_stream(instance_core& core, http_exchange& exchange,
                                    std::string handle_text) {
    const auto document = core.configuration->document();
    const auto owner = authenticate(exchange.request(), *document);
    if (!owner) {
        const error_answer problem =
            make_error(401, "unauthorized", "a workspace's bearer key is required");
        co_await respond_error(exchange, problem);
        co_return;
    }
    handle_failure why;
    const auto handle = make_signer(*document).reissue(handle_text, *owner, wall_now(), why);
    const std::int64_t from = exchange.request().number_parameter("from", 0);
    if (!handle || from < 0) {
        const error_answer problem =
            handle ? make_error(400, "invalid_request", "'from' must not be negative")
                   : make_error(status_of(why.code), "bad_handle", why.text);
        co_await respond_error(exchange, problem);
        co_return;
    }
    const std::string claimant = random_id();
    co_await take_over(core, handle->content(), claimant);
    sse_writer writer(exchange, monotonic_now());
    writer.start_heartbeats();
    const relay_result result =
        co_await relay_to_caller(exchange, writer, *handle, static_cast<std::uint64_t>(from));
    co_await writer.stop_heartbeats();
    if (result.end == relay_end::caller_gone) {
        cancel_when_abandoned(core, *handle, claimant);
        co_return;
    }
    const bool is_completed = result.end == relay_end::completed;
    co_await writer.finish(handle->content().generation.text(),
                           is_completed ? outcome::completed : outcome::incomplete, result.tokens,
                           result.finish_reason,
                           is_completed ? milliseconds(0) : retry_delay_after_loss, result.why);
}

} // namespace bamboostream
