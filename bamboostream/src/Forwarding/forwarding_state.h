#pragma once

#include "bamboostream/src/Contracts/server_check.h"
#include "bamboostream/src/Control/rate_permit_source.h"
#include "bamboostream/src/Control/server_verifier.h"
#include "bamboostream/src/Control/trial_arbiter.h"
#include "bamboostream/src/Forwarding/active_streams.h"
#include "bamboostream/src/Forwarding/backend_contract.h"
#include "bamboostream/src/Forwarding/engine_choice.h"
#include "bamboostream/src/Forwarding/latency_metrics.h"
#include "bamboostream/src/Forwarding/stream_origin_registry.h"
#include "bamboostream/src/Forwarding/stream_origin_table.h"
#include "bamboostream/src/Forwarding/tunnel_dialer.h"
#include "bamboostream/src/Http/http_connection_pool.h"
#include "bamboostream/src/Limits/cold_start_limit.h"
#include "bamboostream/src/Limits/engine_admission.h"
#include "bamboostream/src/Limits/move_reserve.h"
#include "bamboostream/src/Limits/overload_tracker.h"
#include "bamboostream/src/Limits/permit_issuer.h"
#include "bamboostream/src/Limits/quarantine_registry.h"
#include "bamboostream/src/Limits/retry_delay.h"
#include "bamboostream/src/Limits/server_rate_limits.h"
#include "bamboostream/src/Limits/workspace_shares.h"
#include "bamboostream/src/Membership/backend_registry.h"
#include "bamboostream/src/Membership/view_age.h"
#include "bamboostream/src/Routing/backend_picker.h"
#include "bamboostream/src/Routing/carrier_answer.h"
#include "bamboostream/src/Routing/load_table.h"
#include "bamboostream/src/Routing/outcome_collector.h"
#include "bamboostream/src/Routing/prefill_rates.h"
#include "bamboostream/src/Routing/reachability_tracker.h"
#include "bamboostream/src/Routing/route_table.h"
#include "bamboostream/src/Routing/server_load_table.h"
#include "bamboostream/src/Routing/server_pace.h"
#include "bamboostream/src/Routing/stream_demand.h"
#include "bamboostream/src/Routing/window_budget.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace bamboostream {

class forwarded_call;

/// How forwarded requests ended, for metrics.
enum class forward_result : std::uint8_t {
    answered,
    backend_failed,
    not_run,
    unknown,
    timed_out,
    broken_off,
    caller_left,
    rejected,
    count_,
};

/// Name of a result in metrics and log lines.
std::string_view to_string(forward_result result);

/// Why a stream that has begun can't go on at a server, for metrics.
enum class continuation_refusal : std::uint8_t {
    /// The server named by a move notice, or chosen before its entry changed, runs another software
    /// version.
    version_differs,
    /// No server of the software version takes work.
    version_unavailable,
    /// It is not known which software version began the stream.
    origin_unknown,
    /// The route no longer sends requests to the service that began the stream.
    service_not_routed,
    count_,
};

/// Name of a cause in metrics and log lines.
std::string_view to_string(continuation_refusal cause);

/// Request counters of one instance, exposed as metrics.
struct forward_counters {
    std::array<std::uint64_t, static_cast<std::size_t>(forward_result::count_)> results{};
    std::uint64_t sends = 0;
    /// Sends to servers that name a limit on their requests a second.
    std::uint64_t sends_to_limited = 0;
    /// Responses to earlier requests that arrived where the response to another one was due.
    std::uint64_t late_responses = 0;
    std::uint64_t new_connections = 0;
    /// Connection attempts to backend servers that got no answer, and that were refused.
    std::uint64_t connects_timed_out = 0;
    std::uint64_t connects_refused = 0;
    std::uint64_t moved = 0;
    /// Generations at leaving engines for which no target has been found at the last try.
    std::uint64_t without_target = 0;
    /// Generations whose engine went away before they could be moved, by cause.
    std::array<std::uint64_t, static_cast<std::size_t>(no_move_cause::count_)> not_moved{};
    std::array<std::uint64_t, static_cast<std::size_t>(continuation_refusal::count_)>
        not_continued{};
    /// Requests to take a stream up whose origin was known.
    std::uint64_t streams_taken_up = 0;
    /// Sends through other instances, and tunnels that this instance has opened for them.
    std::uint64_t tunneled_sends = 0;
    std::uint64_t tunnels_opened = 0;
    /// Answers of other instances that were asked for a tunnel.
    std::array<std::uint64_t, static_cast<std::size_t>(carrier_answer::count_)> carrier_answers{};
    /// Tunnels carried for other instances, in total and at present.
    std::uint64_t tunnels_carried = 0;
    std::uint64_t open_tunnels = 0;
    /// Requests in progress.
    std::uint64_t open = 0;
    /// Generations whose engine was chosen by another instance, and requests to choose one that
    /// were not answered in time.
    std::uint64_t placed_by_owner = 0;
    std::uint64_t owner_timeouts = 0;
    /// Callers' requests that admission refused, by cause, also if another instance decided.
    std::array<std::uint64_t, static_cast<std::size_t>(admission_result::count_)> refused{};

