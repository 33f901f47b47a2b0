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

/// How long what the store says of a topic may take to become known, step by step. The steps are
/// kept together because their sum is what callers feel: when each was chosen by itself, a reader's
/// dead connection went unnoticed for 2.1 s and its word was trusted for 0.8 s more, and requests
/// reached servers up to 3.1 s after these had left (bound: 2 s).
struct read_timing {
    /// One read waits so long for a record when the others go by this instance's view. An empty
    /// answer proves that the store still answers, so the age of the view grows to this and one
    /// round trip while all is well.
    milliseconds wait;
    /// When the views of all before a substitute in the order are older than this, it reads. Room
    /// for a read's wait, the pause after it, and one telling that is late.
    milliseconds max_view_age;
    /// When the views of all in the order are older than this, everybody else reads.
    milliseconds fallback_view_age;
};

/// The times of a topic. A configuration comes into force in 1.4 s at worst, a leaving server is
/// known in 1.2 s: callers feel that one, and it costs 3 calls a second, while reading the
/// configuration costs 2.
constexpr read_timing read_timing_of(record_topic topic) {
    return topic == record_topic::operator_documents
               ? read_timing{milliseconds(400), milliseconds(900), milliseconds(1'100)}
               : read_timing{milliseconds(250), milliseconds(650), milliseconds(850)};
}

/// How long a read waits while somebody before this instance has told of a fresh view: a record
/// still arrives at once, only that the store has fallen silent shows later. With the short wait at
/// both readers a small deployment made 690 calls in 46 s.
inline constexpr milliseconds relaxed_wait{1'200};
/// How often an instance that need not read looks whether that still holds.
inline constexpr milliseconds recheck_period{50};
/// The store answers in some 4 ms, sixty times that on slow days.
inline constexpr milliseconds slow_store_reply{240};
/// From one instance to another, a connection's first frame and a busy processor included.
inline constexpr milliseconds slow_peer_delivery{50};

/// What an instance does for the others as to the store.
enum class store_read_role : std::uint8_t { reader, standby, other };

/// The longest time from the store's word to the last instance that the store answers or that
/// somebody in the order tells, whoever of the others is cut off, dead or silent. An instance that
/// neither reaches asks a peer each 0.3 s.
constexpr milliseconds max_propagation_time(record_topic topic) {
    return read_timing_of(topic).fallback_view_age + recheck_period + slow_store_reply +
           slow_peer_delivery;
}

/// Whether this instance must read the platform's store itself.
///
/// Every call to the store costs, and all instances would read the same records: 62 instances made
/// 220 calls a second, which cost more than all other prices together. The first two instances of a
/// common order, in different failure domains, read and tell the others. They tell how old their
/// view is, not that it is good: a long read that hears nothing looks the same whether nothing
/// happens or its connection is dead. When the views of all before an instance in the order have
/// grown old, because these are dead, frozen or cut off from the store, that instance reads and
/// tells; when nobody in the order does, everybody reads for itself.
///
/// Example: `if (duty.must_read(topic, order, self, now)) read(topic);`
class store_read_policy {
public:
    /// Instances that read for all.
    static constexpr std::size_t reader_count = 2;
    /// Instances that take their place. With half of the instances cut off from the store all eight
    /// are in one case of 256; then the others take it up 0.2 s later.
    static constexpr std::size_t standbys = 6;
    /// The length of the common order.
    static constexpr std::size_t order_length = reader_count + standbys;

    /// `teller` said that the store told it at `as_of` what the topic holds.
    void record_view(const std::string& teller, record_topic topic, time_point as_of);
    /// `order` names those that read for all, first choice first.
    bool must_read(record_topic topic, std::span<const std::string> order, std::string_view self,
                   time_point now) const;
    /// How long a read of this instance may wait for a record.
    milliseconds read_wait(record_topic topic, std::span<const std::string> order,
                           std::string_view self, time_point now) const;
    static store_read_role role_of(std::span<const std::string> order, std::string_view self);
    /// How long to wait after `failures` tries in a row that the store didn't answer. Refused calls
    /// cost as much as others: with a pause of 0.7 s, 62 instances made 3,400 calls in a day with
    /// 15 s of outage, four times those of a calm day. Who reads for all goes on trying often and
    /// tells the others within 0.3 s of the store's return, so these may wait longer each time. A
    /// substitute may be the only one that the store serves again, and tries twice a second.
    static milliseconds failure_backoff(store_read_role role, int failures);

private:
    /// Whether somebody before `self` in the order, or anybody in it when `self` isn't, told of a
    /// view that is at most `limit` old. Whoever stands behind rests because of this instance, so
    /// its word doesn't count.
    bool is_covered(record_topic topic, std::span<const std::string> order, std::string_view self,
                    milliseconds limit, time_point now) const;

    /// When the store last told each teller, by topic.
    std::map<std::pair<std::string, record_topic>, time_point> told_;
};

} // namespace bamboostream
