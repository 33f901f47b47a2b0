#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <cstdint>
#include <unordered_map>

namespace bamboostream {

/// What an engine has read, and the time that this took.
struct prefill_sample {
    double tokens = 0.0;
    double ms = 0.0;
};

/// How many prompt tokens the engines of a service read in a millisecond, learned from the time to
/// the first events of generations. It differs between engines by their kind and the load that they
/// bear beside, and nobody states it.
///
/// An engine of which little is known yet counts as its service's average does.
class prefill_rates {
public:
    /// A generation's first event came `sample.ms` after it was sent to an engine, which had
    /// `sample.tokens` to read by then, those of its own prompt among them. `engine` by
    /// `backend_hash`.
    void note(const service_id& service, std::uint64_t engine, const prefill_sample& sample);
    double tokens_per_ms(const service_id& service, std::uint64_t engine) const;
    /// The engine is gone or has started again.
    void forget(std::uint64_t engine) { engines_.erase(engine); }

private:
    prefill_sample average(const service_id& service) const;

    std::unordered_map<service_id, prefill_sample> services_;
    std::unordered_map<std::uint64_t, prefill_sample> engines_;
};

} // namespace bamboostream
