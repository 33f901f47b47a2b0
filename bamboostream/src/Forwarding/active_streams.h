#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Forwarding/forward_request.h"
#include "bamboostream/src/Forwarding/stream_origin.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboostream {

/// Tells where a generation continues after it was moved to another engine.
struct move_notice {
    backend_id target;
    std::string target_address;
    generation_copy copy;
    /// The target's software version as the sender of the notice knows it, for receivers that don't
    /// know the target; empty if it comes from an instance of the previous version.
    software_version target_version{};
};

/// A running generation that must not be run again, so that it survives the loss of its engine only
/// by being moved.
struct movable_generation {
    std::string id;
    /// Cache memory in use, in tokens.
    std::int64_t memory_tokens = 0;
    /// Estimate of the output tokens still to come.
    std::int64_t tokens_left = 0;
    /// The software version of the server that began it; empty if it comes from an instance of the
    /// previous version.
    software_version version{};
    /// Rank; 0 is the most urgent. Known only for services whose memory is contended, like the next
    /// field.
    int priority = 0;
    std::int64_t output_tokens = 0;

    bool operator==(const movable_generation&) const = default;
};

/// State of one event stream that this instance relays. Used on the thread of its
/// `forwarding_state`.
struct active_stream {
    active_stream(const boost::asio::any_io_executor& executor, std::string request)
        : id(std::move(request)), move_signal(executor) {}

    std::string id;
    backend_id backend;
    /// Set with the first event.
    stream_origin origin;
    /// The generation must not run again, but its engine can move it to another one.
    bool movable = false;
    /// Rank, if the memory of the service's engines is contended.
    std::optional<int> priority;
    std::int64_t prompt_tokens = 0;
    /// The caller's estimate; zero if it gave none.
    std::int64_t expected_output_tokens = 0;
    /// Upper limit of the output; zero if unknown.
    std::int64_t max_output_tokens = 0;
    std::int64_t output_tokens = 0;
    /// Until when the engine may stop the stream for the last step of a move; nothing if no such
    /// step was announced, or it is known not to have stopped the stream.
    std::optional<time_point> stop_expected_until;
    std::optional<move_notice> moved;
    time_point notified_at{};
    /// Cancelled when `moved` is set or no stop is expected any more, to wake a coroutine that
    /// waits for the outcome of the move.
    boost::asio::steady_timer move_signal;

    /// Call when an event has arrived from `backend`. Events that are on their way at a stop arrive
    /// soon after the notice of the move; one that arrives later shows that the engine was never
    /// stopped, which happens if the call for the last step of the move was lost. The notice is
    /// void then, and the stream's end is that of the generation.
    void cancel_refuted_move(time_point now);
};

/// Estimated output tokens of a request: the caller's estimate, capped by the request's own limit.
/// Some estimates exceed the limit fifteenfold; a generation accounted with such an estimate finds
/// no engine with enough free memory when its own engine shuts down.
std::int64_t estimate_output_tokens(const forward_request& request);

/// Estimated output tokens still to come. Callers' estimates are accurate only at the median, and
/// half of all generations exceed theirs. The estimate therefore never falls below half of the
/// tokens already produced, because lengths have a wide distribution and a long generation is
/// likely to continue.
std::int64_t estimate_remaining_tokens(const active_stream& stream);

/// The event streams that this instance relays, by request id. Not thread-safe.
class active_streams {
public:
    void add(std::shared_ptr<active_stream> stream);
    void remove(const std::string& id);
    /// The generations at one engine that have produced output and can be moved. One whose software
    /// version isn't known can't be moved.
    std::vector<movable_generation> list_movable(const backend_id& backend) const;
    /// Announces that the engine is about to be asked to stop the stream, and does so by `until`.
    /// Returns false if the stream doesn't run there any more; the engine must not be asked then.
    bool expect_stop(const std::string& id, const backend_id& backend, time_point until);
    /// The engine has not stopped the stream: its end is that of the generation.
    void cancel_stop(const std::string& id);
    /// Tells a stream where its generation continues. Returns false if the stream has ended.
    bool notify(const std::string& id, move_notice notice, time_point now);
    std::size_t size() const { return streams_.size(); }

private:
    static bool is_movable_at(const active_stream& stream, const backend_id& backend);

    std::map<std::string, std::shared_ptr<active_stream>> streams_;
};

} // namespace bamboostream
