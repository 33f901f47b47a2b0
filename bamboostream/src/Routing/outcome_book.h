#pragma once

#include "bamboostream/src/Core/identities.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// How requests at one backend server ended.
struct backend_outcomes {
    /// By `work_key`.
    std::uint64_t backend = 0;
    std::uint16_t succeeded = 0;
    std::uint16_t failed = 0;
    bool operator==(const backend_outcomes&) const = default;
};

/// What this instance has seen of engines since it last told those that choose for it. An engine
/// that fails at once looks idle, and one that chooses for all sends few requests itself: without
/// being told it gave such engines the most.
class outcome_book {
public:
    void note(const backend_id& id, bool succeeded);
    /// Everything since the last call.
    std::vector<backend_outcomes> take();

private:
    std::unordered_map<std::uint64_t, backend_outcomes> outcomes_;
};

} // namespace bamboostream
