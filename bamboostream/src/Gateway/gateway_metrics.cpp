#include "bamboostream/src/Gateway/gateway_metrics.h"

#include "bamboostream/src/Core/event_log.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace bamboostream {

namespace {

void append(std::string& out, std::string_view type, std::string_view name, std::uint64_t value) {
    fmt::format_to(std::back_inserter(out), "# TYPE bamboostream_{0} {1}\nbamboostream_{0} {2}\n",
                   name, type, value);
}

/// An hour stands for what was never known.
std::uint64_t told_age_ms(duration age) {
    constexpr duration longest = std::chrono::hours(1);
    return static_cast<std::uint64_t>(to_milliseconds(std::min(age, longest)));
}

} // namespace

std::string exposition(const forwarding_state& state, std::int64_t configuration_version,
                       time_point now) {
    const forward_counters& c = state.counters;
    std::string out = "# TYPE bamboostream_requests_total counter\n";
    for (std::size_t i = 0; i < c.results.size(); ++i) {
        fmt::format_to(std::back_inserter(out), "bamboostream_requests_total{{result=\"{}\"}} {}\n",
                       to_string(static_cast<forward_result>(i)), c.results[i]);
    }
    append(out, "counter", "sends_total", c.sends);
    append(out, "counter", "new_connections_total", c.new_connections);
    append(out, "counter", "moved_generations_total", c.moved);
    append(out, "counter", "placed_by_owner_total", c.placed_by_owner);
    append(out, "counter", "owners_silent_total", c.owners_silent);
    append(out, "counter", "dropped_log_lines_total", dropped_log_lines());
    append(out, "gauge", "open_requests", c.open);
    append(out, "gauge", "open_streams", state.streams.size());
    append(out, "gauge", "idle_connections", state.channels.idle());
    append(out, "gauge", "backend_servers", state.registry.all().size());
    append(out, "gauge", "live_instances", state.live_instances);
    append(out, "gauge", "entries_view_age_ms", told_age_ms(state.entries_view.age(now)));
    append(out, "gauge", "documents_view_age_ms", told_age_ms(state.documents_view.age(now)));
    append(out, "gauge", "configuration_version",
           static_cast<std::uint64_t>(configuration_version));
    return out + state.latency.exposition();
}

} // namespace bamboostream
