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

/// Kinds of ledger entries: a claim on a call, the outcome of a call, and the withdrawal of a
/// claim.
enum class ledger_kind : std::uint8_t { claim, outcome, void_claim };

/// One entry of the ledger. A log record contains one or more entries.
struct ledger_entry {
    ledger_kind kind = ledger_kind::claim;
    /// Workspace and the caller's idempotency key identify a call.
    std::string workspace;
    std::string key;
    /// Unique id of the claim.
    std::string claim;
    instance_id claimant;
    /// Digest of operation and body, to detect a key that is reused for another call.
    std::string call_digest;
    /// Result of the call; set in outcomes only.
    int status = 0;
    std::string body;
};

/// Encodes entries as one log record.
std::string encode_ledger_record(std::span<const ledger_entry> entries);
/// Decodes a log record. A malformed record yields no entries.
std::vector<ledger_entry> decode_ledger_record(std::string_view data);

/// State of a call according to the records read so far.
enum class call_state : std::uint8_t {
    /// There is no valid claim; a new one may be made.
    unclaimed,
    /// The first valid claim has no outcome yet.
    claimed,
    /// The outcome is known.
    decided,
};

/// A call's state and its first valid claim.
struct call_view {
    call_state state = call_state::unclaimed;
    std::string claim;
    instance_id claimant;
    std::string call_digest;
    int status = 0;
    std::string body;
};

/// Status of one claim, which determines whether its claimant may dispatch the call.
enum class claim_status : std::uint8_t {
    /// The claim has not been read back from the log.
    unread,
    /// The first valid claim: its claimant may dispatch the call, once.
    won,
    /// An earlier claim is valid.
    lost,
    /// The claim was voided.
    is_void,
};

/// State of all non-idempotent calls, computed from the records of the log. Guarantees that at most
/// one claimant may dispatch a call.
///
/// The first claim of a call, in log order, that is not void wins. A claim is never transferred:
/// only its claimant dispatches the call, after reading the claim back, and only its claimant voids
/// it, after deciding never to dispatch. A claimant that was paused is therefore harmless when it
/// continues, and no lease is needed. Performs no I/O; see `claim_service` for that. Not
/// thread-safe.
class claim_table {
public:
    /// Applies the next record. Records up to the last one applied are ignored.
    void apply(const log_record& record);
    /// Notes that the log has dropped the records before `first_offset`. If some of them were never
    /// read, calls with keys older than `oldest_readable` can no longer be decided.
    void note_first_offset(std::int64_t first_offset, wall_time oldest_readable);
    /// State of a call; `unclaimed` if it has no valid claim.
    call_view view(std::string_view workspace, std::string_view key) const;
    /// Status of the claim with the given id.
    claim_status check_claim(std::string_view workspace, std::string_view key,
                             std::string_view claim) const;
    /// Removes calls whose latest record is older than `horizon`.
    void prune_before(wall_time horizon);
    /// Calls with keys from before this time can't be decided: their records may be gone.
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
        wall_time last_updated = 0;
    };
    struct age {
        wall_time at = 0;
        std::string name;
    };
    static std::string call_name(std::string_view workspace, std::string_view key);
    static const claim* first_valid_claim(const call& c);
    void apply_entry(const ledger_entry& entry, wall_time time);

    std::unordered_map<std::string, call> calls_;
    std::deque<age> by_age_;
    std::int64_t next_offset_ = 0;
    wall_time horizon_ = 0;
};

} // namespace bamboostream
