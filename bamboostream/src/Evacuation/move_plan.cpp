#include "bamboostream/src/Evacuation/move_plan.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace bamboostream {

namespace {

/// A step of a busy engine takes about 10 ms per token: 30 tokens end within 0.3 s, well inside the
/// shortest notice of 1.5 s, and moving them would only delay other moves.
constexpr std::int64_t max_tokens_near_end = 30;
/// Cost of a certain late pause, in units of an engine's full memory. A stream with a late pause
/// keeps a small part of its value, and a full engine makes every second first event late.
constexpr double pause_risk_cost = 1.0;
/// As of `move_limits::max_fill_instead_of_loss`.
constexpr double max_fill_instead_of_loss = 1.1;
/// Cost of one second until the copy is done while not all copies can be made in time: a target in
/// the own failure domain goes before one elsewhere that has up to half an engine more room.
constexpr double short_time_cost_per_second = 2.4;

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

std::vector<move_candidate> order_moves(std::vector<move_candidate> candidates,
                                        const move_window& window) {
    candidates = order_moves(std::move(candidates));
    const auto near_end =
        std::find_if(candidates.begin(), candidates.end(), [](const move_candidate& c) {
            return c.generation.tokens_left <= max_tokens_near_end;
        });
    // Urgent ranks choose first; within a rank small copies first, so that the most fit.
    std::stable_sort(candidates.begin(), near_end,
                     [](const move_candidate& a, const move_candidate& b) {
                         return a.generation.priority < b.generation.priority;
                     });
    duration used{};
    const auto in_time =
        std::stable_partition(candidates.begin(), near_end, [&](const move_candidate& c) {
            const duration done = used + copy_time(c.generation.memory_tokens, window.speed, false);
            if (done > window.left) {
                return false;
            }
            used = done;
            return true;
        });
    std::stable_sort(
        candidates.begin(), in_time, [](const move_candidate& a, const move_candidate& b) {
            return std::make_tuple(a.generation.priority, -a.generation.output_tokens) <
                   std::make_tuple(b.generation.priority, -b.generation.output_tokens);
        });
    return candidates;
}

bool is_time_short(std::span<const move_candidate> candidates, const move_window& window) {
    duration sum{};
    for (const move_candidate& c : candidates) {
        if (c.generation.tokens_left > max_tokens_near_end) {
            sum += copy_time(c.generation.memory_tokens, window.speed, true);
        }
    }
    return sum > window.left;
}

move_limits limits_before_end(bool time_short) {
    move_limits out;
    out.max_fill_instead_of_loss = max_fill_instead_of_loss;
    if (time_short) {
        out.cost_per_second = short_time_cost_per_second;
    }
    return out;
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
    const double max_fill = limits.max_fill_instead_of_loss > 0.0
                                ? limits.max_fill_instead_of_loss
                                : max_fill_after_move(limits, average_fill(targets));
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
        const double cost = fill + limits.cost_per_second * to_milliseconds(done) / 1000.0 +
                            pause_risk_cost * t.pause_risk;
        if (cost < best_cost) {
            best_cost = cost;
            best = i;
        }
    }
    return best;
}

no_move_cause explain_no_target(std::span<const move_target> targets, std::size_t busy) {
    bool any_fits = false;
    bool any_slot = false;
    for (const move_target& t : targets) {
        any_fits = any_fits || t.fits;
        any_slot = any_slot || (t.fits && t.work.requests < t.slots);
    }
    if (!any_fits) {
        return busy > 0 ? no_move_cause::targets_busy : no_move_cause::version;
    }
    return any_slot ? no_move_cause::memory : no_move_cause::slots;
}

} // namespace bamboostream
