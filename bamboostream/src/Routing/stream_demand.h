#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <optional>
#include <unordered_map>

namespace bamboostream {

/// The streams that a service is asked for, as seen by their events: of 35 streams of 189 events
/// and 39 of 3 in a second, the typical one has 188 events, because those are the ones that a late
/// pause may hit. Learned from the requests for which engines are chosen. Not thread-safe.
class stream_demand {
public:
    struct typical_stream {
        double events = 0.0;
        duration pause_objective{};
    };

    /// Records a request for a stream with an objective for pauses.
    void observe(const service_id& service, double events, duration pause_objective) {
        if (events <= 0.0 || pause_objective <= duration{}) {
            return;
        }
        sums& seen = services_[service];
        constexpr double kept = 1.0 - 1.0 / retention_requests;
        seen.events = seen.events * kept + events;
        seen.events_squared = seen.events_squared * kept + events * events;
        seen.objective_ms = seen.objective_ms * kept + events * to_milliseconds(pause_objective);
    }
    /// Means over the requests, each with the weight of its events; nothing before the first.
    std::optional<typical_stream> typical(const service_id& service) const {
        const auto found = services_.find(service);
        if (found == services_.end()) {
            return std::nullopt;
        }
        const sums& seen = found->second;
        return typical_stream{seen.events_squared / seen.events,
                              from_milliseconds(seen.objective_ms / seen.events)};
    }

private:
    /// Requests decay exponentially on this scale, a few seconds' worth at a loaded service.
    static constexpr double retention_requests = 200.0;
    struct sums {
        double events = 0.0;
        double events_squared = 0.0;
        double objective_ms = 0.0;
    };
    std::unordered_map<service_id, sums> services_;
};

} // namespace bamboostream
