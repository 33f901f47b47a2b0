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

/// Whether a backend server may get new work.
/// `loading` is a live engine that is changing its model and takes no work until it is done.
enum class backend_state : std::uint8_t { live = 0, leaving = 1, down = 2, loading = 3 };

/// What is known of one backend server.
struct backend_facts {
    backend_id id;
    backend_kind kind = backend_kind::engine;
    /// Name of the pool (engines) or service (plain services).
    std::string group;
    failure_domain_id failure_domain;
    /// Life of the backend server, as it reports itself; 0 until it has answered.
    wall_time start_stamp = 0;
    backend_state state = backend_state::live;
    int failed_polls = 0;
};

/// A change of a backend server's state, for logs and for the schedulers.
struct backend_change {
    backend_facts now;
    backend_state before = backend_state::live;
    bool is_new = false;
};

/// The backend servers as this instance knows them, from the platform's list, from polls of their
/// own status, from what their answers carry and from what other watchers tell.
///
/// Leaving is sticky for a start stamp: the platform's list lags by half a minute and more, so a
/// list that still says live must not bring back a server that has itself said it leaves.
class backend_table {
public:
    /// Replaces the set by the platform's list. Servers that are no longer listed are kept while
    /// they answer, since a list may also be incomplete after an outage.
    void update_from_list(const std::vector<backend_facts>& listed, time_point now);
    /// The server answered a poll or a request with this life and state.
    void observe(std::string_view address, wall_time start_stamp, backend_state state,
                 time_point now);
    /// A poll or connection failed.
    void observe_failure(std::string_view address, time_point now);
    std::vector<backend_facts> group(std::string_view name) const;
    std::vector<backend_facts> all() const;
    std::optional<backend_facts> find(std::string_view address) const;
    bool may_get_work(std::string_view address) const;
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
