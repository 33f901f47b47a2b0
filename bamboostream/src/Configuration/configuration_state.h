#pragma once

#include "bamboostream/src/Configuration/document.h"
#include "bamboostream/src/Contracts/log_service.h"

#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// One entry of the document that a submission sets, or removes when `value` is null.
struct configuration_change {
    /// "section/name", for example "workspaces/acme".
    std::string entry;
    boost::json::value value;
};

/// A submission by an operator.
struct configuration_submission {
    /// Chosen by the submitter; a repeated submission with the same id is applied once.
    std::string id;
    /// The version that the submitter's changes are based on.
    std::int64_t base = 0;
    std::string author;
    std::vector<configuration_change> changes;
};

/// Outcome of a submission. `repeated`: one with the same id has already been accepted.
/// `undecided`: not known yet; the submission may still be accepted.
enum class submission_outcome : std::uint8_t { accepted, conflict, invalid, repeated, undecided };

/// The result of one submission record of the log.
struct submission_verdict {
    submission_outcome outcome = submission_outcome::undecided;
    std::string id;
    /// The version in force after the record.
    std::int64_t version = 0;
    /// The conflicting entries, or the validation errors.
    std::vector<std::string> reasons;
};

/// The configuration as a replicated state machine over the log: its state is a deterministic
/// function of the records, so all instances accept the same submissions.
///
/// A submission is accepted if none of the entries that it changes has changed after its base and
/// the resulting document is valid. Its version is its offset plus one. Operators of different
/// workspaces therefore do not conflict.
///
/// Snapshot records repeat the state before log retention removes the records that it was built
/// from. A reader that lacks older records adopts a snapshot only if it has read all records
/// between the snapshot's "as_of" offset and the snapshot itself, so that an older state is never
/// restored.
///
/// Not thread-safe.
class configuration_state {
public:
    /// Applies the next record; records below `next_offset` are ignored. Returns a verdict for
    /// submission records only.
    std::optional<submission_verdict> apply(const log_record& record);
    /// Tells that the log begins at `first_offset`. If records before it have been missed, no
    /// submission is accepted until a snapshot or a peer's state fills the gap.
    void note_first_offset(std::int64_t first_offset);
    /// Adopts a peer's serialized state if it is newer or fills a gap; returns whether it did.
    bool adopt(std::string_view peer_state);

    std::int64_t version() const { return version_; }
    /// The offset after the last applied record.
    std::int64_t next_offset() const { return next_offset_; }
    /// True if no record that the state depends on is missing.
    bool is_complete() const { return is_complete_; }
    /// The document in force as JSON; its sections are empty before the first submission.
    boost::json::value document_json() const;
    std::shared_ptr<const configuration_document> document() const { return document_; }
    /// The complete state as JSON text, for peers and snapshots.
    std::string serialize() const;
    /// One accepted version with its author.
    struct history_entry {
        std::int64_t version = 0;
        std::string author;
        std::vector<std::string> entries;
        wall_time at = 0;
    };
    /// The last accepted versions, newest last; at most 200.
    const std::deque<history_entry>& history() const { return history_; }

    static std::string submission_record(const configuration_submission& submission);
    std::string snapshot_record() const;

private:
    struct entry {
        std::int64_t version = 0;
        boost::json::value value;
    };
    submission_verdict decide(const boost::json::value& record, std::int64_t offset,
                              wall_time time);
    bool apply_state(const boost::json::value& state);
    void apply_snapshot(const boost::json::value& record);
    boost::json::value assemble(const std::map<std::string, entry>& entries) const;

    std::map<std::string, entry> entries_;
    /// Version in which an entry was removed, to detect submissions based on an older one.
    std::map<std::string, std::int64_t> removed_;
    std::deque<std::string> accepted_ids_;
    std::int64_t version_ = 0;
    std::int64_t next_offset_ = 0;
    bool is_complete_ = true;
    /// All records from this offset on have been read.
    std::int64_t readable_from_ = 0;
    /// Submissions that could not be decided because earlier records are missing.
    std::deque<log_record> skipped_;
    std::shared_ptr<const configuration_document> document_ =
        std::make_shared<configuration_document>();
    std::deque<history_entry> history_;
};

/// The changes that turn `from` into `to`, entry by entry. If `to` has no section for cordons, they
/// are left unchanged.
std::vector<configuration_change> difference(const boost::json::value& from,
                                             const boost::json::value& to);

/// Parses a submission from JSON. Returns nothing and appends to `errors` if it is malformed.
std::optional<configuration_submission> parse_submission(const boost::json::value& value,
                                                         std::vector<validation_error>& errors);

} // namespace bamboostream
