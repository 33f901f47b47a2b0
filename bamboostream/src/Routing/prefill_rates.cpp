#include "bamboostream/src/Routing/prefill_rates.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// Prior rate and its weight: that of some prompts processed at this rate.
constexpr double assumed_tokens_per_ms = 7.0;
constexpr double assumed_tokens = 20'000.0;
/// An engine's own samples have the same weight as the average of its service once it has processed
/// this many tokens.
constexpr double engine_prior_tokens = 20'000.0;
/// Samples decay exponentially with the tokens processed since, on this scale, so that the rates
/// follow changes.
constexpr double service_retention_tokens = 1'000'000.0;
constexpr double engine_retention_tokens = 60'000.0;
/// Samples of fewer tokens are ignored: the time of a decoding step dominates them.
constexpr double min_sample_tokens = 500.0;

void add(prefill_sample& sum, const prefill_sample& sample, double retention_tokens) {
    const double kept = std::max(0.0, 1.0 - sample.tokens / retention_tokens);
    sum.tokens = sum.tokens * kept + sample.tokens;
    sum.ms = sum.ms * kept + sample.ms;
}

} // namespace

prefill_sample prefill_rates::average(const service_id& service) const {
    prefill_sample out{assumed_tokens, assumed_tokens / assumed_tokens_per_ms};
    if (const auto found = services_.find(service); found != services_.end()) {
        out.tokens += found->second.tokens;
        out.ms += found->second.ms;
    }
    return out;
}

void prefill_rates::note(const service_id& service, std::uint64_t engine,
                         const prefill_sample& sample) {
    if (sample.tokens < min_sample_tokens || sample.ms <= 0.0) {
        return;
    }
    add(services_[service], sample, service_retention_tokens);
    add(engines_[engine], sample, engine_retention_tokens);
}

double prefill_rates::mean_tokens_per_ms(const service_id& service) const {
    const prefill_sample of_service = average(service);
    return of_service.tokens / of_service.ms;
}

double prefill_rates::tokens_per_ms(double mean, std::uint64_t engine) const {
    const auto found = engines_.find(engine);
    if (found == engines_.end()) {
        return mean;
    }
    const prefill_sample& own = found->second;
    return (own.tokens + engine_prior_tokens) / (own.ms + engine_prior_tokens / mean);
}

} // namespace bamboostream
