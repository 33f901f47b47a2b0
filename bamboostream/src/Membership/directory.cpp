#include "bamboostream/src/Membership/directory.h"

#include <algorithm>
#include <cmath>

namespace bamboostream {

namespace {

constexpr double full_load = 1000.0;
constexpr double min_weight = 0.05;

struct ranked_member {
    const member_facts* facts;
    bool near;
    double rank;
};

/// Sorting by exponentially distributed ranks gives a weighted random order: a member with twice
/// the free capacity comes first twice as often.
double random_rank(const member_facts& facts, std::mt19937_64& random) {
    const double free = std::max(min_weight, 1.0 - facts.busy_permille / full_load);
    return std::exponential_distribution<double>(free)(random);
}

} // namespace

directory_answer make_directory_answer(const member_table& members, std::string_view near_domain,
                                       std::mt19937_64& random) {
    std::vector<member_facts> offered = members.usable();
    if (offered.empty()) {
        // All members are leaving or suspect: an address that may fail is better than none.
        offered = members.others();
        offered.push_back(members.self());
    }
    std::vector<ranked_member> order;
    for (const member_facts& facts : offered) {
        order.push_back(
            {&facts, facts.failure_domain.text() == near_domain, random_rank(facts, random)});
    }
    std::sort(order.begin(), order.end(), [](const ranked_member& a, const ranked_member& b) {
        return a.near != b.near ? a.near : a.rank < b.rank;
    });
    directory_answer answer;
    answer.valid_for = directory_validity;
    for (const ranked_member& r : order) {
        answer.entries.push_back({r.facts->caller_address, r.facts->failure_domain});
    }
    return answer;
}

} // namespace bamboostream
