#pragma once

#include "bamboostream/src/Membership/member_table.h"

#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// One address offered to a caller.
struct directory_entry {
    std::string address;
    failure_domain_id failure_domain;
};

/// The instances a caller should connect to, in order of preference, and how long this holds.
struct directory_answer {
    std::vector<directory_entry> entries;
    milliseconds valid_for{0};
};

/// How long callers may cache an answer. A leaving instance accepts requests for this long.
inline constexpr milliseconds directory_validity{2'000};

/// Orders the usable members for one caller: members of the caller's failure domain first, and
/// within each group randomly, weighted by free capacity, so that a burst of callers that ask the
/// same instance is spread over all of them. When no member is usable, all that are not gone are
/// returned.
directory_answer make_directory_answer(const member_table& members, std::string_view near_domain,
                                       std::mt19937_64& random);

} // namespace bamboostream
