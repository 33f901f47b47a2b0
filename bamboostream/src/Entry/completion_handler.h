#pragma once

#include "bamboostream/src/Entry/completion_request.h"
#include "bamboostream/src/Entry/error_answer.h"
#include "bamboostream/src/Entry/instance_core.h"
#include "bamboostream/src/Entry/sse_writer.h"
#include "bamboostream/src/Http/http_server.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboostream {

/// Serves one `POST /v1/completions`: admits it, finds it a place, relays its tokens, and sees to
/// it that it ends in exactly one outcome. Lives on the traffic thread of its connection.
class completion_handler {
public:
    completion_handler(instance_core& core, http_exchange& exchange);
    boost::asio::awaitable<void> run();

private:
    /// What the caller is told in the end.
    struct ending {
        outcome result = outcome::completed;
        std::string finish_reason;
        milliseconds retry_after{0};
        std::string_view code;
        std::string message;
    };

    bool check(error_answer& problem);
    boost::asio::awaitable<ending> serve();
    boost::asio::awaitable<bool> claim_or_attach(ending& end);
    boost::asio::awaitable<bool> attach(const std::string& handle, ending& end);
    boost::asio::awaitable<ending> run_attempts();
    boost::asio::awaitable<relay_result> run_on(const scheduling_decision& place,
                                                std::uint64_t place_id);
    boost::asio::awaitable<bool> may_try_again(const relay_result& result, ending& end);
    boost::asio::awaitable<void> answer(const ending& end);
    boost::asio::awaitable<void> answer_whole(const ending& end);
    void leave_to_caller(const issued_handle& handle);
    void record(const ending& end) const;
    scheduling_request make_place_request(std::uint64_t id) const;
    const request_digest& digest();
    /// Whether the request is refused because of what it does to engines. On the control thread.
    bool is_held();
    /// Sets `end` for a request that is held.
    boost::asio::awaitable<void> end_held(ending& end);
    /// Takes the end of a run into account. On the control thread.
    boost::asio::awaitable<void> note_end(const scheduling_decision& place, std::uint64_t place_id,
                                          wall_time start_stamp, const relay_result& result);
    const stream_timing& timing() const;
    token_sink& sink();
    bool streaming() const { return request_.stream; }

    instance_core& core_;
    http_exchange& exchange_;
    time_point accepted_;
    std::shared_ptr<const configuration_document> document_;
    workspace_id workspace_;
    completion_request request_;
    std::string pool_;
    time_point start_by_{};
    std::string claimant_;
    std::vector<std::string> avoid_;
    std::unique_ptr<sse_writer> writer_;
    std::unique_ptr<answer_buffer> buffer_;
    /// Computed on first use: while no engine has ended, none is needed.
    std::optional<request_digest> digest_;
    /// The generation whose tokens the caller has, empty before the first.
    std::string generation_;
    std::uint64_t tokens_ = 0;
    /// Some engine may have run part of the request.
    bool ran_ = false;
    std::uint32_t resumed_ = 0;
    std::uint32_t dropped_ = 0;
    std::uint32_t restarts_ = 0;
};

/// Serves one `GET /v1/streams/{handle}?from=N`: takes a stream up again from its next number.
boost::asio::awaitable<void> resume_stream(instance_core& core, http_exchange& exchange,
                                           std::string handle_text);

/// Ends a generation whose caller has stayed away for `instance_settings::away_limit`, unless it
/// has been taken up elsewhere.
void cancel_when_abandoned(instance_core& core, const issued_handle& handle, std::string claimant);

} // namespace bamboostream
