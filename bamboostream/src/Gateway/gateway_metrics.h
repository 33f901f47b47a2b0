#pragma once

#include "bamboostream/src/Forwarding/forwarding_state.h"

#include <cstdint>
#include <string>

namespace bamboostream {

/// The counters of a gateway in the usual text exposition.
std::string exposition(const forwarding_state& state, std::int64_t configuration_version);

} // namespace bamboostream
