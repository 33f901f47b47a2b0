#pragma once

#include "bamboostream/src/Control/rate_limit_exchange.h"
#include "bamboostream/src/Forwarding/forwarding_state.h"
#include "bamboostream/src/Gateway/document_fetcher.h"
#include "bamboostream/src/Gateway/store_follower.h"
#include "bamboostream/src/Http/response_limits.h"
#include "bamboostream/src/Links/peer_links.h"

#include <array>
#include <cstdint>
#include <string>

namespace bamboostream {

/// Values of metrics that are not counted by forwarding.
struct gateway_stats {
    std::int64_t configuration_version = 0;
    /// The newest version that is known of; greater than the version in force while this instance
    /// lags.
    std::int64_t announced_configuration_version = 0;
    std::uint64_t configurations_rejected = 0;
    std::uint64_t configurations_encoded = 0;
    document_fetcher::piece_counts configuration_pieces{};
    store_call_counts store_calls{};
    link_traffic links;
    permit_counts permits;
    /// Responses that exceeded a limit, by `response_limit`.
    std::array<std::uint64_t, static_cast<std::size_t>(response_limit::count_)> endless_responses{};
    /// Memory reserved for bodies, and requests that were refused for lack of it.
    std::size_t memory_reserved_bytes = 0;
    std::uint64_t request_bodies_refused = 0;
};

/// Writes the metrics of a gateway in the Prometheus text format. Ages are relative to `now`.
std::string exposition(const forwarding_state& state, const gateway_stats& stats, time_point now);

} // namespace bamboostream
