#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Limits/engine_admission.h"
#include "bamboostream/src/Limits/overload_tracker.h"
#include "bamboostream/src/Routing/load_table.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// Identifies a workspace's work at the engines of a service by hashes of both ids, which are the
/// same on every instance.
struct share_key {
    std::uint64_t service = 0;
    /// Requests without a workspace have the hash of the empty id, and count as one workspace.
    std::uint64_t workspace = 0;

    bool operator==(const share_key&) const = default;
};
share_key make_share_key(const service_id& service, const std::optional<workspace_id>& workspace);

/// Cache memory that the generations of one workspace hold or are expected to hold, in tokens over
/// all engines of a service.
struct workspace_holding {
    share_key key;
    std::int64_t memory_tokens = 0;
};

/// When shares are in force and what they divide, as fractions of the memory of all engines.
struct workspace_share_rules {
    /// Shares are in force for a request while the generations claim more than the fraction to
    /// which a request of its rank is admitted to an engine, less this. A calm pool claims 0.5 to
    /// 0.6. The fraction is higher for more urgent ranks, so that these are refused only if it
    /// doesn't suffice to refuse less urgent requests.
    double in_force_margin = 0.15;
    /// The memory that is divided is the fraction to which the most urgent requests are admitted,
    /// less this. A request goes to an engine that has room for all of it, and an engine has room
    /// for some seven, so a pool refuses requests before all engines are filled to their limits.
    double divided_margin = 0.1;
    /// A workspace's demand is what it holds and what it asks for in this time. Memory for that
    /// stays free of requests of workspaces that exceed their shares. In a simulated flood
    /// the others get 0.946 of their responses in time with 400 ms and 0.959 with 500 ms, and 0.989
    /// without the flood.
    milliseconds start_horizon{500};
    /// A workspace that asks may be above its share with this many requests of the size that it
    /// asks for. With none, equal workspaces that differ only by chance are refused while there is
    /// memory: a simulated pool with room for some seven requests of each serves a seventh less in
    /// a surge, with eight 1 to 2 % less.
    std::int64_t burst_requests = 8;
    /// Generations of at most this many output tokens end within about that time. Refusing them
    /// makes hardly any room, so they are refused only while the generations claim the whole
    /// fraction to which they are admitted.
    std::int64_t max_brief_tokens = 32;
};

/// A generation that is to be checked against its workspace's share.
struct share_request {
    share_key key;
    std::int64_t memory_tokens = 0;
    /// How many of these tokens are expected output.
    std::int64_t output_tokens = 0;
    /// Rank; 0 is the most urgent.
    int priority = 0;
    /// Memory of all engines of the service that take work.
    std::int64_t pool_tokens = 0;
};

/// Whether a generation exceeds its workspace's share.
struct share_decision {
    bool over_share = false;
    /// If so, how long requests of the workspace have been refused for this reason.
    duration overload{};
};

/// Divides the memory of a service's engines between workspaces when it is short.
///
/// Shares are max-min fair over the workspaces that ask: memory is divided so that none gets more
/// than its demand, and what some don't need goes to the others in equal parts. A request of a
/// workspace that is a few requests above its share is refused while another workspace that asks is
/// below its own. Without such a workspace, or while the pool isn't short of memory, nothing is
/// refused. Memory is what counts, not requests: a brief generation holds it for a short time only.
///
/// Holdings are the current ones of this instance, the latest report of each other instance, and
/// the choices made for it since. Reports expire as in `load_table`. An instance that has just
/// become one of those that choose for others knows few of the holdings, so it refuses nothing
/// until it has heard reports for `learning_time`.
///
/// Not thread-safe.
///
/// Example: `if (shares.check(request, admission_rules, now).over_share) { … }`
class workspace_shares {
public:
    /// Time after which a workspace that doesn't ask has no share of what it doesn't hold. Small
    /// workspaces ask about once a second.
    static constexpr milliseconds asking_time{3'000};
    /// Instances report at least this often; two batches of messages are added for the transit.
    static constexpr milliseconds learning_time{410};

    explicit workspace_shares(workspace_share_rules rules = {}) : rules_(rules) {}

    /// Changes the memory that this instance's own generations hold.
    void add(const share_key& key, std::int64_t memory_tokens);
    /// Replaces the previous report of `peer`.
    void hear(const std::string& peer, std::span<const workspace_holding> report, time_point now);
    /// Adds a generation that `peer` is about to start; its next report replaces it.
    void add_expected(const std::string& peer, const workspace_holding& holding, time_point now);
    /// Sets whether this instance chooses engines of the service for others, as owner or standby.
    /// Call it regularly. `alone`: there are no other instances to hear from.
    void set_chooses(const service_id& service, bool chooses, bool alone, time_point now);
    /// Records that the workspace asks for memory, and decides whether it gets it.
    share_decision check(const share_request& request, const admission_rules& limits,
                         time_point now);
    /// Appends what this instance's generations hold at the service, to be reported to others.
    void append_own(const service_id& service, std::vector<workspace_holding>& out) const;
    /// What a workspace holds at all instances, in tokens.
    std::int64_t held(const share_key& key, time_point now);
    /// Workspaces that hold more than their share, over all services in which shares are in force;
    /// as of the latest request of each service.
    std::size_t over_share(time_point now) const;

private:
    struct workspace_state {
        std::int64_t own_tokens = 0;
        std::int64_t peer_tokens = 0;
        /// Tokens asked for, admitted or not, decaying over `asking_time`.
        double asked_tokens = 0.0;
        std::optional<time_point> asked_at;
        overload_tracker overload;

        std::int64_t held() const { return own_tokens + peer_tokens; }
        bool asks(time_point now) const { return asked_at && now - *asked_at <= asking_time; }
        void record_request(std::int64_t tokens, time_point now);
    };
    struct service_state {
        std::unordered_map<std::uint64_t, workspace_state> workspaces;
        /// Sum of what the workspaces hold.
        std::int64_t held = 0;
        bool chooses = false;
        bool alone = false;
        /// The first report since this instance chooses for others.
        std::optional<time_point> heard_since;
        /// Memory that was divided at the latest request while shares were in force, and when.
        double divided_tokens = 0.0;
        time_point in_force_at{};
    };

    double demand(const workspace_state& workspace) const;
    /// The share of a workspace whose demand exceeds it; infinite if `tokens` suffice for all.
    double share_level(const service_state& service, double tokens, time_point now) const;
    void adjust_peers(const workspace_holding& change, int sign);
    void expire(time_point now);

    workspace_share_rules rules_;
    std::unordered_map<std::uint64_t, service_state> services_;
    peer_reports<workspace_holding> peer_reports_{load_table::peer_report_lifetime};
};

} // namespace bamboostream
