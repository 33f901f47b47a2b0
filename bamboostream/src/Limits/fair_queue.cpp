#include "bamboostream/src/Limits/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace bamboostream {

namespace {

/// Weights by which priorities share the service of their workspace while all three have requests
/// waiting.
constexpr std::array<double, 3> level_weights = {1.0, 4.0, 16.0};
/// Ageing in shortest-first order: each second of waiting reduces the expected length by this many
/// tokens, so that a long output is overtaken for a limited time only.
constexpr double ageing_tokens_per_second = 20.0;

template <class Map> auto* find_value(Map& map, std::string_view name) {
    const auto found = map.find(std::string(name));
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

void fair_queue::set_weight(const std::string& workspace, double weight) {
    queues_[workspace].weight = std::max(weight, 0.001);
}

void fair_queue::push(queued_request work) {
    workspace_queue& into = queues_[work.workspace];
    if (into.waiting == 0) {
        into.virtual_time = std::max(into.virtual_time, current_virtual_time_);
        into.level_time.fill(0.0);
    }
    const auto level = static_cast<std::size_t>(work.priority);
    if (into.levels[level].empty()) {
        double least = 0.0;
        bool any = false;
        for (std::size_t i = 0; i < level_count; ++i) {
            if (!into.levels[i].empty()) {
                least = any ? std::min(least, into.level_time[i]) : into.level_time[i];
                any = true;
            }
        }
        into.level_time[level] = std::max(into.level_time[level], least);
    }
    locations_[work.id] = {work.workspace, level};
    into.waiting_tokens[level][length_bucket(work.expected_tokens)] += work.expected_tokens;
    waiting_tokens_ += work.expected_tokens;
    ++into.waiting;
    into.levels[level].push_back(std::move(work));
}

void fair_queue::next_workspaces(std::vector<std::string_view>& out, std::size_t max_count) const {
    struct ranked {
        double time;
        std::string_view name;
    };
    std::vector<ranked> waiting;
    for (const auto& [name, state] : queues_) {
        if (state.waiting > 0) {
            waiting.push_back({state.virtual_time, name});
        }
    }
    const std::size_t wanted = std::min(max_count, waiting.size());
    std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(wanted),
                      waiting.end(), [](const ranked& a, const ranked& b) {
                          return a.time != b.time ? a.time < b.time : a.name < b.name;
                      });
    waiting.resize(wanted);
    out.clear();
    for (const ranked& r : waiting) {
        out.push_back(r.name);
    }
}

const queued_request* fair_queue::head(std::string_view workspace, bool shortest_first,
                                       time_point now) const {
    const workspace_queue* from = find_value(queues_, workspace);
    if (from == nullptr || from->waiting == 0) {
        return nullptr;
    }
    std::size_t best = level_count;
    for (std::size_t i = 0; i < level_count; ++i) {
        const bool better = best == level_count || from->level_time[i] <= from->level_time[best];
        if (!from->levels[i].empty() && better) {
            best = i;
        }
    }
    const std::deque<queued_request>& level = from->levels[best];
    if (!shortest_first) {
        return &level.front();
    }
    const auto cost = [now](const queued_request& work) {
        const double waited = std::chrono::duration<double>(now - work.arrived).count();
        return work.expected_tokens - waited * ageing_tokens_per_second;
    };
    return &*std::min_element(
        level.begin(), level.end(),
        [&](const queued_request& a, const queued_request& b) { return cost(a) < cost(b); });
}

bool fair_queue::take(std::uint64_t id, queued_request& out) {
    const auto found = locations_.find(id);
    if (found == locations_.end()) {
        return false;
    }
    workspace_queue& from = queues_[found->second.workspace];
    const std::size_t level = found->second.level;
    auto& queue = from.levels[level];
    const auto at = std::find_if(queue.begin(), queue.end(),
                                 [id](const queued_request& work) { return work.id == id; });
    out = std::move(*at);
    queue.erase(at);
    locations_.erase(found);
    --from.waiting;
    from.waiting_tokens[level][length_bucket(out.expected_tokens)] -= out.expected_tokens;
    waiting_tokens_ -= out.expected_tokens;
    from.level_time[level] += out.expected_tokens / level_weights[level];
    current_virtual_time_ = std::max(current_virtual_time_, from.virtual_time);
    return true;
}

void fair_queue::charge(const std::string& workspace, double tokens) {
    workspace_queue& l = queues_[workspace];
    l.virtual_time += tokens / l.weight;
}

std::size_t fair_queue::length_bucket(double expected_tokens) {
    const double power = std::log2(std::max(expected_tokens, 1.0));
    return std::min(static_cast<std::size_t>(power), bucket_count - 1);
}

double fair_queue::tokens_ahead(std::string_view workspace, priority_level priority,
                                double longest) const {
    const workspace_queue* l = find_value(queues_, workspace);
    if (l == nullptr) {
        return 0.0;
    }
    double ahead = 0.0;
    for (std::size_t level = static_cast<std::size_t>(priority); level < level_count; ++level) {
        for (std::size_t size = 0; size <= length_bucket(longest); ++size) {
            ahead += l->waiting_tokens[level][size];
        }
    }
    return std::max(ahead, 0.0);
}

std::size_t fair_queue::waiting(std::string_view workspace) const {
    const workspace_queue* l = find_value(queues_, workspace);
    return l == nullptr ? 0 : l->waiting;
}

double fair_queue::share(std::string_view workspace) const {
    double all = 0.0;
    double own = 1.0;
    bool counted = false;
    for (const auto& [name, state] : queues_) {
        const bool self = name == workspace;
        if (state.waiting > 0 || self) {
            all += state.weight;
        }
        if (self) {
            own = state.weight;
            counted = true;
        }
    }
    return own / (counted ? all : all + own);
}

} // namespace bamboostream
