#include "bamboostream/src/Routing/route_table.h"

#include <utility>

namespace bamboostream {

namespace {

std::string_view without_port(std::string_view host) {
    return host.substr(0, host.find(':'));
}

} // namespace

route_table::route_table(routing_configuration configuration)
    : configuration_(std::move(configuration)) {
    for (const route_rule& route : configuration_.routes) {
        routes_by_host_[route.host].insert_or_assign(route.path_prefix, &route);
    }
    for (const service_rule& service : configuration_.services) {
        services_.insert_or_assign(service.id.text(), &service);
    }
    if (configuration_.workspaces) {
        for (const workspace_rule& workspace : *configuration_.workspaces) {
            for (const std::string& key : workspace.keys) {
                workspaces_by_key_.insert_or_assign(key, &workspace);
            }
        }
    }
}

const route_rule* route_table::find_route(std::string_view host, std::string_view path) const {
    const auto of_host = routes_by_host_.find(without_port(host));
    if (of_host == routes_by_host_.end()) {
        return nullptr;
    }
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto found = of_host->second.find(path.substr(0, slash + 1));
        if (found != of_host->second.end()) {
            return found->second;
        }
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

const workspace_rule* route_table::find_workspace(std::string_view key) const {
    const auto found = workspaces_by_key_.find(key);
    return found == workspaces_by_key_.end() ? nullptr : found->second;
}

const service_rule* route_table::find_service(const service_id& id) const {
    const auto found = services_.find(id.text());
    return found == services_.end() ? nullptr : found->second;
}

const service_id* pick_weighted_service(const route_rule& route, std::mt19937_64& random) {
    double total = 0.0;
    for (const weighted_service& choice : route.services) {
        total += choice.weight;
    }
    if (total <= 0.0) {
        return nullptr;
    }
    double left = std::uniform_real_distribution<double>(0.0, total)(random);
    for (const weighted_service& choice : route.services) {
        left -= choice.weight;
        if (choice.weight > 0.0 && left <= 0.0) {
            return &choice.service;
        }
    }
    return &route.services.back().service;
}

} // namespace bamboostream
