#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Membership/backend_registry.h"
#include "bamboostream/src/Routing/load_table.h"
#include "bamboostream/src/Routing/outlier_detector.h"

#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// What a request asks of the backend server that gets it.
struct placement_request {
    /// Servers that it must not go to, for instance because it failed there.
    std::span<const backend_id> avoid;
    /// Tokens of cache memory of each server; zero for plain services.
    std::int64_t server_memory_tokens = 0;
    failure_domain_id preferred_domain;
};

/// Chooses the backend server for a request by the work that is under way at each.
///
/// For plain calls that is the share of places taken. For generations it is the memory that will be
/// held, which sets how long a step takes, and the prompts that wait to be read, which set how long
/// the first event takes. It answers any load: with idle servers it spreads requests, and past
/// saturation `check_admission` says first which servers may be chosen at all.
class backend_picker {
public:
    explicit backend_picker(std::uint64_t seed) : random_(seed) {}

    /// Null when no server may get the request.
    const registered_backend* pick(std::span<const registered_backend* const> servers,
                                   load_table& loads, const placement_request& request,
                                   time_point now);
    /// No connection came about. The server is passed over for a while, unless nothing else is
    /// left: while the store is away engines go without their entries, and several connections in a
    /// row may fail.
    void on_unreachable(const backend_id& id, time_point now);
    /// What another instance has seen of a server. Failures that are told together count as one. An
    /// instance that is cut off goes on telling of failures; successes of others in between and the
    /// largest share that may be ejected limit what that does.
    void note(const backend_id& id, int succeeded, int failed, std::size_t group_size,
              time_point now);
    /// Whether the server is left out for a while, unless nothing else is left.
    bool is_excluded(const backend_id& id, time_point now) const;
    void on_success(const backend_id& id, time_point now);
    /// `group_size` counts the servers of the same service.
    void on_failure(const backend_id& id, std::size_t group_size, time_point now);

    /// The server has started again: what was held against it concerns another process.
    void forget(const backend_id& id);

private:
    double cost(const registered_backend& server, const backend_work& work,
                const placement_request& request, time_point now) const;

    std::mt19937_64 random_;
    outlier_detector outliers_;
    std::unordered_map<backend_id, time_point> unreachable_until_;
    /// Share of recent failures, by server.
    std::unordered_map<backend_id, double> failing_;
};

} // namespace bamboostream
