#pragma once

#include "bamboostream/src/Configuration/routing_configuration.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bamboostream {

namespace internal {
/// Hash for maps with string keys that are searched by `string_view`.
struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
        return std::hash<std::string_view>{}(text);
    }
};
template <class Value>
using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;
} // namespace internal

/// One version of the configuration, indexed for the lookups of every request. Immutable, so
/// threads may share it. The lookup of a route computes one hash for each slash of the path,
/// independent of the number of routes.
///
/// Example: `const route_rule* r = table.find_route(host, path);`
class route_table {
public:
    explicit route_table(routing_configuration configuration);

    /// The route of the host with the longest prefix of `path`; null when there is none.
    const route_rule* find_route(std::string_view host, std::string_view path) const;
    /// The workspace that holds `key`; null when there is none.
    const workspace_rule* find_workspace(std::string_view key) const;
    const service_rule* find_service(const service_id& id) const;
    bool needs_keys() const { return configuration_.workspaces.has_value(); }
    const routing_configuration& configuration() const { return configuration_; }

private:
    routing_configuration configuration_;
    internal::text_map<internal::text_map<const route_rule*>> routes_by_host_;
    internal::text_map<const workspace_rule*> workspaces_by_key_;
    internal::text_map<const service_rule*> services_;
};

/// Chooses a service of the route at random by weight; null when the route has none with a weight.
const service_id* pick_weighted_service(const route_rule& route, std::mt19937_64& random);

} // namespace bamboostream
