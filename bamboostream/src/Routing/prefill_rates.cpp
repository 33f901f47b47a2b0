#include "bamboostream/src/Routing/prefill_rates.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// Until anything has been seen, as much as some prompts that were read at this rate.
constexpr double assumed_tokens_a_ms = 7.0;
constexpr double assumed_tokens = 20'000.0;
/// An engine's own samples count as much as its service's average once it has read this.
constexpr double tokens_to_know_an_engine = 20'000.0;
/// What is older than so many tokens has half of its weight, so that a change shows.
constexpr double service_memory_tokens = 1'000'000.0;
constexpr double engine_memory_tokens = 60'000.0;
/// Shorter reads tell more of a step's time than of reading.
constexpr double least_tokens = 500.0;

void add(prefill_sample& sum, const prefill_sample& sample, double memory_tokens) {
    const double kept = std::max(0.0, 1.0 - sample.tokens / memory_tokens);
    sum.tokens = sum.tokens * kept + sample.tokens;
    sum.ms = sum.ms * kept + sample.ms;
}

} // namespace

prefill_sample prefill_rates::average(const service_id& service) const {
    prefill_sample out{assumed_tokens, assumed_tokens / assumed_tokens_a_ms};
    if (const auto found = services_.find(service); found != services_.end()) {
        out.tokens += found->second.tokens;
        out.ms += found->second.ms;
    }
    return out;
}

void prefill_rates::note(const service_id& service, std::uint64_t engine,
                         const prefill_sample& sample) {
    if (sample.tokens < least_tokens || sample.ms <= 0.0) {
        return;
    }
    add(services_[service], sample, service_memory_tokens);
    add(engines_[engine], sample, engine_memory_tokens);
}

double prefill_rates::tokens_per_ms(const service_id& service, std::uint64_t engine) const {
    const prefill_sample of_service = average(service);
    const double common = of_service.tokens / of_service.ms;
    const auto found = engines_.find(engine);
    if (found == engines_.end()) {
        return common;
    }
    const prefill_sample& own = found->second;
    return (own.tokens + tokens_to_know_an_engine) / (own.ms + tokens_to_know_an_engine / common);
}

} // namespace bamboostream
