#include "bamboostream/src/Routing/backend_picker.h"

#include <algorithm>
#include <limits>

namespace bamboostream {

namespace {

/// Pending prompt tokens whose prefill costs a new request as much as a server with full memory.
constexpr double unread_tokens_per_full_server = 14'000.0;
/// Cost of a server in another failure domain, as a fraction of a full server: little compared with
/// a queue.
constexpr double remote_domain_cost = 0.02;
/// Cost of a failure rate of 1, in full servers. The smoothing halves the weight of a failure
/// within six responses.
constexpr double failure_rate_cost = 1.5;
constexpr double failure_rate_smoothing = 0.12;
/// A server that could not be reached is excluded for this long. Network partitions heal within
/// seconds, and a single connection attempt then shows whether the server is back.
constexpr milliseconds unreachable_retry_time{2'500};
/// Cost of a server that is still slow after its start, as a fraction of a full server.
constexpr double cold_cost = 0.5;
/// Servers whose cost is within this of the lowest count as equal. The choice among them is random,
/// so that instances with the same view don't all choose the same server.
constexpr double equal_cost_tolerance = 0.03;

} // namespace

double backend_picker::cost(const registered_backend& server, const backend_work& work,
                            const placement_request& request, time_point now) const {
    double out = server.failure_domain == request.preferred_domain ? 0.0 : remote_domain_cost;
    if (request.server_memory_tokens > 0) {
        out += static_cast<double>(work.memory_tokens) /
               static_cast<double>(request.server_memory_tokens);
        out += static_cast<double>(work.unread_tokens) / unread_tokens_per_full_server;
    } else {
        out += static_cast<double>(work.requests) / std::max(1, server.slots);
    }
    if (const auto found = failure_rates_.find(server.id); found != failure_rates_.end()) {
        out += failure_rate_cost * found->second;
    }
    if (request.additional_cost != nullptr) {
        out += request.additional_cost->cost(server);
    }
    return out + (now < server.slow_until ? cold_cost : 0.0);
}

const registered_backend* backend_picker::pick(std::span<const registered_backend* const> servers,
                                               load_table& loads, const placement_request& request,
                                               time_point now) {
    struct candidate {
        const registered_backend* server;
        double cost;
    };
    std::vector<candidate> candidates;
    candidates.reserve(servers.size());
    double best = std::numeric_limits<double>::max();
    const auto collect_candidates = [&](bool include_excluded) {
        for (std::size_t i = 0; i < servers.size(); ++i) {
            const registered_backend* server = servers[i];
            const bool avoided = std::find(request.avoid.begin(), request.avoid.end(),
                                           server->id) != request.avoid.end();
            if (avoided || (!include_excluded && is_excluded(server->id, now))) {
                continue;
            }
            const backend_work work =
                request.work.empty() ? loads.total(server->id, now) : request.work[i];
            candidates.push_back({server, cost(*server, work, request, now)});
            best = std::min(best, candidates.back().cost);
        }
    };
    collect_candidates(false);
    if (candidates.empty()) {
        collect_candidates(true);
    }
    std::erase_if(candidates,
                  [best](const candidate& r) { return r.cost > best + equal_cost_tolerance; });
    if (candidates.empty()) {
        return nullptr;
    }
    return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random_)]
        .server;
}

bool backend_picker::is_excluded(const backend_id& id, time_point now) const {
    const auto found = unreachable_until_.find(id);
    return (found != unreachable_until_.end() && now < found->second) ||
           outliers_.ejected(id.text(), now);
}

void backend_picker::forget(const backend_id& id) {
    unreachable_until_.erase(id);
    failure_rates_.erase(id);
    outliers_.forget(id.text());
}

void backend_picker::on_unreachable(const backend_id& id, time_point now) {
    std::erase_if(unreachable_until_, [now](const auto& item) { return now >= item.second; });
    unreachable_until_[id] = now + unreachable_retry_time;
}

void backend_picker::note(const backend_id& id, int succeeded, int failed, std::size_t group_size,
                          time_point now) {
    for (int i = 0; i < succeeded; ++i) {
        on_success(id, now);
    }
    if (failed > 0) {
        on_failure(id, group_size, now);
    }
}

void backend_picker::on_success(const backend_id& id, time_point now) {
    outliers_.on_success(id.text(), now);
    if (const auto found = failure_rates_.find(id); found != failure_rates_.end()) {
        found->second *= 1.0 - failure_rate_smoothing;
    }
}

void backend_picker::on_failure(const backend_id& id, std::size_t group_size, time_point now) {
    outliers_.on_failure(id.text(), group_size, now);
    double& share = failure_rates_[id];
    share += failure_rate_smoothing * (1.0 - share);
}

} // namespace bamboostream
