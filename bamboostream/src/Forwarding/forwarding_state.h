#pragma once

#include "bamboostream/src/Contracts/server_check.h"
#include "bamboostream/src/Forwarding/active_streams.h"
#include "bamboostream/src/Forwarding/backend_contract.h"
#include "bamboostream/src/Forwarding/engine_choice.h"
#include "bamboostream/src/Forwarding/latency_metrics.h"
#include "bamboostream/src/Http/http_connection_pool.h"
#include "bamboostream/src/Limits/cold_start_limit.h"
#include "bamboostream/src/Limits/come_back.h"
#include "bamboostream/src/Limits/engine_admission.h"
#include "bamboostream/src/Limits/overload_watch.h"
#include "bamboostream/src/Limits/quarantine_registry.h"
#include "bamboostream/src/Membership/backend_registry.h"
#include "bamboostream/src/Membership/view_age.h"
#include "bamboostream/src/Routing/backend_picker.h"
#include "bamboostream/src/Routing/load_book.h"
#include "bamboostream/src/Routing/outcome_book.h"
#include "bamboostream/src/Routing/reading_rates.h"
#include "bamboostream/src/Routing/route_table.h"
#include "bamboostream/src/Routing/window_budget.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <unordered_map>

namespace bamboostream {

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

/// The name of a result in metrics and logs.
std::string_view to_string(forward_result result);

/// Counters of one instance.
struct forward_counters {
    std::array<std::uint64_t, static_cast<std::size_t>(forward_result::count_)> results{};
    std::uint64_t sends = 0;
    std::uint64_t new_connections = 0;
    std::uint64_t moved = 0;
    std::uint64_t open = 0;
    /// Generations whose engine another instance chose, and questions to such that it didn't answer
    /// in time.
    std::uint64_t placed_by_owner = 0;
    std::uint64_t owners_silent = 0;

    void count(forward_result result) { ++results[static_cast<std::size_t>(result)]; }
};

/// What all forwarded requests of an instance share. Lives on one thread.
struct forwarding_state {
    forwarding_state(const request_codec& request_codec_used, failure_domain_id here_,
                     window_budget_rules budget_rules, std::uint64_t seed)
        : codec(request_codec_used), here(std::move(here_)), budget(budget_rules), picker(seed),
          cold_starts(seed), random(seed + 1) {}

    const request_codec& codec;
    failure_domain_id here;
    /// Null until the first configuration has been read.
    std::shared_ptr<const route_table> routes;
    /// The newest configuration that other instances have told of; zero before the first.
    std::int64_t told_configuration = 0;
    backend_registry registry;
    /// How old what is known of the entries of backend servers and of the configuration is.
    view_age entries_view;
    view_age documents_view;
    load_book loads;
    /// How fast engines read prompts, by what this instance has seen and has been told.
    reading_rates reading;
    window_budget budget;
    admission_rules admission;
    backend_picker picker;
    cold_start_limit cold_starts;
    /// Refused generations by service, of those that this instance chooses engines for.
    std::unordered_map<service_id, overload_watch> overloads;
    /// What to tell those that choose engines for this instance.
    outcome_book engine_outcomes;
    http_connection_pool connections;
    server_check server_checks;
    /// Requests that end the backend servers which run them.
    quarantine_registry quarantine;
    active_streams streams;
    std::mt19937_64 random;
    forward_counters counters;
    latency_metrics latency;
    /// Asked for the engine of a generation first; null when there is nobody to ask.
    engine_scheduler* scheduler = nullptr;
    /// Live instances, this one included; shares of common budgets are counted by it.
    std::size_t live_instances = 1;
    /// A graceful shutdown has begun: connections close after their answer.
    bool leaving = false;
    /// When the process ends after that.
    time_point ends_at = time_point::max();
    /// Called when a generation is sent to an engine, begins to put out or ends.
    std::function<void()> on_generation_change;
    /// Called after a change of the registry that forwarding itself has found.
    std::function<void()> on_registry_change;
};

} // namespace bamboostream
