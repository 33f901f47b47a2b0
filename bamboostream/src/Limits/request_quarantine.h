#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/request_digest.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboostream {

/// Identifies one incarnation of a server in evidence: a server may restart under the same name.
std::uint64_t incarnation_key(std::string_view server, std::int64_t start_stamp);

/// Evidence that a request crashes servers: it was open on a backend server when the server's
/// process ended.
struct crash_evidence {
    request_digest request;
    /// The `incarnation_key` of the server.
    std::uint64_t server = 0;
    /// Hash of the workspace that sent the request.
    std::uint64_t caller = 0;
    /// When the server's process ended.
    time_point at{};
    /// The server had begun to respond to the request.
    bool answering = false;
    /// An identical request has been answered since: the evidence no longer counts.
    bool cleared = false;
};

/// Conditions under which a request is held, that is refused because it crashes backend servers.
struct quarantine_rules {
    /// Number of servers that must have crashed while they ran the request.
    std::size_t servers = 3;
    /// Crashes within this time of each other may have a common cause, such as the loss of a rack:
    /// the crashes must span more than it.
    milliseconds common_cause_window{100};
    /// How long evidence is kept while it concerns a single server.
    std::chrono::seconds single_server_lifetime{120};
    /// How long a request is held and evidence of several servers is kept. The servers may have
    /// been repaired by then.
    std::chrono::minutes hold_time{30};
    /// Limits on the pieces of evidence, for each caller and in total. A caller above its limit
    /// evicts only its own evidence.
    std::size_t max_evidence_per_caller = 256;
    std::size_t max_evidence = 8'192;
};

/// Detects requests that crash the backend servers that run them.
///
/// Retrying such a request, or admitting its caller's next attempt, crashes one server after
/// another and interrupts the generations that run beside it. Attempts have different ids, so
/// requests are matched by a digest of their content. A request is held, that is refused, when
/// several servers have crashed under it at different times. Bystanders are not held: a crash
/// counts against one held request only, the one that was present at most of the crashes, unless
/// the other request was present at further crashes without it. A response to an identical request
/// clears the evidence.
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

    /// Whether there is any evidence. While there is none, requests need no digest.
    bool any() const { return !evidence_.empty(); }
    bool holds(const request_digest& request) const { return held_.contains(request); }
    /// Remaining time for which a held request is refused.
    duration held_for(const request_digest& request, time_point now) const;
    /// Returns the requests that became held or are no longer held since the last call.
    std::vector<request_digest> take_changes();

    std::vector<crash_evidence> evidence() const;
    /// Evidence against requests under which several servers crashed: a small part of all evidence,
    /// and the only part that affects decisions.
    std::vector<crash_evidence> suspicious_evidence() const;
    std::vector<crash_evidence> evidence_of(const request_digest& request) const;
    /// Equal on instances that have the same suspicious evidence.
    std::uint64_t fingerprint() const;
    std::size_t held() const { return held_.size(); }
    std::size_t size() const { return evidence_.size(); }

private:
    /// A request and a server.
    using evidence_key = std::pair<request_digest, std::uint64_t>;
    using evidence_map = std::map<evidence_key, crash_evidence>;
    /// Weight of the evidence against a request; the request with the greatest is held first.
    struct evidence_weight {
        std::size_t servers = 0;
        std::size_t answering = 0;
        auto operator<=>(const evidence_weight&) const = default;
    };

    std::pair<evidence_map::const_iterator, evidence_map::const_iterator>
    range_of(const request_digest& request) const;
    /// Weight of the evidence against a request, without the crashes of servers in `attributed`.
    /// Zero if the evidence doesn't suffice to hold it.
    evidence_weight weight_of(const request_digest& request,
                              const std::set<std::uint64_t>& attributed) const;
    /// Requests under which enough servers crashed, whether or not another request was present.
    std::vector<request_digest> candidates() const;
    void update_held();
    /// Effect of a piece of evidence: none, it was recorded, or it may change which requests are
    /// held.
    enum class effect : std::uint8_t { none, recorded, decides };
    effect record(const crash_evidence& evidence, time_point now);
    void evict_if_full(std::uint64_t caller);
    /// Whether there is evidence from another server against the same request.
    bool is_suspicious(evidence_map::const_iterator which) const;
    void erase(evidence_map::const_iterator which);
    time_point expires_at(evidence_map::const_iterator which) const;

    quarantine_rules rules_;
    evidence_map evidence_;
    std::unordered_map<std::uint64_t, std::size_t> by_caller_;
    std::set<request_digest> held_;
    std::set<request_digest> changed_;
};

} // namespace bamboostream
