#include "bamboostream/src/Routing/backend_picker.h"

#include <algorithm>
#include <limits>

namespace bamboostream {

namespace {

/// Tokens of prompts whose reading costs a new request as much as a server full of memory.
constexpr double unread_tokens_like_full = 14'000.0;
/// What another failure domain costs, in shares of a full server: little beside a queue.
constexpr double far_cost = 0.02;
/// Failures count as so much of a full server; the smoothing forgets half of one in six answers.
constexpr double failing_cost = 1.5;
constexpr double failing_smoothing = 0.12;
/// A server that could not be reached is tried again after this; a cut link heals in seconds, and
/// one connection then tells.
constexpr milliseconds unreachable_for{2'500};
/// What a server that is still slow after its start costs.
constexpr double cold_cost = 0.5;
/// Servers within this of the best are equal; the choice among them is random, so that instances
/// with the same view don't all choose the same one.
constexpr double near_equal = 0.03;

} // namespace

double backend_picker::cost(const registered_backend& server, const backend_work& work,
                            const placement_request& request, time_point now) const {
    double out = server.failure_domain == request.preferred_domain ? 0.0 : far_cost;
    if (request.server_memory_tokens > 0) {
        out += static_cast<double>(work.memory_tokens) /
               static_cast<double>(request.server_memory_tokens);
        out += static_cast<double>(work.unread_tokens) / unread_tokens_like_full;
    } else {
        out += static_cast<double>(work.requests) / std::max(1, server.slots);
    }
    if (const auto found = failing_.find(server.id); found != failing_.end()) {
        out += failing_cost * found->second;
    }
    return out + (now < server.slow_until ? cold_cost : 0.0);
}

const registered_backend* backend_picker::pick(std::span<const registered_backend* const> servers,
                                               load_table& loads, const placement_request& request,
                                               time_point now) {
    struct rated {
        const registered_backend* server;
        double cost;
    };
    std::vector<rated> order;
    double best = std::numeric_limits<double>::max();
    const auto rate = [&](bool ejected_too) {
        for (const registered_backend* server : servers) {
            const bool avoided = std::find(request.avoid.begin(), request.avoid.end(),
                                           server->id) != request.avoid.end();
            if (avoided || (!ejected_too && is_excluded(server->id, now))) {
                continue;
            }
            order.push_back({server, cost(*server, loads.total(server->id, now), request, now)});
            best = std::min(best, order.back().cost);
        }
    };
    rate(false);
    if (order.empty()) {
        rate(true);
    }
    std::erase_if(order, [best](const rated& r) { return r.cost > best + near_equal; });
    if (order.empty()) {
        return nullptr;
    }
    return order[std::uniform_int_distribution<std::size_t>(0, order.size() - 1)(random_)].server;
}

bool backend_picker::is_excluded(const backend_id& id, time_point now) const {
    const auto found = unreachable_until_.find(id);
    return (found != unreachable_until_.end() && now < found->second) ||
           outliers_.ejected(id.text(), now);
}

void backend_picker::forget(const backend_id& id) {
    unreachable_until_.erase(id);
    failing_.erase(id);
    outliers_.forget(id.text());
}

void backend_picker::on_unreachable(const backend_id& id, time_point now) {
    std::erase_if(unreachable_until_, [now](const auto& item) { return now >= item.second; });
    unreachable_until_[id] = now + unreachable_for;
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
    if (const auto found = failing_.find(id); found != failing_.end()) {
        found->second *= 1.0 - failing_smoothing;
    }
}

void backend_picker::on_failure(const backend_id& id, std::size_t group_size, time_point now) {
    outliers_.on_failure(id.text(), group_size, now);
    double& share = failing_[id];
    share += failing_smoothing * (1.0 - share);
}

} // namespace bamboostream
