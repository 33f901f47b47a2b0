#pragma once

#include "bamboostream/src/Limits/part_attribution.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboostream {

/// What the quarantine knows a request by.
struct quarantine_subject {
    request_digest digest;
    /// Hash of the workspace that sends it.
    std::uint64_t caller = 0;
    /// The digests of the parts of its prompt that other requests may have too.
    std::vector<request_digest> parts;

    /// A request without such parts.
    quarantine_subject(const request_digest& request) : digest(request) {}
    quarantine_subject(const request_digest& request, std::uint64_t from,
                       std::vector<request_digest> of_prompt)
        : digest(request), caller(from), parts(std::move(of_prompt)) {}
};

/// Tells when a request with this part was answered by a server that survived it.
struct part_answer {
    request_digest part;
    time_point at{};
};

/// Detects requests, and parts of prompts, that crash the backend servers that run them.
///
/// Retrying such a request, or admitting its caller's next attempt, crashes one server after
/// another and interrupts the generations that run beside it. Attempts have different ids, so
/// requests are matched by a digest of their content. A request is held, that is refused, when
/// several servers have crashed under it at different times, as far as `crash_attribution` doesn't
/// attribute the crashes to other requests. A response to an identical request clears the evidence.
/// As nothing answers a held request, one whose evidence is contested may be sent as a trial.
///
/// Requests that are never alike may have a part of their prompts in common that crashes servers.
/// `part_attribution` finds such parts, and requests with them are held as well. A held part is
/// listed like a request, under its own digest.
///
/// Guarantees: evidence is a set, so order and repetition have no effect; instances with the same
/// evidence hold the same requests; memory is bounded, for each caller and in total. Not
/// thread-safe; lives on one thread.
///
/// Example: `if (quarantine.any() && quarantine.holds(digest)) refuse();`
class request_quarantine {
public:
    explicit request_quarantine(quarantine_rules rules = {}) : rules_(rules) {}

    /// Adds evidence found by this or another instance; false if all of it was known.
    bool add_evidence(std::span<const crash_evidence> evidence, time_point now);
    bool add_evidence(const crash_evidence& evidence, time_point now) {
        return add_evidence({&evidence, 1}, now);
    }
    /// Records that a request with this digest got its complete response. True if that cleared any
    /// evidence.
    bool clear(const request_digest& request, time_point now);
    /// Adds what is known of answers to requests with parts of which there is evidence; false if
    /// all of it was known.
    bool add_part_answers(std::span<const part_answer> answers, time_point now);
    /// Which of the parts were open on a server that crashed since they were last answered.
    std::vector<request_digest> unanswered(std::span<const request_digest> parts) const;
    /// What is known of answers to requests with parts of which there is evidence.
    std::vector<part_answer> part_answers() const;
    /// Removes evidence that is too old.
    void expire(time_point now);
    /// Decides again once all evidence of the last crash should have arrived.
    void settle(time_point now);

    /// Whether there is any evidence. While there is none, requests need no digest.
    bool any() const { return !evidence_.empty(); }
    bool holds(const request_digest& request) const {
        return verdict(request) >= quarantine_verdict::contested;
    }
    quarantine_verdict verdict(const request_digest& request) const;
    /// The state of a request or part that is held or suspected; null for any other.
    const suspect_state* find_suspect(const request_digest& request) const;
    /// The state of a request that is held or suspected, by itself or because of its parts; null
    /// for any other.
    const suspect_state* find_suspect(const quarantine_subject& request) const;
    /// The held parts whose `suspect` this is; null if there are none.
    const held_parts* find_held_parts(const request_digest& suspect) const;
    std::span<const held_parts> all_held_parts() const { return held_parts_; }
    const quarantine_rules& rules() const { return rules_; }
    /// Remaining time for which a held request is refused.
    duration held_for(const request_digest& request, time_point now) const;
    /// A request whose verdict has changed, and its verdict before.
    struct change {
        request_digest request;
        quarantine_verdict before = quarantine_verdict::free;
    };
    bool has_changes() const { return !changed_.empty(); }
    /// Returns the changes since the last call.
    std::vector<change> take_changes();

    std::vector<crash_evidence> evidence() const;
    /// Evidence against requests under which several servers crashed, and of disputed servers: a
    /// small part of all evidence, and the only part that affects decisions.
    std::vector<crash_evidence> suspicious_evidence() const;
    /// The evidence against a request, or against held parts.
    std::vector<crash_evidence> evidence_of(const request_digest& request) const;
    /// Equal on instances that have the same suspicious evidence.
    std::uint64_t fingerprint() const;
    std::size_t held() const;
    std::size_t size() const { return evidence_.size(); }

private:
    using evidence_map = crash_evidence_map;

    std::pair<evidence_map::const_iterator, evidence_map::const_iterator>
    range_of(const request_digest& request) const;
    void update_suspects(time_point now);
    /// Effect of a piece of evidence: none, it was recorded, or it may change which requests are
    /// held.
    enum class effect : std::uint8_t { none, recorded, decides };
    effect record(const crash_evidence& evidence, time_point now);
    /// Sets the flags of `to` that are set in `from`. True if that changed any.
    static bool merge_flags(const crash_evidence& from, crash_evidence& to);
    /// Marks evidence of a server on which several requests were open. True if that changed older
    /// evidence.
    bool mark_shared(crash_evidence& newest);
    void evict_if_full(std::uint64_t caller);
    void note_parts(const crash_evidence& evidence);
    /// Whether the evidence counts against held parts.
    bool is_of_held_part(const crash_evidence& evidence) const;
    /// Whether there is evidence from another server against the same request, or the server is
    /// disputed.
    bool is_suspicious(evidence_map::const_iterator which) const;
    void erase(evidence_map::const_iterator which);
    time_point expires_at(evidence_map::const_iterator which) const;

    quarantine_rules rules_;
    evidence_map evidence_;
    /// Number of pieces of evidence, by caller and by server.
    std::unordered_map<std::uint64_t, std::size_t> by_caller_;
    std::unordered_map<std::uint64_t, std::size_t> by_server_;
    /// The evidence against a part: number of pieces, and when the latest server crashed.
    struct part_evidence {
        std::size_t pieces = 0;
        time_point latest = time_point::min();
    };
    std::map<request_digest, part_evidence> by_part_;
    part_answer_map part_answers_;
    std::vector<held_parts> held_parts_;
    /// When to decide again although there is no further evidence.
    std::optional<time_point> next_decision_;
    /// Held and suspected requests, and held parts.
    std::map<request_digest, suspect_state> suspects_;
    /// Crashed servers on which a suspect was open that many callers send: any other request that
    /// was open there is its rival.
    std::set<std::uint64_t> disputed_servers_;
    /// Requests whose verdict has changed, with the verdict at the last call of `take_changes`.
    std::map<request_digest, quarantine_verdict> changed_;
};

} // namespace bamboostream
