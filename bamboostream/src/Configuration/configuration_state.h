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
    /// Chosen by the submitter; a repeated submission with the same id counts once.
    std::string id;
    /// The version the submitter worked from.
    std::int64_t base = 0;
    std::string author;
    std::vector<configuration_change> changes;
};

/// What became of a submission.
enum class submission_outcome : std::uint8_t { accepted, conflict, invalid, repeated, undecided };

/// The verdict on one submission record of the log.
struct submission_verdict {
    submission_outcome outcome = submission_outcome::undecided;
    std::string id;
    /// The version in force after it.
    std::int64_t version = 0;
    /// Entries that were changed after the submission's base, or mistakes.
    std::vector<std::string> reasons;
};

/// The configuration as decided by the log: a deterministic function of the records read, so that
/// every instance accepts the same submissions whatever it was doing meanwhile.
///
/// A submission is accepted when none of the entries it touches changed after its base and the
/// document stays valid; its version is its offset plus one. Operators of different workspaces
/// therefore don't collide. Snapshot records restate the state before retention takes the records
/// behind it; a reader without history adopts one only when it has read everything between the
/// snapshot's "as of" and the snapshot itself, so an older state can never come back.
class configuration_state {
public:
    /// Takes the next record; offsets must rise. The verdict is empty for other kinds of records.
    std::optional<submission_verdict> apply(const log_record& record);
    /// A page begins at `first_offset`: when records were missed, nothing is accepted until a
    /// snapshot or a peer fills the hole.
    void note_first_offset(std::int64_t first_offset);
    /// Takes over what a peer has when it is newer; false when it isn't.
    bool adopt(std::string_view peer_state);

    std::int64_t version() const { return version_; }
    /// The offset after the last record taken.
    std::int64_t next_offset() const { return next_offset_; }
    /// True once the state is known to be whole.
    bool is_complete() const { return whole_; }
    /// The document in force as JSON, or null before there is any.
    boost::json::value document_json() const;
    std::shared_ptr<const configuration_document> document() const { return document_; }
    /// The whole state as text, for peers and snapshots.
    std::string serialize() const;
    /// Accepted versions, newest last, with their authors; bounded.
    struct history_entry {
        std::int64_t version = 0;
        std::string author;
        std::vector<std::string> entries;
        wall_time at = 0;
    };
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
    /// When an entry was removed, so that a submission based on an older version is refused.
    std::map<std::string, std::int64_t> removed_;
    std::deque<std::string> accepted_ids_;
    std::int64_t version_ = 0;
    std::int64_t next_offset_ = 0;
    bool whole_ = true;
    /// Every record from here on has been read.
    std::int64_t readable_from_ = 0;
    /// Submissions read while a hole in the history keeps them from being judged.
    std::deque<log_record> skipped_;
    std::shared_ptr<const configuration_document> document_ =
        std::make_shared<configuration_document>();
    std::deque<history_entry> history_;
};

/// The changes that turn `from` into `to`, entry by entry.
std::vector<configuration_change> difference(const boost::json::value& from,
                                             const boost::json::value& to);

/// Reads a submission in its JSON form; nothing with mistakes when malformed.
std::optional<configuration_submission> parse_submission(const boost::json::value& value,
                                                         std::vector<json_mistake>& mistakes);

} // namespace bamboostream
