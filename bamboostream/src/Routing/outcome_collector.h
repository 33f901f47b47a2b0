#pragma once

#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Routing/prefill_rates.h"
#include "bamboostream/src/Routing/server_pace.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboostream {

/// Outcomes of requests at one backend server, and the prefill until their first events.
struct backend_outcomes {
    /// The `backend_hash` of the server.
    std::uint64_t backend = 0;
    std::uint16_t succeeded = 0;
    std::uint16_t failed = 0;
    /// Prompt tokens processed, and the time that this took.
    std::uint32_t prefill_tokens = 0;
    std::uint32_t prefill_ms = 0;
    bool operator==(const backend_outcomes&) const = default;
};

/// Intervals between events of streams at one backend server.
struct backend_pace {
    /// The `backend_hash` of the server.
    std::uint64_t backend = 0;
    pace_sample sample;
    /// Latest figure of the server's host machine in percent; 0 if it reported none.
    int host_percent = 0;
};

/// Collects what this instance observes at engines until it is reported to the owners, which choose
/// engines for all instances. An engine that fails at once looks idle, and an owner sends few
/// requests itself: without these reports, owners sent such engines the most requests. Not
/// thread-safe.
class outcome_collector {
public:
    void note(const backend_id& id, bool succeeded);
    void record_prefill(const backend_id& id, const prefill_sample& sample);
    void record_pace(const backend_id& id, const pace_sample& sample);
    void record_host(const backend_id& id, int percent);
    /// Returns the outcomes since the last call.
    std::vector<backend_outcomes> take();
    /// Returns the intervals since the last call, one entry for each server and objective, and the
    /// figures of host machines, in entries of their own.
    std::vector<backend_pace> take_paces();

private:
    backend_outcomes& of(const backend_id& id);

    std::unordered_map<std::uint64_t, backend_outcomes> outcomes_;
    std::map<std::pair<std::uint64_t, duration>, pace_sample> paces_;
    std::unordered_map<std::uint64_t, int> hosts_;
};

} // namespace bamboostream
