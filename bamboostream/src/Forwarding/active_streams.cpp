#include "bamboostream/src/Forwarding/active_streams.h"

#include <algorithm>
#include <utility>

namespace bamboostream {

namespace {

/// Longer than events are under way to an instance that is as slow as those that are still served.
constexpr milliseconds max_event_delay{1'600};

} // namespace

void active_stream::cancel_refuted_move(time_point now) {
    if (moved && now - notified_at > max_event_delay) {
        moved.reset();
        stop_expected_until.reset();
    }
}

std::int64_t estimate_output_tokens(const forward_request& request) {
    return request.max_output_tokens > 0
               ? std::min(request.expected_output_tokens, request.max_output_tokens)
               : request.expected_output_tokens;
}

std::int64_t estimate_remaining_tokens(const active_stream& stream) {
    const std::int64_t max_remaining =
        std::max<std::int64_t>(0, stream.max_output_tokens - stream.output_tokens);
    const std::int64_t estimated =
        std::max(stream.expected_output_tokens - stream.output_tokens, stream.output_tokens / 2);
    return stream.max_output_tokens > 0 ? std::min(max_remaining, estimated) : estimated;
}

void active_streams::add(std::shared_ptr<active_stream> stream) {
    const std::string id = stream->id;
    streams_[id] = std::move(stream);
}

void active_streams::remove(const std::string& id) {
    streams_.erase(id);
}

bool active_streams::is_movable_at(const active_stream& stream, const backend_id& backend) {
    return stream.backend == backend && stream.movable && stream.output_tokens > 0 &&
           !stream.moved && !stream.origin.version.empty();
}

std::vector<movable_generation> active_streams::list_movable(const backend_id& backend) const {
    std::vector<movable_generation> out;
    for (const auto& [id, stream] : streams_) {
        if (is_movable_at(*stream, backend)) {
            out.push_back({id, stream->prompt_tokens + stream->output_tokens,
                           estimate_remaining_tokens(*stream), stream->origin.version,
                           stream->priority.value_or(0),
                           stream->priority ? stream->output_tokens : 0});
        }
    }
    return out;
}

bool active_streams::expect_stop(const std::string& id, const backend_id& backend,
                                 time_point until) {
    const auto found = streams_.find(id);
    if (found == streams_.end() || !is_movable_at(*found->second, backend)) {
        return false;
    }
    found->second->stop_expected_until = until;
    return true;
}

void active_streams::cancel_stop(const std::string& id) {
    if (const auto found = streams_.find(id); found != streams_.end()) {
        found->second->stop_expected_until.reset();
        found->second->move_signal.cancel();
    }
}

bool active_streams::notify(const std::string& id, move_notice notice, time_point now) {
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
        return false;
    }
    found->second->moved = std::move(notice);
    found->second->notified_at = now;
    found->second->move_signal.cancel();
    return true;
}

} // namespace bamboostream
