#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Gateway/deployment_contract.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace bamboostream {

/// The maximum times of the steps until a change in a topic of the store is known. They are defined
/// together because callers notice their sum: when each was chosen on its own, a reader's dead
/// connection went unnoticed for 2.1 s and its announcements were trusted for 0.8 s more, so
/// requests reached servers up to 3.1 s after these had left (bound: 2 s).
struct read_timing {
    /// How long one read waits for a record when others rely on this instance's view. An empty
    /// answer proves that the store still answers, so in normal operation the age of the view stays
    /// below this time plus one round trip.
    milliseconds wait;
    /// A standby reads when the views of all instances before it in the order are older than this.
    /// Leaves room for a read's wait, the pause after it and one late announcement.
    milliseconds max_view_age;
    /// All other instances read when the views of all instances in the order are older than this.
    milliseconds fallback_view_age;
};

/// The times of a topic. A configuration comes into force within 1.4 s at worst, a leaving server
/// is known within 1.2 s: callers notice the latter. Reading the entries costs 3 calls per second,
/// reading the configuration 2.
constexpr read_timing read_timing_of(record_topic topic) {
    return topic == record_topic::operator_documents
               ? read_timing{milliseconds(400), milliseconds(900), milliseconds(1'100)}
               : read_timing{milliseconds(250), milliseconds(650), milliseconds(850)};
}

/// How long a read waits while an instance before this one has announced a fresh view. A record
/// still arrives at once; only a store that has stopped answering is noticed later. With the short
/// wait at both readers a small deployment made 690 calls in 46 s.
inline constexpr milliseconds relaxed_wait{1'200};
/// Interval at which an instance that need not read checks whether that is still so.
inline constexpr milliseconds recheck_period{50};
/// The store answers in about 4 ms, on slow days in sixty times that.
inline constexpr milliseconds slow_store_reply{240};
/// Time of an announcement from one instance to another, including a new connection and a busy
/// processor.
inline constexpr milliseconds slow_peer_delivery{50};

/// The role of an instance in reading the store on behalf of all instances.
enum class store_read_role : std::uint8_t { reader, standby, other };

/// The longest time from a change in the store until it is known to every instance that either the
/// store answers or an instance in the order reaches, whichever other instances are cut off, dead
/// or frozen. An instance that neither reaches asks a peer every 0.3 s.
constexpr milliseconds max_propagation_time(record_topic topic) {
    return read_timing_of(topic).fallback_view_age + recheck_period + slow_store_reply +
           slow_peer_delivery;
}

/// Decides whether this instance must read the platform's store itself.
///
/// Every call to the store costs, and all instances would read the same records: 62 instances made
/// 220 calls per second, which cost more than everything else together. The first two instances of
/// a common order, in different failure domains, read and announce what they find. They announce
/// how old their view is, not that it is good: a long read without a result looks the same whether
/// nothing happens or its connection is dead. When the views of all instances before a standby in
/// the order have grown old, because these are dead, frozen or cut off from the store, the standby
/// reads and announces. When no instance in the order does, every instance reads for itself.
///
/// Example: `if (policy.must_read(topic, order, self, now)) read(topic);`
class store_read_policy {
public:
    /// Number of instances that read on behalf of all.
    static constexpr std::size_t reader_count = 2;
    /// Number of instances that replace them. With half of the instances cut off from the store,
    /// all eight are cut off in one case of 256; then the others start reading 0.2 s later.
    static constexpr std::size_t standbys = 6;
    /// The length of the common order.
    static constexpr std::size_t order_length = reader_count + standbys;

    /// Records that the view of `announcer` was up to date at `as_of`.
    void record_view(const std::string& announcer, record_topic topic, time_point as_of);
    /// `order` names the readers and standbys in order of preference.
    bool must_read(record_topic topic, std::span<const std::string> order, std::string_view self,
                   time_point now) const;
    /// How long a read of this instance may wait for a record.
    milliseconds read_wait(record_topic topic, std::span<const std::string> order,
                           std::string_view self, time_point now) const;
    static store_read_role role_of(std::span<const std::string> order, std::string_view self);
    /// Pause after `failures` unanswered attempts in a row. Refused calls cost as much as others:
    /// with a pause of 0.7 s, 62 instances made 3,400 calls in a day with an outage of 15 s, four
    /// times those of a normal day. The readers keep trying often and announce the store's return
    /// within 0.3 s, so other instances may back off exponentially. A standby may be the only one
    /// that the store answers again, and tries twice per second.
    static milliseconds failure_backoff(store_read_role role, int failures);

private:
    /// Whether an instance before `self` in the order, or any instance in it when `self` isn't, has
    /// announced a view that is at most `max_age` old. Announcements of instances after `self`
    /// don't count, because these don't read for as long as `self` does.
    bool is_covered(record_topic topic, std::span<const std::string> order, std::string_view self,
                    milliseconds max_age, time_point now) const;

    /// When the view of each announcer was last up to date, by topic.
    std::map<std::pair<std::string, record_topic>, time_point> last_views_;
};

} // namespace bamboostream
