#pragma once

#include "bamboostream/src/Configuration/document.h"
#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Streams/token_stream.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// Measurements of one finished request as seen by its caller.
struct request_sample {
    std::string workspace;
    std::string pool;
    outcome result = outcome::completed;
    double first_token_ms = 0.0;
    double longest_gap_ms = 0.0;
    double mean_gap_ms = 0.0;
    std::uint64_t tokens = 0;
    std::uint32_t resumed = 0;
    std::uint32_t dropped_events = 0;
    std::uint32_t restarts = 0;
};

/// Counters and distributions of finished requests by workspace and pool. Thread-safe; takes a lock
/// once per finished request and never per token.
class request_metrics {
public:
    request_metrics();
    ~request_metrics();
    request_metrics(const request_metrics&) = delete;
    request_metrics& operator=(const request_metrics&) = delete;

    /// Adds a finished request and compares it with `objectives`; an objective of zero is not
    /// checked.
    void record(const request_sample& sample, const service_objectives& objectives, time_point now);
    /// Returns the metrics in the Prometheus text format.
    std::string exposition() const;

    /// Number of requests in one minute, and of those that missed each objective. A request may be
    /// counted in several columns.
    struct burn_bucket {
        /// Minutes since the epoch of the monotonic clock.
        std::int64_t minute = 0;
        std::uint64_t requests = 0;
        std::uint64_t late_first_token = 0;
        std::uint64_t slow_inter_token = 0;
        std::uint64_t stalled = 0;
        std::uint64_t not_completed = 0;
    };
    /// Buckets of one workspace and pool, oldest first: the latest 1440 minutes that had requests.
    struct burn_row {
        std::string workspace;
        std::string pool;
        std::vector<burn_bucket> buckets;
    };
    std::vector<burn_row> burn_rows() const;

private:
    struct series;
    struct key {
        std::string workspace;
        std::string pool;
        auto operator<=>(const key&) const = default;
    };
    mutable std::mutex mutex_;
    std::map<key, std::unique_ptr<series>> series_;
};

} // namespace bamboostream
