#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <cstdint>
#include <unordered_map>

namespace bamboostream {

/// Prompt tokens that an engine has processed, and the time that this took.
struct prefill_sample {
    double tokens = 0.0;
    double ms = 0.0;
};

/// Estimates the prefill rate of engines, in prompt tokens a millisecond, from the time to the
/// first event of generations. The rate depends on the hardware and on the concurrent load, and
/// engines don't report it.
///
/// An engine with few samples is estimated by the average of its service. Not thread-safe.
class prefill_rates {
public:
    /// Records that a generation's first event came `sample.ms` after it was sent to an engine that
    /// had `sample.tokens` prompt tokens to process by then, including those of this generation.
    /// `engine` is its `backend_hash`.
    void note(const service_id& service, std::uint64_t engine, const prefill_sample& sample);
    double tokens_per_ms(const service_id& service, std::uint64_t engine) const {
        return tokens_per_ms(mean_tokens_per_ms(service), engine);
    }
    /// The rate of an engine that nothing is known of.
    double mean_tokens_per_ms(const service_id& service) const;
    /// The rate of an engine of a service with this mean rate, for callers that look up many.
    double tokens_per_ms(double mean, std::uint64_t engine) const;
    /// Discards the samples of an engine that is gone or has restarted.
    void forget(std::uint64_t engine) { engines_.erase(engine); }

private:
    prefill_sample average(const service_id& service) const;

    std::unordered_map<service_id, prefill_sample> services_;
    std::unordered_map<std::uint64_t, prefill_sample> engines_;
};

} // namespace bamboostream
