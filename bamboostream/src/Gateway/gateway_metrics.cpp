#include "bamboostream/src/Gateway/gateway_metrics.h"

#include "bamboostream/src/Core/event_log.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <iterator>
#include <utility>
#include <vector>

namespace bamboostream {

namespace {

void append(std::string& out, std::string_view type, std::string_view name, std::uint64_t value) {
    fmt::format_to(std::back_inserter(out), "# TYPE bamboostream_{0} {1}\nbamboostream_{0} {2}\n",
                   name, type, value);
}

/// One hour stands for a view that was never known.
std::uint64_t reported_age_ms(duration age) {
    constexpr duration max_age = std::chrono::hours(1);
    return static_cast<std::uint64_t>(to_milliseconds(std::min(age, max_age)));
}

void append_store_calls(std::string& out, const store_call_counts& calls) {
    out += "# TYPE bamboostream_store_calls_total counter\n";
    // Skips `read_reason::none`, for which no calls are made.
    for (std::size_t i = 1; i < calls.size(); ++i) {
        fmt::format_to(std::back_inserter(out),
                       "bamboostream_store_calls_total{{reason=\"{}\"}} {}\n",
                       to_string(static_cast<read_reason>(i)), calls[i]);
    }
}

void append_configuration(std::string& out, const gateway_stats& stats) {
    append(out, "gauge", "configuration_version",
           static_cast<std::uint64_t>(stats.configuration_version));
    append(out, "gauge", "configuration_version_told",
           static_cast<std::uint64_t>(stats.announced_configuration_version));
    append(out, "counter", "configurations_rejected_total", stats.configurations_rejected);
    append(out, "counter", "configurations_encoded_total", stats.configurations_encoded);
    out += "# TYPE bamboostream_configuration_pieces_total counter\n";
    for (std::size_t i = 0; i < stats.configuration_pieces.size(); ++i) {
        fmt::format_to(std::back_inserter(out),
                       "bamboostream_configuration_pieces_total{{verdict=\"{}\"}} {}\n",
                       to_string(static_cast<piece_result>(i)), stats.configuration_pieces[i]);
    }
}

void append_links(std::string& out, const link_traffic& links) {
    append(out, "counter", "peer_bytes_sent_total", links.bytes_sent);
    append(out, "counter", "peer_bytes_received_total", links.bytes_received);
    append(out, "counter", "peer_frames_sent_total", links.frames_sent);
    append(out, "counter", "peer_frames_received_total", links.frames_received);
    append(out, "counter", "peer_frames_bad_total", links.bad_frames);
    append(out, "counter", "peer_frames_dropped_total", links.dropped_frames);
    append(out, "counter", "peer_replies_late_total", links.late_replies);
    append(out, "counter", "peer_reply_bytes_late_total", links.late_reply_bytes);
    append(out, "gauge", "peer_bytes_queued", links.queued_bytes);
}

void append_permits(std::string& out, const permit_counts& permits) {
    const std::array<std::pair<std::string_view, std::uint64_t>, 4> rows = {
        {{"granted", permits.granted},
         {"denied", permits.denied},
         {"unanswered", permits.unanswered},
         {"sent_without", permits.unpermitted}}};
    out += "# TYPE bamboostream_rate_permits_total counter\n";
    for (const auto& [result, count] : rows) {
        fmt::format_to(std::back_inserter(out),
                       "bamboostream_rate_permits_total{{result=\"{}\"}} {}\n", result, count);
    }
}

/// The pace of the slowest and the fastest engines as far as this instance knows it, and the number
/// of slow ones. The owner of a service knows it of all engines.
void append_paces(std::string& out, const forwarding_state& state) {
    constexpr std::size_t listed_at_each_end = 5;
    struct row {
        double ms;
        backend_id id;
    };
    std::vector<row> rows;
    std::uint64_t slow = 0;
    if (!state.pace.empty()) {
        for (const registered_backend& server : state.registry.all()) {
            if (const auto known = state.pace.find(backend_hash(server.id))) {
                rows.push_back({known->ms_per_event, server.id});
                slow += known->slow ? 1 : 0;
            }
        }
    }
    append(out, "gauge", "slow_servers", slow);
    std::sort(rows.begin(), rows.end(), [](const row& a, const row& b) { return a.ms > b.ms; });
    if (rows.size() > 2 * listed_at_each_end) {
        rows.erase(rows.begin() + listed_at_each_end, rows.end() - listed_at_each_end);
    }
    out += "# TYPE bamboostream_server_pace_ms gauge\n";
    for (const row& it : rows) {
        fmt::format_to(std::back_inserter(out),
                       "bamboostream_server_pace_ms{{backend=\"{}\"}} {:.1f}\n", it.id.text(),
                       it.ms);
    }
}

void append_moves(std::string& out, const forwarding_state& state, time_point now) {
    const needed_room need = state.reserve.latest_need(now);
    append(out, "gauge", "reserved_tokens", static_cast<std::uint64_t>(need.tokens));
    append(out, "gauge", "streams_to_move", static_cast<std::uint64_t>(need.generations));
    append(out, "gauge", "streams_without_target", state.counters.without_target);
    out += "# TYPE bamboostream_streams_not_moved_total counter\n";
    for (std::size_t i = 0; i < state.counters.not_moved.size(); ++i) {
        fmt::format_to(std::back_inserter(out),
                       "bamboostream_streams_not_moved_total{{cause=\"{}\"}} {}\n",
                       to_string(static_cast<no_move_cause>(i)), state.counters.not_moved[i]);
    }
}

} // namespace

std::string exposition(const forwarding_state& state, const gateway_stats& stats, time_point now) {
    const forward_counters& c = state.counters;
    std::string out = "# TYPE bamboostream_requests_total counter\n";
    for (std::size_t i = 0; i < c.results.size(); ++i) {
        fmt::format_to(std::back_inserter(out), "bamboostream_requests_total{{result=\"{}\"}} {}\n",
                       to_string(static_cast<forward_result>(i)), c.results[i]);
    }
    out += "# TYPE bamboostream_streams_not_continued_total counter\n";
    for (std::size_t i = 0; i < c.not_continued.size(); ++i) {
        fmt::format_to(std::back_inserter(out),
                       "bamboostream_streams_not_continued_total{{cause=\"{}\"}} {}\n",
                       to_string(static_cast<continuation_refusal>(i)), c.not_continued[i]);
    }
    out += "# TYPE bamboostream_carrier_answers_total counter\n";
    for (std::size_t i = 0; i < c.carrier_answers.size(); ++i) {
        fmt::format_to(std::back_inserter(out),
                       "bamboostream_carrier_answers_total{{answer=\"{}\"}} {}\n",
                       to_string(static_cast<carrier_answer>(i)), c.carrier_answers[i]);
    }
    out += "# TYPE bamboostream_refused_total counter\n";
    // Skips `admission_result::admit`, which is no refusal.
    for (std::size_t i = 1; i < c.refused.size(); ++i) {
        fmt::format_to(std::back_inserter(out), "bamboostream_refused_total{{cause=\"{}\"}} {}\n",
                       to_string(static_cast<admission_result>(i)), c.refused[i]);
    }
    append(out, "gauge", "workspaces_over_share", state.shares.over_share(now));
    out += "# TYPE bamboostream_endless_responses_total counter\n";
    // Skips `response_limit::none`.
    for (std::size_t i = 1; i < stats.endless_responses.size(); ++i) {
        fmt::format_to(std::back_inserter(out),
                       "bamboostream_endless_responses_total{{kind=\"{}\"}} {}\n",
                       to_string(static_cast<response_limit>(i)), stats.endless_responses[i]);
    }
    append(out, "counter", "streams_taken_up_total", c.streams_taken_up);
    append(out, "gauge", "stream_origins", state.origins.size());
    append(out, "counter", "sends_total", c.sends);
    append(out, "counter", "sends_to_rate_limited_servers_total", c.sends_to_limited);
    append(out, "gauge", "rate_limited_servers", state.rate_limits.size());
    append(out, "counter", "rate_permits_issued_total", state.issuer.issued());
    append(out, "gauge", "possible_instances", state.issuer.possible_instances());
    append_permits(out, stats.permits);
    append(out, "counter", "late_responses_total", c.late_responses);
    append(out, "counter", "new_connections_total", c.new_connections);
    append(out, "counter", "connects_timed_out_total", c.connects_timed_out);
    append(out, "counter", "connects_refused_total", c.connects_refused);
    append(out, "counter", "backend_servers_ended_total", state.server_checks.ended_servers());
    append(out, "counter", "tunneled_sends_total", c.tunneled_sends);
    append(out, "counter", "tunnels_opened_total", c.tunnels_opened);
    append(out, "counter", "tunnels_carried_total", c.tunnels_carried);
    append(out, "gauge", "tunnels_carried", c.open_tunnels);
    append(out, "gauge", "backend_servers_cut_off", state.reachability.servers_cut_off());
    append(out, "counter", "moved_generations_total", c.moved);
    append_moves(out, state, now);
    append(out, "counter", "placed_by_owner_total", c.placed_by_owner);
    append(out, "counter", "owners_silent_total", c.owner_timeouts);
    append(out, "counter", "dropped_log_lines_total", dropped_log_lines());
    append(out, "gauge", "quarantined_requests", state.quarantine.decisions().held());
    append(out, "gauge", "quarantined_parts", state.quarantine.decisions().all_held_parts().size());
    append(out, "gauge", "quarantine_evidence", state.quarantine.decisions().size());
    append(out, "gauge", "memory_reserved_bytes", stats.memory_reserved_bytes);
    append(out, "counter", "request_bodies_refused_total", stats.request_bodies_refused);
    append(out, "gauge", "open_requests", c.open);
    append(out, "gauge", "open_streams", state.streams.size());
    append(out, "gauge", "idle_connections", state.connections.idle());
    append(out, "gauge", "backend_servers", state.registry.all().size());
    append(out, "gauge", "cordoned_failure_domains", state.registry.cordoned().size());
    append(out, "gauge", "live_instances", state.live_instances);
    append(out, "gauge", "entries_view_age_ms", reported_age_ms(state.entries_view.age(now)));
    append(out, "gauge", "documents_view_age_ms", reported_age_ms(state.documents_view.age(now)));
    append_paces(out, state);
    append_configuration(out, stats);
    append_store_calls(out, stats.store_calls);
    append_links(out, stats.links);
    return out + state.latency.exposition();
}

} // namespace bamboostream
