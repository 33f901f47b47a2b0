#pragma once

#include "bamboostream/src/Forwarding/forwarding_state.h"
#include "bamboostream/src/Gateway/document_fetch.h"
#include "bamboostream/src/Gateway/store_follower.h"
#include "bamboostream/src/Links/peer_links.h"

#include <cstdint>
#include <string>

namespace bamboostream {

/// What is counted outside forwarding.
struct gateway_figures {
    std::int64_t configuration_version = 0;
    /// The newest that is known of; more than the one in force while this instance lags.
    std::int64_t told_configuration_version = 0;
    std::uint64_t configurations_rejected = 0;
    std::uint64_t configurations_encoded = 0;
    document_fetch::verdicts configuration_pieces{};
    store_calls calls_to_store{};
    link_traffic links;
};

/// The counters of a gateway in the usual text exposition; `now` is what ages are told at.
std::string exposition(const forwarding_state& state, const gateway_figures& figures,
                       time_point now);

} // namespace bamboostream
