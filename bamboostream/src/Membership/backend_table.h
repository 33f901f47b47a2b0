#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// What kind of work a backend server does.
enum class backend_kind : std::uint8_t { engine, plain_service };

/// State of a backend server; only a `live` one may get new work.
/// `loading` is a running engine that is changing its model and takes no work until that is done.
enum class backend_state : std::uint8_t { live = 0, leaving = 1, down = 2, loading = 3 };

/// What this instance knows about one backend server.
struct backend_facts {
    backend_id id;
    backend_kind kind = backend_kind::engine;
    /// Name of the pool (engines) or service (plain services).
    std::string group;
    failure_domain_id failure_domain;
    /// Identifies the server's current process, as reported by the server; 0 until it has answered.
    wall_time start_stamp = 0;
    backend_state state = backend_state::live;
    /// Number of consecutive failed polls or connections.
    int failed_polls = 0;
};

/// A change of a backend server's state, or a new server, for logs and schedulers.
struct backend_change {
    backend_facts now;
    backend_state before = backend_state::live;
    bool is_new = false;
};

/// The backend servers known to this instance, from the platform's list, from status polls, from
/// their responses and from reports of other watchers.
///
/// Leaving is permanent for a start stamp: the platform's list lags by half a minute or more, so a
/// list that still reports a server as live must not restore one that has announced its leaving.
///
/// Not thread-safe.
class backend_table {
public:
    /// Updates the table from the platform's list. Servers that are no longer listed are kept while
    /// they respond, because the list may be incomplete after an outage.
    void update_from_list(const std::vector<backend_facts>& listed, time_point now);
    /// Records the start stamp and state from a response to a poll or a request. Responses of an
    /// earlier process are ignored.
    void observe(std::string_view address, wall_time start_stamp, backend_state state,
                 time_point now);
    /// Records a failed poll or connection; a live server is down after two in a row.
    void observe_failure(std::string_view address, time_point now);
    /// The servers of a pool or service.
    std::vector<backend_facts> group(std::string_view name) const;
    std::vector<backend_facts> all() const;
    std::optional<backend_facts> find(std::string_view address) const;
    /// True if the server is known and live.
    bool may_get_work(std::string_view address) const;
    /// Returns the changes since the last call.
    std::vector<backend_change> take_changes();

private:
    struct record {
        backend_facts facts;
        bool listed = false;
    };
    void set_state(record& r, backend_state state);

    std::map<std::string, record, std::less<>> backends_;
    std::vector<backend_change> changes_;
};

} // namespace bamboostream
