#pragma once

#include "bamboostream/src/Core/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream::test {

/// Faults that the soak test injects from outside the processes.
enum class soak_fault : std::uint8_t {
    kill,
    terminate,
    pause,
    store_refuses,
    store_is_silent,
    store_forgets,
    configuration,
    server_leaves,
    server_joins,
    link_stalls,
    link_cut,
    link_loses_answers,
    link_refuses,
    /// A server's entry is removed without prior announcement; the server goes on serving.
    server_removed,
    /// The store stops answering half of the instances at once, and a server leaves.
    store_is_silent_to_half,
    /// From now on, callers send a request that crashes every server that runs it.
    harmful_request,
    /// Some instances are partitioned from all servers.
    instances_cut_off,
    /// A whole failure domain is partitioned from all servers, for longer than other faults last.
    domain_cut_off,
    /// A server names a limit on the requests a second that it takes.
    server_names_limit,
    /// A server has one slot, and sends second copies of its responses and responses without an id
    /// where other responses are due.
    server_repeats_responses,
    count_,
};

/// One step of a plan. Steps overlap: other faults begin while one is active.
struct soak_step {
    milliseconds at{0};
    soak_fault fault = soak_fault::kill;
    /// Selects the instance, server or link, modulo their number.
    unsigned target = 0;
    milliseconds duration{0};
};

/// The instances that a step with `instances_cut_off` partitions, and how.
struct soak_cut {
    std::size_t first = 0;
    /// From 1 to all.
    std::size_t count = 0;
    /// A manner of the fault proxy.
    std::string_view manner;
};
soak_cut cut_of(const soak_step& step, std::size_t instances);

/// The requests a second that a server names in a step with `server_names_limit`.
double limit_of(const soak_step& step);

/// Generates the steps for a seed, sorted by time. The same seed and length always give the same
/// plan, and all faults of the plan end within `length`.
std::vector<soak_step> make_soak_plan(std::uint64_t seed, milliseconds length);
/// Formats a plan with one line per step.
std::string print(const std::vector<soak_step>& plan);

} // namespace bamboostream::test
