#pragma once

#include "bamboostream/src/Forwarding/forwarding_state.h"
#include "bamboostream/src/Gateway/store_follower.h"
#include "bamboostream/src/Links/link.h"

#include <cstdint>
#include <string>

namespace bamboostream {

/// What is counted outside forwarding.
struct gateway_figures {
    std::int64_t configuration_version = 0;
    store_calls calls_to_store{};
    link_traffic links;
};

/// The counters of a gateway in the usual text exposition; `now` is what ages are told at.
std::string exposition(const forwarding_state& state, const gateway_figures& figures,
                       time_point now);

} // namespace bamboostream
