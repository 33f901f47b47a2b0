#include "bamboostream/src/Limits/server_rate_limits.h"

#include "bamboostream/src/Core/event_log.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace bamboostream {

namespace {

/// Ages that other instances report contain the time that their frames took.
constexpr milliseconds age_tolerance{20};
/// Reports of an unchanged limit replace what is known only if they are newer by this much:
/// otherwise the time under way, which each instance adds, would accumulate.
constexpr milliseconds refresh_period{500};
/// An ended limit is remembered this long, so that instances that have missed the end are told.
constexpr seconds ended_retention{30};

} // namespace

std::string rate_text(const std::optional<double>& per_second) {
    return per_second ? fmt::format("{:.4g}", *per_second) : "none";
}

std::string_view to_string(rate_limit_change change) {
    static constexpr std::array<std::string_view, 4> names = {"none", "named", "changed", "ended"};
    return names[static_cast<std::size_t>(change)];
}

rate_limit_change server_rate_limits::observe(const server_rate_limit& seen, time_point sent_at) {
    const server_rate_limit* known = find_record(seen.server);
    if (!seen.per_second) {
        const bool ends =
            known != nullptr && known->per_second && sent_at > known->seen_at + age_tolerance;
        return ends ? apply(seen, true) : rate_limit_change::none;
    }
    return apply(seen, true);
}

rate_limit_change server_rate_limits::merge(const server_rate_limit& reported) {
    const server_rate_limit* known = find_record(reported.server);
    if (known == nullptr) {
        return apply(reported, false);
    }
    const bool same =
        known->started_ms == reported.started_ms && known->per_second == reported.per_second;
    const duration newer_by = reported.seen_at - known->seen_at;
    if (newer_by <= (same ? duration(refresh_period) : duration{})) {
        return rate_limit_change::none;
    }
    return apply(reported, false);
}

rate_limit_change server_rate_limits::apply(const server_rate_limit& state, bool seen_here) {
    const std::optional<double> before = find(state.server);
    limits_[state.server] = state;
    if (before == state.per_second) {
        return rate_limit_change::none;
    }
    const rate_limit_change change = !before             ? rate_limit_change::named
                                     : !state.per_second ? rate_limit_change::ended
                                                         : rate_limit_change::changed;
    log_event(events::backend_rate_limit, "backend={} change={} per_second={} before={} seen={}",
              state.server.text(), to_string(change), rate_text(state.per_second),
              rate_text(before), seen_here ? "here" : "by_peer");
    if (listener_) {
        listener_(state, change, seen_here);
    }
    return change;
}

std::optional<double> server_rate_limits::find(const backend_id& server) const {
    const server_rate_limit* known = find_record(server);
    return known != nullptr ? known->per_second : std::nullopt;
}

const server_rate_limit* server_rate_limits::find_record(const backend_id& server) const {
    const auto found = limits_.find(server);
    return found != limits_.end() ? &found->second : nullptr;
}

std::vector<server_rate_limit> server_rate_limits::all() const {
    std::vector<server_rate_limit> out;
    out.reserve(limits_.size());
    for (const auto& [server, state] : limits_) {
        out.push_back(state);
    }
    return out;
}

std::size_t server_rate_limits::size() const {
    return static_cast<std::size_t>(
        std::count_if(limits_.begin(), limits_.end(),
                      [](const auto& item) { return item.second.per_second.has_value(); }));
}

void server_rate_limits::expire(time_point now) {
    std::erase_if(limits_, [now](const auto& item) {
        return !item.second.per_second && now - item.second.seen_at > ended_retention;
    });
}

} // namespace bamboostream
