#pragma once

#include "bamboostream/src/Contracts/log_service.h"
#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// Kinds of ledger records.
enum class ledger_kind : std::uint8_t { claim, outcome, void_claim };

/// One entry of the ledger. Many travel in one log record.
struct ledger_entry {
    ledger_kind kind = ledger_kind::claim;
    /// Workspace and the caller's key together name a call.
    std::string workspace;
    std::string key;
    /// Unique name of the claim.
    std::string claim;
    instance_id claimant;
    /// Digest of operation and body, so that a key reused for another call is noticed.
    std::string call_digest;
    /// Result, for outcomes.
    int status = 0;
    std::string body;
};

/// Several entries as one log record, and back. A damaged record gives no entries.
std::string encode_ledger_record(std::span<const ledger_entry> entries);
std::vector<ledger_entry> decode_ledger_record(std::string_view data);

/// Where a call stands according to the records read so far.
enum class call_standing : std::uint8_t {
    /// No claim that stands: a new one may be made.
    unclaimed,
    /// The first claim that stands has no outcome yet.
    claimed,
    /// The outcome is known.
    decided,
};

/// What is known of a call.
struct call_view {
    call_standing standing = call_standing::unclaimed;
    std::string claim;
    instance_id claimant;
    std::string call_digest;
    int status = 0;
    std::string body;
};

/// What the claimant of a claim may do.
enum class claim_verdict : std::uint8_t {
    /// The claim has not been read back.
    unread,
    /// It is the first that stands: its claimant may dispatch, once.
    won,
    /// Another claim stands before it.
    lost,
    /// It was made void.
    is_void,
};

/// The ledger of non-idempotent calls as a function of the log's records.
///
/// The first claim of a call that isn't void wins, in the order of the log. A claim never changes
/// hands: only its claimant dispatches, after reading it back, and only its claimant makes it
/// void, after deciding never to dispatch it. So a claimant that was paused can do no harm when it
/// wakes, and no lease is needed. Pure; see `claim_service` for the asynchronous part.
class claim_table {
public:
    /// Takes the next record. Records at or before the last one taken are ignored.
    void apply(const log_record& record);
    /// The log no longer has records before `first_offset`; calls with keys older than the oldest
    /// readable record can't be judged any more.
    void note_first_offset(std::int64_t first_offset, wall_time oldest_readable);
    call_view view(std::string_view workspace, std::string_view key) const;
    claim_verdict judge(std::string_view workspace, std::string_view key,
                        std::string_view claim) const;
    /// Forgets calls last touched before `horizon`.
    void forget_before(wall_time horizon);
    /// Keys with an earlier time can't be judged: their records may be gone.
    wall_time horizon() const { return horizon_; }
    std::int64_t next_offset() const { return next_offset_; }
    std::size_t size() const { return calls_.size(); }

private:
    struct claim {
        std::string name;
        instance_id claimant;
        std::string call_digest;
        bool is_void = false;
        bool decided = false;
        int status = 0;
        std::string body;
    };
    struct call {
        std::vector<claim> claims;
        wall_time touched = 0;
    };
    struct age {
        wall_time at = 0;
        std::string name;
    };
    static std::string call_name(std::string_view workspace, std::string_view key);
    static const claim* first_standing(const call& c);
    void apply_entry(const ledger_entry& entry, wall_time time);

    std::unordered_map<std::string, call> calls_;
    std::deque<age> by_age_;
    std::int64_t next_offset_ = 0;
    wall_time horizon_ = 0;
};

} // namespace bamboostream
