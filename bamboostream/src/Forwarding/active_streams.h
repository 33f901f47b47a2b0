#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Forwarding/forward_request.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboostream {

/// Where a generation goes on after it was moved.
struct move_notice {
    backend_id target;
    std::string target_address;
    generation_copy copy;
};

/// A running generation that can be saved only by moving it.
struct movable_generation {
    std::string id;
    /// Cache memory that it holds, in tokens.
    std::int64_t memory_tokens = 0;
    /// Tokens that it is expected to put out yet.
    std::int64_t tokens_left = 0;

    bool operator==(const movable_generation&) const = default;
};

/// A stream that this instance passes on.
struct active_stream {
    active_stream(const boost::asio::any_io_executor& executor, std::string request)
        : id(std::move(request)), noticed(executor) {}

    std::string id;
    backend_id backend;
    /// Only moving saves it: it must not run again.
    bool movable = false;
    std::int64_t prompt_tokens = 0;
    /// What the caller expects; zero when it didn't say.
    std::int64_t expected_output_tokens = 0;
    /// What the generation may put out at most; zero when unknown.
    std::int64_t max_output_tokens = 0;
    std::int64_t output_tokens = 0;
    /// Somebody has asked for it in order to move it.
    bool move_expected = false;
    std::optional<move_notice> moved;
    time_point noticed_at{};
    /// Cancelled when `moved` is set.
    boost::asio::steady_timer noticed;
};

/// Tokens that a request is expected to put out: its caller's estimate, or the most that the
/// request allows where that is less. Some estimates are fifteen times over it, and a generation
/// that counts with such a one finds no engine with room when its own leaves.
std::int64_t estimate_output_tokens(const forward_request& request);

/// Tokens that a generation is expected to put out yet. Callers' estimates are right at the median
/// only, and half of all generations outlive theirs: then as much is expected again as a half of
/// what has come, since lengths spread over a wide range and who has lived long lives on.
std::int64_t estimate_remaining_tokens(const active_stream& stream);

/// The streams of this instance by request id.
class active_streams {
public:
    void add(std::shared_ptr<active_stream> stream);
    void remove(const std::string& id);
    /// The generations at one engine that have begun and can be moved. Marks them as about to move.
    std::vector<movable_generation> claim_movable(const backend_id& backend);
    /// Tells a stream where it goes on; false when it has ended meanwhile.
    bool notify(const std::string& id, move_notice notice, time_point now);
    std::size_t size() const { return streams_.size(); }

private:
    std::map<std::string, std::shared_ptr<active_stream>> streams_;
};

} // namespace bamboostream
