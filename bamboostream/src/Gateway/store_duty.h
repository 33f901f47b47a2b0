#pragma once

#include "bamboostream/src/Core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bamboostream {

/// Whether this instance must read the platform's store itself.
///
/// Every call to the store costs, and all instances would read the same records: 62 instances made
/// 220 calls a second, which cost more than all other prices together. Two instances in different
/// failure domains read and tell the others of each change. An instance that hasn't heard from a
/// reader with a fresh view for a moment reads for itself, so a reader's death, freeze or partition
/// costs others no more than that moment; a configuration must be in force within two seconds.
///
/// Example: `if (duty.must_read(is_reader, now)) read();`
class store_duty {
public:
    /// Readers tell their state every 300 ms; two tellings may be lost.
    static constexpr milliseconds reader_silence{800};
    /// Instances that read for all.
    static constexpr std::size_t readers = 2;

    /// A reader's telling.
    void hear(bool fresh, std::int64_t configuration_version, time_point now);
    /// True while some reader tells what the store says.
    bool covered(time_point now) const;
    bool must_read(bool is_reader, time_point now) const { return is_reader || !covered(now); }
    /// How long to wait after `failures` tries in a row that the store didn't answer. Refused calls
    /// cost as much as others: with a pause of 0.7 s, 62 instances made 3,400 calls in a day with
    /// 15 s of outage, four times those of a calm day. Who reads for all goes on trying often and
    /// tells the others within 0.3 s of the store's return, so these may wait longer each time;
    /// an instance that hears of no reader is a reader itself.
    static milliseconds pause_after_failure(bool is_reader, int failures);
    /// The newest configuration that a reader has told of.
    std::int64_t told_version() const { return told_version_; }

private:
    std::optional<time_point> last_fresh_;
    std::int64_t told_version_ = 0;
};

/// How far this instance knows the entries of backend servers, as a position in the store's topic.
///
/// The position means the same to all instances, so one that has read the store itself goes on with
/// what any reader tells, without asking for everything first. When each instance asked its readers
/// for all entries after a start, 100 instances with 1,000 engines did not serve again within 30 s,
/// and the busiest instance held 102 MB.
class change_follower {
public:
    enum class verdict : std::uint8_t { apply, known, ask_for_all };
    /// What to do with the changes between the positions `previous` and `next`. After `apply` they
    /// count as known.
    verdict judge(std::int64_t previous, std::int64_t next);
    /// Whether a removal that a reader tells at position `next` holds here. A reader gives up a
    /// server whose entry lapsed in an outage some time after the last record, so such a removal
    /// moves no position. When it went unheard, 69 of 71 instances kept engines that had gone for
    /// the rest of the day: they look idle, and 335 of 2,231 generations were refused after six
    /// connections in vain.
    bool removal_holds(std::int64_t next) const { return next >= position_; }
    /// Everything up to `position` is known.
    void caught_up(std::int64_t position) { position_ = position; }
    std::int64_t position() const { return position_; }

private:
    std::int64_t position_ = 0;
};

} // namespace bamboostream
