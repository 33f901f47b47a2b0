#pragma once

#include "bamboostream/src/Configuration/routing_configuration.h"
#include "bamboostream/src/Core/clock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bamboostream {

/// Which time of a request a distribution is of.
enum class latency_stage : std::uint8_t {
    /// From its arrival to the end of its answer, whatever that was.
    whole,
    /// From its arrival to the first event that went to the caller.
    first_event,
    /// The longest pause between two events of a stream.
    longest_pause,
    /// How old the view of the backend servers was when one was chosen.
    view_age,
    count_,
};

/// Latency histograms of forwarded requests by stage and by what may be repeated; few series
/// however many routes there are. Lives on one thread.
///
/// Example: `latency.record(latency_stage::whole, route.repeats, now - arrival);`
class latency_metrics {
public:
    latency_metrics();
    ~latency_metrics();
    latency_metrics(const latency_metrics&) = delete;
    latency_metrics& operator=(const latency_metrics&) = delete;

    void record(latency_stage stage, repeat_policy repeats, duration took);
    /// In the usual text exposition, in seconds.
    std::string exposition() const;

private:
    struct series;
    std::unique_ptr<series> series_;
};

} // namespace bamboostream
