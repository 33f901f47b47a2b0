#pragma once

#include "bamboostream/src/Limits/crash_attribution.h"

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

/// Detects requests that crash the backend servers that run them.
///
/// Retrying such a request, or admitting its caller's next attempt, crashes one server after
/// another and interrupts the generations that run beside it. Attempts have different ids, so
/// requests are matched by a digest of their content. A request is held, that is refused, when
/// several servers have crashed under it at different times, as far as `crash_attribution` doesn't
/// attribute the crashes to other requests. A response to an identical request clears the evidence.
/// As nothing answers a held request, one whose evidence is contested may be sent as a trial.
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
    /// The state of a request that is held or suspected; null for any other.
    const suspect_state* find_suspect(const request_digest& request) const;
    /// Remaining time for which a held request is refused.
    duration held_for(const request_digest& request, time_point now) const;
    /// A request whose verdict has changed, and its verdict before.
    struct change {
        request_digest request;
        quarantine_verdict before = quarantine_verdict::free;
    };
    /// Returns the changes since the last call.
    std::vector<change> take_changes();

    std::vector<crash_evidence> evidence() const;
    /// Evidence against requests under which several servers crashed, and of disputed servers: a
    /// small part of all evidence, and the only part that affects decisions.
    std::vector<crash_evidence> suspicious_evidence() const;
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
    /// When to decide again although there is no further evidence.
    std::optional<time_point> next_decision_;
    /// Held and suspected requests.
    std::map<request_digest, suspect_state> suspects_;
    /// Crashed servers on which a suspect was open that many callers send: any other request that
    /// was open there is its rival.
    std::set<std::uint64_t> disputed_servers_;
    /// Requests whose verdict has changed, with the verdict at the last call of `take_changes`.
    std::map<request_digest, quarantine_verdict> changed_;
};

} // namespace bamboostream
