#include "bamboostream/src/Routing/pace_cost.h"

#include <algorithm>
#include <cmath>

namespace bamboostream {

namespace {

/// Cost of a certain late pause or late first event, in full engines. A late stream loses six
/// sevenths of its value, while one at a nearly full engine is served in time: engines without risk
/// are filled before those with risk get long streams. In the test of a pool of two speeds, a cost
/// of 1 left a third more late pauses than 3, and 4 half as many more than 8.
constexpr double late_cost = 8.0;
/// Cost of taking the place of a long stream at an engine without risk. Lower than `late_cost`, so
/// that a long stream still prefers that engine itself.
constexpr double displaced_cost = 0.5;
/// Fraction of its objective within which a first event is expected safely: predictions are half of
/// the true time while an engine's prefill rate is being learned or its machine is busy. From there
/// the cost rises with the square of the excess, up to `late_cost` at the objective.
constexpr double safe_start_fraction = 0.5;

/// Below this late rate the delay of other streams by a prompt costs less than the tolerance within
/// which the picker takes costs as equal.
constexpr double min_crowding_rate = 1e-5;

/// 1 - exp(-x), for the risk of a stream that expects x late pauses. Most engines have next to
/// none, for which two terms of the series are exact enough.
double risk_of(double x) {
    return x < 0.01 ? x - 0.5 * x * x : -std::expm1(-x);
}

} // namespace

pace_cost::pace_cost(const server_pace& pace, const service_id& service,
                     const paced_request& request,
                     std::optional<stream_demand::typical_stream> typical)
    : pace_(pace), service_(service), request_(request),
      prompt_tokens_(static_cast<double>(std::max<std::int64_t>(request.prompt_tokens, 1))),
      typical_(typical) {
    if (request_.first_event_objective > duration{}) {
        inverse_first_event_objective_ = 1.0 / to_milliseconds(request_.first_event_objective);
    }
    if (typical_) {
        const duration apart = typical_->pause_objective - request_.pause_objective;
        same_objective_ = apart < milliseconds(1) && apart > milliseconds(-1);
    }
}

double pace_cost::crowding_cost(const server_pace::rated& typical, const backend_work& work,
                                double prefill_tokens_per_ms) const {
    if (typical.late_rate < min_crowding_rate || typical.ms_per_event <= 0.0) {
        return 0.0;
    }
    // Prompts of one service are of similar size.
    const double prompts = static_cast<double>(work.unread_tokens) / prompt_tokens_;
    const double streams = std::max(0.0, work.requests - prompts);
    const double delayed_intervals =
        prompt_tokens_ / (prefill_tokens_per_ms * typical.ms_per_event);
    return late_cost * streams * risk_of(typical.late_rate * delayed_intervals);
}

double pace_cost::cost_at(std::uint64_t hash, const backend_work& work,
                          double prefill_tokens_per_ms) const {
    double out = 0.0;
    const double start_ms =
        (prompt_tokens_ + static_cast<double>(work.unread_tokens)) / prefill_tokens_per_ms;
    const double start = start_ms * inverse_first_event_objective_;
    if (start > safe_start_fraction) {
        const double excess =
            std::min(1.0, (start - safe_start_fraction) / (1.0 - safe_start_fraction));
        out += late_cost * excess * excess;
    }
    if (!typical_) {
        return out;
    }
    const server_pace::rated typical = pace_.rate(service_, hash, typical_->pause_objective);
    out += displaced_cost * (1.0 - risk_of(typical_->events * typical.late_rate));
    out += crowding_cost(typical, work, prefill_tokens_per_ms);
    if (request_.pause_objective > duration{}) {
        const double own_rate = same_objective_
                                    ? typical.late_rate
                                    : pace_.late_rate(service_, hash, request_.pause_objective);
        out += late_cost * risk_of(request_.events * own_rate);
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
