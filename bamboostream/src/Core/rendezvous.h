#pragma once

#include "bamboostream/src/Core/digest.h"

#include <algorithm>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// A candidate for the ownership of keys.
struct rendezvous_node {
    std::string name;
    std::string failure_domain;
    /// Preferred nodes rank before all others, whatever their weight.
    bool preferred = true;
};

/// The `count` owners of `key` by rendezvous (highest random weight) hashing, preferred nodes
/// first. Each further owner is taken from a failure domain that is not in use yet, as long as
/// there is one. All instances that know the same nodes compute the same owners, and removing a
/// node moves only the keys that it owned.
inline std::vector<std::string>
rendezvous_owners(std::string_view key, std::span<const rendezvous_node> nodes, std::size_t count) {
    struct weighted_node {
        std::uint64_t weight;
        const rendezvous_node* node;
    };
    std::vector<weighted_node> order;
    order.reserve(nodes.size());
    for (const rendezvous_node& node : nodes) {
        order.push_back({stable_hash({key, node.name}), &node});
    }
    std::sort(order.begin(), order.end(), [](const weighted_node& a, const weighted_node& b) {
        if (a.node->preferred != b.node->preferred) {
            return a.node->preferred;
        }
        return a.weight != b.weight ? a.weight > b.weight : a.node->name < b.node->name;
    });
    std::vector<std::string> owners;
    std::vector<std::string_view> used_domains;
    const auto add_owners = [&](bool new_domain_only) {
        for (const weighted_node& r : order) {
            const bool domain_used = std::find(used_domains.begin(), used_domains.end(),
                                               r.node->failure_domain) != used_domains.end();
            const bool already_owner =
                std::find(owners.begin(), owners.end(), r.node->name) != owners.end();
            if (owners.size() == count || already_owner || (new_domain_only && domain_used)) {
                continue;
            }
            owners.push_back(r.node->name);
            used_domains.push_back(r.node->failure_domain);
        }
    };
    add_owners(true);
    add_owners(false);
    return owners;
}

} // namespace bamboostream
