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

/// Names one life of a server in evidence: a server may start again under the name that it had.
std::uint64_t incarnation_key(std::string_view server, std::int64_t start_stamp);

/// A request that was open on a backend server when the server's process ended.
struct crash_evidence {
    request_digest request;
    /// One life of one server.
    std::uint64_t server = 0;
    /// The hash of the workspace that sent the request.
    std::uint64_t caller = 0;
    /// When the server ended.
    time_point at{};
    /// The server had begun to answer the request.
    bool answering = false;
    /// An equal request has been answered since: the evidence counts no more.
    bool cleared = false;
};

/// When a request is refused because of what it does to backend servers.
struct quarantine_rules {
    /// Servers that ended while they ran the request.
    std::size_t servers = 3;
    /// Servers that end within this time of each other may have a common cause, such as a lost
    /// rack.
    milliseconds one_moment{100};
    /// How long evidence of a single server lasts.
    std::chrono::seconds suspicion{120};
    /// How long a request is held, and evidence of several servers lasts: the servers may have been
    /// repaired by then.
    std::chrono::minutes hold{30};
    /// Pieces of evidence. A caller above its bound evicts its own only.
    std::size_t most_of_a_caller = 256;
    std::size_t most = 8'192;
};

/// Decides which requests end the backend servers that run them.
///
/// Retrying such a request, or admitting the next attempt of its caller, ends one server after
/// another and cuts the generations beside it. Attempts have ids of their own, so they are matched
/// by the digest of their content. A request is held when several servers ended under it at
/// different times. Bystanders are not held: an end counts against one held request only, the one
/// that was there most often, until the other is on a further server that ends; and an answer to an
/// equal request clears it.
///
/// Guarantees: evidence is a set, in any order and with repeats; instances with the same evidence
/// hold the same requests; memory is bounded for each caller. Lives on one thread.
///
/// Example: `if (quarantine.any() && quarantine.holds(digest)) refuse();`
class request_quarantine {
public:
    explicit request_quarantine(quarantine_rules rules = {}) : rules_(rules) {}

    /// Takes evidence of this or another instance; false when all of it was known.
    bool add_evidence(std::span<const crash_evidence> evidence, time_point now);
    bool add_evidence(const crash_evidence& evidence, time_point now) {
        return add_evidence({&evidence, 1}, now);
    }
    /// A request of this digest got its whole answer. True when that cleared any evidence.
    bool clear(const request_digest& request, time_point now);
    /// Drops evidence that is too old.
    void expire(time_point now);

    /// Whether there is any evidence: while there is none, no request needs a digest.
    bool any() const { return !evidence_.empty(); }
    bool holds(const request_digest& request) const { return held_.contains(request); }
    /// How much longer a held request is refused.
    duration held_for(const request_digest& request, time_point now) const;
    /// Requests that are held or no longer held since the last call.
    std::vector<request_digest> take_changes();

    std::vector<crash_evidence> evidence() const;
    /// Evidence against requests that several servers ended under: little, and all that decides.
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
    /// How much speaks against a request; the greater is held first.
    struct charge {
        std::size_t servers = 0;
        std::size_t answering = 0;
        auto operator<=>(const charge&) const = default;
    };

    std::pair<evidence_map::const_iterator, evidence_map::const_iterator>
    range_of(const request_digest& request) const;
    /// What speaks against a request but for the servers that are `explained`; no servers when that
    /// is not enough to hold it.
    charge charge_of(const request_digest& request, const std::set<std::uint64_t>& explained) const;
    /// Requests that enough servers ended under, whatever else explains these ends.
    std::vector<request_digest> candidates() const;
    void judge();
    /// What a piece of evidence changes: nothing, the evidence, or possibly what is held.
    enum class effect : std::uint8_t { none, recorded, decides };
    effect record(const crash_evidence& evidence, time_point now);
    void make_room(std::uint64_t caller);
    /// Whether there is evidence of another server against the same request.
    bool is_suspicious(evidence_map::const_iterator which) const;
    void erase(evidence_map::const_iterator which);
    time_point lapses_at(evidence_map::const_iterator which) const;

    quarantine_rules rules_;
    evidence_map evidence_;
    std::unordered_map<std::uint64_t, std::size_t> by_caller_;
    std::set<request_digest> held_;
    std::set<request_digest> changed_;
};

} // namespace bamboostream
