#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace bamboostream {

/// Load of a backend server as reported by itself in a response.
struct server_load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// How long work takes on the host machine at present, in percent of the usual time; nothing if
    /// the server doesn't say. It changes many times a second.
    std::optional<int> host_percent;

    bool operator==(const server_load&) const = default;
};

/// The load that backend servers report in their responses to this instance, with its age.
///
/// Reports are hints: a server that is in trouble may report anything. Not thread-safe.
///
/// Example: `loads.observe(service, id, *facts.load, now);`
class server_load_table {
public:
    struct observation {
        server_load load;
        time_point at{};
    };

    void observe(const service_id& service, const backend_id& server, const server_load& load,
                 time_point now);
    /// The latest report of a server; null if there is none.
    const observation* find(const backend_id& server) const;
    /// Whether any server of the service has reported the load of its host machine. Decisions that
    /// take the pace of servers into account are in force only for such services.
    bool reports_host_load(const service_id& service) const { return services_.contains(service); }
    /// Records that another instance has seen such a report.
    void set_reports_host_load(const service_id& service) { services_.insert(service); }
    /// Whether a warning about this server may be logged; true once a minute.
    bool should_warn(const backend_id& server, time_point now);
    /// Discards what is known of a server that is gone or has restarted.
    void forget(const backend_id& server);

private:
    std::unordered_map<backend_id, observation> latest_;
    std::unordered_set<service_id> services_;
    std::unordered_map<backend_id, time_point> next_warning_;
};

} // namespace bamboostream
