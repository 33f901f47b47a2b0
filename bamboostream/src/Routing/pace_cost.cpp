#include "bamboostream/src/Routing/pace_cost.h"

#include <algorithm>
#include <cmath>

namespace bamboostream {

namespace {

/// Cost of a certain late pause or late first event, in full engines. A late stream loses six
/// sevenths of its value, while one at a nearly full engine is served in time: engines without risk
/// are filled before those with risk get long streams. With a cost of 1, late pauses were a third
/// more in the test of a pool of two speeds.
constexpr double late_cost = 4.0;
/// Cost of taking the place of a long stream at an engine without risk. Lower than `late_cost`, so
/// that a long stream still prefers that engine itself.
constexpr double displaced_cost = 0.5;
/// Fraction of its objective within which a first event is expected safely: predictions are half of
/// the true time while an engine's prefill rate is being learned or its machine is busy. From there
/// the cost rises up to `late_cost` at the objective.
constexpr double safe_start_fraction = 0.5;

} // namespace

pace_cost::pace_cost(const server_pace& pace, const service_id& service,
                     const paced_request& request,
                     std::optional<stream_demand::typical_stream> typical)
    : pace_(pace), service_(service), request_(request), typical_(typical) {}

double pace_cost::cost_at(std::uint64_t hash, const backend_work& work,
                          double prefill_tokens_per_ms) const {
    double out = 0.0;
    const double prefill_ms = static_cast<double>(request_.prompt_tokens) / prefill_tokens_per_ms;
    if (const double own_rate = pace_.late_rate(service_, hash, request_.pause_objective);
        own_rate > 0.0) {
        out -= late_cost * std::expm1(-request_.events * own_rate);
    }
    if (typical_) {
        const double rate = pace_.late_rate(service_, hash, typical_->pause_objective);
        out += displaced_cost * std::exp(-typical_->events * rate);
        const double pace_ms = pace_.ms_per_event(service_, hash);
        // Prompts of one service are of similar size.
        const double prompts =
            static_cast<double>(work.unread_tokens) /
            static_cast<double>(std::max<std::int64_t>(request_.prompt_tokens, 1));
        const double streams = std::max(0.0, work.requests - prompts);
        if (rate > 0.0 && pace_ms > 0.0) {
            out -= late_cost * streams * std::expm1(-rate * prefill_ms / pace_ms);
        }
    }
    if (request_.first_event_objective > duration{}) {
        const double start_ms =
            prefill_ms + static_cast<double>(work.unread_tokens) / prefill_tokens_per_ms;
        const double start = start_ms / to_milliseconds(request_.first_event_objective);
        out += late_cost *
               std::clamp((start - safe_start_fraction) / (1.0 - safe_start_fraction), 0.0, 1.0);
    }
    return out;
}

void pace_cost::add(const registered_backend& engine, std::uint64_t hash, const backend_work& work,
                    double prefill_tokens_per_ms) {
    costs_.push_back({&engine, cost_at(hash, work, prefill_tokens_per_ms)});
}

double pace_cost::cost(const registered_backend& server) const {
    for (std::size_t tried = 0; tried < costs_.size(); ++tried) {
        if (next_ >= costs_.size()) {
            next_ = 0;
        }
        const entry& candidate = costs_[next_++];
        if (candidate.engine == &server) {
            return candidate.cost;
        }
    }
    return 0.0;
}

} // namespace bamboostream
