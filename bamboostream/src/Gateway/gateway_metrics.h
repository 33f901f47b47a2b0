#pragma once

#include "bamboostream/src/Forwarding/forwarding_state.h"

#include <cstdint>
#include <string>

namespace bamboostream {

/// The counters of a gateway in the usual text exposition; `now` is what ages are told at.
std::string exposition(const forwarding_state& state, std::int64_t configuration_version,
                       time_point now);

} // namespace bamboostream
