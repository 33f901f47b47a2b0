#pragma once

#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Routing/prefill_rates.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// How requests at one backend server ended, and what it read until their first events.
struct backend_outcomes {
    /// By `backend_hash`.
    std::uint64_t backend = 0;
    std::uint16_t succeeded = 0;
    std::uint16_t failed = 0;
    std::uint32_t prefill_tokens = 0;
    std::uint32_t prefill_ms = 0;
    bool operator==(const backend_outcomes&) const = default;
};

/// What this instance has seen of engines since it last told those that choose for it. An engine
/// that fails at once looks idle, and one that chooses for all sends few requests itself: without
/// being told it gave such engines the most.
class outcome_collector {
public:
    void note(const backend_id& id, bool succeeded);
    void record_prefill(const backend_id& id, const prefill_sample& sample);
    /// Everything since the last call.
    std::vector<backend_outcomes> take();

private:
    backend_outcomes& of(const backend_id& id);

    std::unordered_map<std::uint64_t, backend_outcomes> outcomes_;
};

} // namespace bamboostream
