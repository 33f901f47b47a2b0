#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboostream {

/// What one process of a backend server says of the requests a second that it takes.
struct server_rate_limit {
    backend_id server;
    /// Start of the process, as in `registered_backend`.
    std::int64_t started_ms = 0;
    /// From all instances together; nothing if the server names no limit any more.
    std::optional<double> per_second;
    /// When the newest response that says so arrived, at whichever instance.
    time_point seen_at{};
};

/// How the limit of a server differs from what was known before.
enum class rate_limit_change : std::uint8_t { none, named, changed, ended };

/// Name of a change in log lines.
std::string_view to_string(rate_limit_change change);
/// A limit in log lines; "none" if there is none.
std::string rate_text(const std::optional<double>& per_second);

/// The limits that backend servers name in their responses, as this instance and others have seen
/// them.
///
/// A limit holds until the server responds without one. Responses of one server arrive over several
/// connections and at several instances, so that one without a limit may have been written before
/// one that names it. Therefore a response ends a limit only if its request was sent after the
/// limit was last seen. Not thread-safe.
///
/// Example: `limits.observe({id, started_ms, facts.rate_limit, now}, sent_at);`
class server_rate_limits {
public:
    /// Is called after each change, with the new state and whether this instance saw it itself.
    using change_listener =
        std::function<void(const server_rate_limit&, rate_limit_change, bool seen_here)>;

    void on_change(change_listener listener) { listener_ = std::move(listener); }
    /// Records what a response says. `seen.seen_at` is the time of its arrival, `sent_at` that of
    /// the request.
    rate_limit_change observe(const server_rate_limit& seen, time_point sent_at);
    /// Records what another instance has seen, unless it is older than what is known here.
    rate_limit_change merge(const server_rate_limit& reported);
    /// The limit in force; nothing if the server names none.
    std::optional<double> find(const backend_id& server) const;
    /// What is known of the server; null if it has never named a limit.
    const server_rate_limit* find_record(const backend_id& server) const;
    /// All that is known, limits that have ended included: others may still hold them.
    std::vector<server_rate_limit> all() const;
    /// Number of servers that name a limit.
    std::size_t size() const;
    /// Whether any server names a limit.
    bool any() const { return size() > 0; }
    /// Discards what is known of a server that is gone or has restarted.
    void forget(const backend_id& server) { limits_.erase(server); }
    /// Discards limits that ended some time ago.
    void expire(time_point now);

private:
    rate_limit_change apply(const server_rate_limit& state, bool seen_here);

    std::map<backend_id, server_rate_limit> limits_;
    change_listener listener_;
};

} // namespace bamboostream
