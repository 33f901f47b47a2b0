#pragma once

#include "bamboostream/src/Configuration/routing_configuration.h"
#include "bamboostream/src/Core/clock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bamboostream {

/// The durations of a request that are measured; one histogram each.
enum class latency_stage : std::uint8_t {
    /// From the request's arrival to the end of its response, successful or not.
    total,
    /// From the request's arrival to the first event sent to the caller.
    first_event,
    /// The longest pause between two events of a stream.
    longest_pause,
    /// Age of the view of the backend servers when one was chosen.
    view_age,
    count_,
};

/// Latency histograms of forwarded requests by stage and repeat rule. The number of series does not
/// grow with the number of routes. Not thread-safe.
///
/// Example: `latency.record(latency_stage::total, route.repeats, now - arrival);`
class latency_metrics {
public:
    latency_metrics();
    ~latency_metrics();
    latency_metrics(const latency_metrics&) = delete;
    latency_metrics& operator=(const latency_metrics&) = delete;

    void record(latency_stage stage, repeat_policy repeats, duration elapsed);
    /// All histograms in the Prometheus text format, in seconds.
    std::string exposition() const;

private:
    struct series;
    std::unique_ptr<series> series_;
};

} // namespace bamboostream
