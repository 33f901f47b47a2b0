#pragma once

#include "bamboostream/src/Contracts/log_service.h"
#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bamboostream {

/// State of a lease according to the log.
struct lease {
    instance_id holder;
    /// Offset of the record that acquired the lease; serves as the fencing number of its orders.
    std::int64_t fencing = -1;
    /// Log time of the latest record that acquired or renewed the lease.
    wall_time renewed = 0;
    bool released = false;
};

/// Leases by name, computed from the records of a log stream. A record acquires a lease if the
/// previous lease had expired, by the log's timestamps, or was released. Clocks of instances are
/// not used, so all readers agree.
///
/// A holder may act only well within the lease by its own monotonic clock, measured from before it
/// sent the record; its successor waits until the lease has expired. An engine that checks fencing
/// numbers rejects a holder that was paused past its lease. For an engine that ignores them, orders
/// state the desired state, so that the next holder corrects the effect of a late order.
class lease_table {
public:
    explicit lease_table(milliseconds duration) : duration_(duration) {}

    /// Applies the next record. Records with an offset below `next_offset()` are ignored.
    void apply(const log_record& record);
    /// The lease of that name, even if released or expired; nothing if it was never acquired.
    std::optional<lease> find(std::string_view name) const;
    /// Whether `who` is the latest holder and has not released the lease, by the records applied so
    /// far. Does not check whether the lease has expired since.
    bool held_by(std::string_view name, const instance_id& who) const;
    std::int64_t next_offset() const { return next_offset_; }
    milliseconds duration() const { return duration_; }

    static std::string acquire_record(std::string_view name, const instance_id& who);
    static std::string release_record(std::string_view name, const instance_id& who);

private:
    milliseconds duration_;
    std::map<std::string, lease, std::less<>> leases_;
    std::int64_t next_offset_ = 0;
};

} // namespace bamboostream
