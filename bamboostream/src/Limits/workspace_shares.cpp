#include "bamboostream/src/Limits/workspace_shares.h"

#include "bamboostream/src/Core/digest.h"
#include "bamboostream/src/Routing/load_table.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bamboostream {

namespace {

/// Whether a workspace is below its share and thus has a claim to memory. One that holds nothing
/// always is, even if a share is smaller than a single request.
bool is_below(std::int64_t held, double demand, double level) {
    return held <= 0 || demand <= level;
}

} // namespace

share_key make_share_key(const service_id& service, const std::optional<workspace_id>& workspace) {
    return {stable_hash(service.text()), stable_hash(workspace ? workspace->text() : "")};
}

void workspace_shares::workspace_state::record_request(std::int64_t tokens, time_point now) {
    if (asked_at) {
        asked_tokens *= std::exp(-to_milliseconds(now - *asked_at) / to_milliseconds(asking_time));
    }
    asked_tokens += static_cast<double>(tokens);
    asked_at = now;
}

double workspace_shares::demand(const workspace_state& workspace) const {
    return static_cast<double>(workspace.held()) + workspace.asked_tokens *
                                                       to_milliseconds(rules_.start_horizon) /
                                                       to_milliseconds(asking_time);
}

double workspace_shares::share_level(const service_state& service, double tokens,
                                     time_point now) const {
    std::vector<double> demands;
    demands.reserve(service.workspaces.size());
    for (const auto& [key, workspace] : service.workspaces) {
        if (workspace.asks(now)) {
            demands.push_back(demand(workspace));
        } else {
            tokens -= static_cast<double>(workspace.held());
        }
    }
    std::sort(demands.begin(), demands.end());
    auto unserved = static_cast<double>(demands.size());
    for (const double wanted : demands) {
        if (wanted * unserved > tokens) {
            return std::max(tokens / unserved, 0.0);
        }
        tokens -= wanted;
        --unserved;
    }
    return std::numeric_limits<double>::infinity();
}

share_decision workspace_shares::check(const share_request& request, const admission_rules& limits,
                                       time_point now) {
    expire(now);
    service_state& service = services_[request.key.service];
    workspace_state& asker = service.workspaces[request.key.workspace];
    asker.record_request(request.memory_tokens, now);
    if (!service.chooses || !service.heard_since || now - *service.heard_since < learning_time) {
        return {};
    }
    const auto pool = static_cast<double>(request.pool_tokens);
    const bool is_brief = request.output_tokens <= rules_.max_brief_tokens;
    const double in_force_above =
        max_claimed_fraction(limits, request.priority) - (is_brief ? 0.0 : rules_.in_force_margin);
    if (static_cast<double>(service.held) <= in_force_above * pool) {
        return {};
    }
    service.divided_tokens = (limits.max_claimed_fraction - rules_.divided_margin) * pool;
    service.in_force_at = now;
    const double level = share_level(service, service.divided_tokens, now);
    const std::int64_t burst = (rules_.burst_requests - 1) * request.memory_tokens;
    if (static_cast<double>(asker.held() - burst) <= level) {
        return {};
    }
    const bool others_below =
        std::any_of(service.workspaces.begin(), service.workspaces.end(), [&](const auto& item) {
            const workspace_state& other = item.second;
            return item.first != request.key.workspace && other.asks(now) &&
                   is_below(other.held(), demand(other), level);
        });
    if (!others_below) {
        return {};
    }
    return {true, asker.overload.record_refusal(now)};
}

void workspace_shares::add(const share_key& key, std::int64_t memory_tokens) {
    if (memory_tokens != 0) {
        service_state& service = services_[key.service];
        service.workspaces[key.workspace].own_tokens += memory_tokens;
        service.held += memory_tokens;
    }
}

void workspace_shares::adjust_peers(const workspace_holding& change, int sign) {
    service_state& service = services_[change.key.service];
    service.workspaces[change.key.workspace].peer_tokens += sign * change.memory_tokens;
    service.held += sign * change.memory_tokens;
}

void workspace_shares::expire(time_point now) {
    peer_reports_.expire(now, [this](const auto& change, int sign) { adjust_peers(change, sign); });
}

void workspace_shares::hear(const std::string& peer, std::span<const workspace_holding> report,
                            time_point now) {
    expire(now);
    for (auto& [key, service] : services_) {
        if (service.chooses && !service.heard_since) {
            service.heard_since = now;
        }
    }
    const auto adjust = [this](const auto& change, int sign) { adjust_peers(change, sign); };
    if (report.empty()) {
        peer_reports_.remove(peer, adjust);
    } else {
        peer_reports_.replace(peer, report, now, adjust);
    }
}

void workspace_shares::add_expected(const std::string& peer, const workspace_holding& holding,
                                    time_point now) {
    expire(now);
    peer_reports_.append(peer, holding, now,
                         [this](const auto& change, int sign) { adjust_peers(change, sign); });
}

void workspace_shares::set_chooses(const service_id& service, bool chooses, bool alone,
                                   time_point now) {
    service_state& state = services_[stable_hash(service.text())];
    // An instance that has just started knows no others yet.
    if (!chooses || (state.alone && !alone)) {
        state.heard_since.reset();
    }
    if (chooses && alone && !state.heard_since) {
        state.heard_since = now;
    }
    state.chooses = chooses;
    state.alone = alone;
    std::erase_if(state.workspaces, [now](const auto& item) {
        const workspace_state& it = item.second;
        return it.own_tokens == 0 && it.peer_tokens == 0 && !it.asks(now);
    });
}

void workspace_shares::append_own(const service_id& service,
                                  std::vector<workspace_holding>& out) const {
    const auto found = services_.find(stable_hash(service.text()));
    if (found == services_.end()) {
        return;
    }
    for (const auto& [workspace, state] : found->second.workspaces) {
        if (state.own_tokens != 0) {
            out.push_back({{found->first, workspace}, state.own_tokens});
        }
    }
}

std::int64_t workspace_shares::held(const share_key& key, time_point now) {
    expire(now);
    const auto service = services_.find(key.service);
    if (service == services_.end()) {
        return 0;
    }
    const auto found = service->second.workspaces.find(key.workspace);
    return found == service->second.workspaces.end() ? 0 : found->second.held();
}

std::size_t workspace_shares::over_share(time_point now) const {
    std::size_t out = 0;
    for (const auto& [key, service] : services_) {
        if (service.divided_tokens <= 0.0 || now - service.in_force_at > asking_time) {
            continue;
        }
        const double level = share_level(service, service.divided_tokens, now);
        out += static_cast<std::size_t>(std::count_if(
            service.workspaces.begin(), service.workspaces.end(),
            [level](const auto& item) { return static_cast<double>(item.second.held()) > level; }));
    }
    return out;
}

} // namespace bamboostream
