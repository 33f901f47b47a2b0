#include "bamboostream/src/Evacuation/move_plan.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace bamboostream {

namespace {

/// A step of a busy engine takes about 10 ms per token: 30 tokens end within 0.3 s, well inside the
/// shortest notice of 1.5 s, and moving them would only delay other moves.
constexpr std::int64_t max_tokens_near_end = 30;
/// Cost of one second until the copy is done, in units of an engine's full memory. Within a notice
/// of about 2 s each tenth of a second is one generation more or less, while a fuller engine only
/// slows its steps.
constexpr double cost_per_second = 1.2;

} // namespace

std::vector<move_candidate> order_moves(std::vector<move_candidate> candidates) {
    const auto rank = [](const move_candidate& c) {
        return std::make_tuple(c.generation.tokens_left <= max_tokens_near_end,
                               c.generation.memory_tokens, std::string_view(c.generation.id));
    };
    std::sort(
        candidates.begin(), candidates.end(),
        [&rank](const move_candidate& a, const move_candidate& b) { return rank(a) < rank(b); });
    return candidates;
}

duration copy_time(std::int64_t tokens, link_speed speed, bool cross_domain) {
    if (speed.mbps <= 0.0) {
        return duration{};
    }
    constexpr double bits_per_byte = 8.0;
    const double us = static_cast<double>(tokens) * speed.bytes_per_token * bits_per_byte /
                      speed.mbps * (cross_domain ? 2.0 : 1.0);
    return from_milliseconds(us / 1000.0);
}

double max_fill_after_move(const move_limits& limits, double average) {
    const double progress = std::clamp(
        (average - limits.low_average) / (limits.high_average - limits.low_average), 0.0, 1.0);
    return limits.max_fill + progress * (limits.max_fill_when_busy - limits.max_fill);
}

namespace {

double fraction_of(std::int64_t tokens, std::int64_t memory_tokens) {
    return memory_tokens > 0 ? static_cast<double>(tokens) / static_cast<double>(memory_tokens)
                             : 0.0;
}

double average_fill(std::span<const move_target> targets) {
    double sum = 0.0;
    for (const move_target& target : targets) {
        sum += fraction_of(target.work.memory_tokens, target.memory_tokens);
    }
    return targets.empty() ? 0.0 : sum / static_cast<double>(targets.size());
}

} // namespace

std::optional<std::size_t> choose_target(const movable_generation& generation,
                                         const failure_domain_id& source_domain, link_speed speed,
                                         std::span<const move_target> targets,
                                         const move_limits& limits) {
    const double max_fill = max_fill_after_move(limits, average_fill(targets));
    std::optional<std::size_t> best;
    double best_cost = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const move_target& t = targets[i];
        const std::int64_t after =
            t.work.memory_tokens + generation.memory_tokens + generation.tokens_left;
        const double fill = fraction_of(after, t.memory_tokens);
        if (!t.fits || fill > max_fill || t.work.requests >= t.slots) {
            continue;
        }
        const bool cross_domain = t.backend.failure_domain != source_domain;
        const duration done = copy_time(generation.memory_tokens, speed, cross_domain);
        const double cost = fill + cost_per_second * to_milliseconds(done) / 1000.0;
        if (cost < best_cost) {
            best_cost = cost;
            best = i;
        }
    }
    return best;
}

} // namespace bamboostream
