#pragma once

#include "bamboostream/src/Membership/backend_registry.h"

#include <string>

namespace bamboostream {

/// Start time for tests of functions that take the time as an argument.
inline const time_point start = time_point{} + seconds(1'000);

/// A registered backend server of the service "s".
inline registered_backend backend(const std::string& id, const std::string& domain = "norra") {
    registered_backend out;
    out.id = backend_id(id);
    out.address = id + ":80";
    out.service = service_id("s");
    out.failure_domain = failure_domain_id(domain);
    out.slots = 6;
    return out;
}

} // namespace bamboostream
