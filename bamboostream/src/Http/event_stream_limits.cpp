#include "bamboostream/src/Http/event_stream_limits.h"

namespace bamboostream {

response_limit event_stream_limits::check(const event_stream_step& step, time_point now) {
    if (step.completed || step.pending_bytes == 0) {
        pending_since_.reset();
    }
    if (step.pending_bytes > 0) {
        pending_since_ = pending_since_.value_or(now);
    }
    if (step.bytes_without_event > 0 && !without_event_.use(step.bytes_without_event, now)) {
        return response_limit::bytes_without_event;
    }
    if (step.pending_bytes > limits_.event_bytes) {
        return response_limit::event_bytes;
    }
    if (pending_since_ && now - *pending_since_ > limits_.event_time) {
        return response_limit::event_time;
    }
    return memory_.resize(step.pending_capacity) ? response_limit::none : response_limit::memory;
}

} // namespace bamboostream
