#pragma once

#include "bamboostream/src/Membership/backend_table.h"
#include "bamboostream/src/Routing/outlier_detector.h"

#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>

namespace bamboostream {

/// Chooses a replica of a plain service by the power of two choices: of two random replicas that
/// are live and not ejected, the one with fewer calls of this instance in progress. The caller's
/// failure domain breaks ties. Not thread-safe.
class service_picker {
public:
    explicit service_picker(std::uint64_t seed) : random_(seed) {}

    std::optional<backend_id> pick(std::span<const backend_facts> replicas,
                                   const failure_domain_id& preferred_domain, time_point now);
    void call_started(const backend_id& backend);
    void call_ended(const backend_id& backend, bool reached, std::size_t group_size,
                    time_point now);

private:
    std::mt19937_64 random_;
    std::unordered_map<std::string, int> in_progress_;
    outlier_detector outliers_;
};

} // namespace bamboostream
