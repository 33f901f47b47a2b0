#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Limits/instance_count.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace bamboostream {

/// The role in which an instance issues permits for a backend server.
enum class issuer_role : std::uint8_t {
    /// Issues them to all instances.
    owner,
    /// Issues them to instances that get no answer from the owner.
    standby,
    /// Issues none.
    none,
};

/// A server's limit, and who asks for a permit to send it one request.
struct permit_terms {
    backend_id server;
    /// The requests a second that the server takes from all instances together.
    double per_second = 0.0;
    issuer_role role = issuer_role::owner;
    /// Rank of the request; 0 is the most urgent.
    int priority = 0;
};

/// Whether a permit is issued, and if not, after which time the next one is expected.
struct permit_decision {
    bool granted = false;
    duration wait{};
};

/// Issues permits to send requests to backend servers that name a limit on the requests a second
/// that they take from all instances together. One instance issues those of a server for all.
///
/// The platform allows 6 x the limit + 5 requests in any 4 s. Each issuer counts the permits that
/// it has issued in that time, in whatever role, and stays within a part of that allowance, so that
/// issuers that act at the same time stay within it together:
/// - an owner issues at most 4 x the limit + 3;
/// - a standby, and an owner that has just taken over and whose predecessor may still act, at most
///   2 x the limit + 2, and at a lower rate;
/// - an owner that sees only a part of the instances that may be running has that part of the whole
///   allowance, since the others may have an owner of their own. In its first 4 s it leaves what a
///   standby may have issued before it. A part that has grown counts after a second, when the
///   others know as well.
/// An issuer whose part is less than one permit issues one permit at a time at the rate of its
/// part. A new issuer starts without permits, and an owner that was the standby keeps those it has.
///
/// A limit below one request in three seconds counts as that: with fewer requests, nothing would
/// tell in time that the limit has ended. Not thread-safe; lives on one thread.
///
/// Example: `if (issuer.issue({id, 2.4, issuer_role::owner, priority}, now).granted) { … }`
class permit_issuer {
public:
    /// Sets the number of live instances, this one included, and how many processes are known to
    /// have ended, counted since the start. Call it regularly.
    void update_instance_count(std::size_t live, std::size_t ended, time_point now);
    /// As above, without knowledge of those that have ended.
    void update_instance_count(std::size_t live, time_point now) {
        update_instance_count(live, 0, now);
    }
    /// Issues a permit if there is one.
    permit_decision issue(const permit_terms& terms, time_point now);
    /// As `issue`, but leaves the permit for the next call.
    ///
    /// Also call it regularly with the present role, so that permits accrue for a standby that no
    /// instance has asked, and an issuer that is replaced begins anew if it becomes one again.
    permit_decision check(const permit_terms& terms, time_point now);
    /// Counts a request that is sent without a permit because it can't wait for one.
    void record_unpermitted_send(const permit_terms& terms, time_point now);
    /// Discards what is known of a server that is gone or has restarted.
    void forget(const backend_id& server) { accounts_.erase(server); }
    std::uint64_t issued() const { return issued_; }
    /// How many instances may be running as far as this one knows, cut off from it or not.
    std::size_t possible_instances() const { return instances_.max_recent(); }

private:
    /// Permits are counted in slices of 50 ms. Two more than 4 s have, since the current one has
    /// just begun, and a request reaches its server some milliseconds after its permit.
    static constexpr std::size_t slice_count = 82;
    struct account {
        issuer_role role = issuer_role::none;
        time_point role_since{};
        /// When this instance took over without having been the standby.
        time_point began_at{};
        time_point updated{};
        double permits = 0.0;
        std::array<std::uint16_t, slice_count> issued{};
        std::int64_t latest_slice = 0;
    };
    account& update(const permit_terms& terms, time_point now);
    /// Whether this instance is an owner whose predecessor has ended or has had time to stop.
    bool is_settled(const account& known, time_point now) const;
    /// The permits that may be issued in 4 s.
    double window_cap(const permit_terms& terms, const account& known, time_point now) const;
    /// The permits that accrue in a second.
    double rate(const permit_terms& terms, const account& known, time_point now) const;
    /// Time until the permits of the window have fallen to `most`.
    static duration time_until(double most, const account& known, time_point now);
    static void advance(account& known, time_point now);
    void spend(account& known);

    instance_count instances_;
    /// The part of the instances that may be running which this one sees, and since when it sees a
    /// larger one.
    double part_ = 1.0;
    std::optional<time_point> part_grown_at_;
    std::unordered_map<backend_id, account> accounts_;
    std::uint64_t issued_ = 0;
};

} // namespace bamboostream