    void count(forward_result result) { ++results[static_cast<std::size_t>(result)]; }
    void count(continuation_refusal cause) { ++not_continued[static_cast<std::size_t>(cause)]; }
    void count(admission_result cause) { ++refused[static_cast<std::size_t>(cause)]; }
    void count(carrier_answer answer) { ++carrier_answers[static_cast<std::size_t>(answer)]; }
};

/// State shared by all forwarded requests of an instance. All access is on one thread.
struct forwarding_state {
    forwarding_state(const request_codec& request_codec_used,
                     failure_domain_id local_failure_domain_, window_budget_rules budget_rules,
                     std::uint64_t seed)
        : codec(request_codec_used), local_failure_domain(std::move(local_failure_domain_)),
          budget(budget_rules), picker(seed), cold_starts(seed), random(seed + 1) {}

    const request_codec& codec;
    failure_domain_id local_failure_domain;
    /// IP address from which connections to backend servers are made; empty to let the system
    /// choose.
    std::string outbound_address;
    /// Null until the first configuration has been loaded.
    std::shared_ptr<const route_table> routes;
    /// Highest configuration version announced by other instances; zero before the first.
    std::int64_t announced_configuration = 0;
    backend_registry registry;
    /// Age of this instance's view of the backend servers' entries and of the configuration.
    view_age entries_view;
    view_age documents_view;
    load_table loads;
    /// What backend servers report of their load in responses to this instance.
    server_load_table server_loads;
    /// Prefill speed of the engines, as measured here and reported by other instances.
    prefill_rates prefill;
    /// Time between events of streams at each server, as measured here and reported by other
    /// instances; only of services whose servers report the load of their host.
    server_pace pace;
    /// The streams of such services for which this instance has chosen engines.
    stream_demand stream_sizes;
    window_budget budget;
    admission_rules admission;
    /// Room for generations of leaving engines, for services whose memory is contended.
    move_reserve reserve;
    /// The deployment says that the memory of its engines is short at times.
    bool memory_pressure = false;
    /// Services whose memory is contended as far as other instances know.
    std::unordered_set<service_id> contended_services;
    reserve_rules reserve_limits;
    backend_picker picker;
    cold_start_limit cold_starts;
    /// Limits that backend servers name on the requests a second that they take.
    server_rate_limits rate_limits;
    /// Issues permits for such servers as far as this instance does so for all.
    permit_issuer issuer;
    /// Permits from all issuers; null if there are no other instances.
    rate_permit_source* permits = nullptr;
    /// Overload per service, from the generations that this instance refused while choosing
    /// engines.
    std::unordered_map<service_id, overload_tracker> overloads;
    /// Engine memory that workspaces hold; limits them while this instance chooses for others.
    workspace_shares shares;
    /// Results to report to the instances that choose engines for this one.
    outcome_collector engine_outcomes;
    /// Backend servers that other instances reach and this one doesn't.
    reachability_tracker reachability;
    /// Opens tunnels to such servers; null if there are no other instances.
    tunnel_dialer* tunnels = nullptr;
    http_connection_pool connections;
    server_check server_checks;
    /// Verifies with other instances that a server has ended; null if there are none.
    server_verifier* server_states = nullptr;
    /// Requests that crash the backend servers which execute them.
    quarantine_registry quarantine;
    /// Grants trials of held requests; null if there are none.
    trial_arbiter* trials = nullptr;
    active_streams streams;
    stream_origin_table origins;
    /// Shares the origins with other instances; null if there are none.
    stream_origin_registry* origin_registry = nullptr;
    std::mt19937_64 random;
    forward_counters counters;
    latency_metrics latency;
    /// Asked first for the engine of a generation; null if this instance always chooses itself.
    engine_scheduler* scheduler = nullptr;
    /// Live instances, including this one. Shared budgets are divided by this number.
    std::size_t live_instances = 1;
    /// A graceful shutdown has begun: connections close after their current response.
    bool leaving = false;
    /// When the last requests are answered after a graceful shutdown has begun. The process exits
    /// a little later.
    time_point shutdown_deadline = time_point::max();
    /// The requests that have no final response yet.
    std::set<forwarded_call*> open_calls;
    /// Called when a generation is sent to an engine, produces its first output or ends.
    std::function<void()> on_generation_change;
    /// Called after forwarding itself has changed the registry because of a response.
    std::function<void()> on_registry_change;

    /// Whether a request with this deadline may last longer than this process.
    bool outlasts_process(time_point deadline) const {
        return leaving && deadline > shutdown_deadline;
    }
    /// Whether engine memory is kept for running generations and divided between workspaces: where
    /// the deployment says that it is short, or the servers share their machines.
    bool is_contended(const service_id& service) const {
        return memory_pressure || server_loads.reports_host_load(service) ||
               contended_services.contains(service);
    }
};

} // namespace bamboostream
