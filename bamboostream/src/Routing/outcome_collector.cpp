#include "bamboostream/src/Routing/outcome_collector.h"

#include "bamboostream/src/Routing/load_table.h"

#include <limits>
#include <utility>

namespace bamboostream {

backend_outcomes& outcome_collector::of(const backend_id& id) {
    backend_outcomes& seen = outcomes_[backend_hash(id)];
    seen.backend = backend_hash(id);
    return seen;
}

void outcome_collector::record_prefill(const backend_id& id, const prefill_sample& sample) {
    backend_outcomes& seen = of(id);
    seen.prefill_tokens += static_cast<std::uint32_t>(sample.tokens);
    seen.prefill_ms += static_cast<std::uint32_t>(sample.ms);
}

void outcome_collector::record_pace(const backend_id& id, const pace_sample& sample) {
    pace_sample& seen = paces_[{backend_hash(id), sample.pause_objective}];
    seen.intervals += sample.intervals;
    seen.total_ms += sample.total_ms;
    seen.late += sample.late;
    seen.pause_objective = sample.pause_objective;
}

void outcome_collector::record_host(const backend_id& id, int percent) {
    int& seen = hosts_.try_emplace(backend_hash(id), percent).first->second;
    seen = std::min(seen, percent);
}

void outcome_collector::note(const backend_id& id, bool succeeded) {
    backend_outcomes& seen = of(id);
    std::uint16_t& count = succeeded ? seen.succeeded : seen.failed;
    if (count < std::numeric_limits<std::uint16_t>::max()) {
        ++count;
    }
}

std::vector<backend_pace> outcome_collector::take_paces() {
    std::vector<backend_pace> out;
    for (const auto& [key, seen] : std::exchange(paces_, {})) {
        out.push_back({key.first, seen});
    }
    for (const auto& [backend, percent] : std::exchange(hosts_, {})) {
        out.push_back({backend, {}, percent});
    }
    return out;
}

std::vector<backend_outcomes> outcome_collector::take() {
    std::vector<backend_outcomes> out;
    for (const auto& [key, seen] : std::exchange(outcomes_, {})) {
        out.push_back(seen);
    }
    return out;
}

} // namespace bamboostream
