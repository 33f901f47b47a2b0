#pragma once

#include "bamboostream/src/Limits/crash_evidence.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// Whether a request is held, and how certain its evidence is.
enum class quarantine_verdict : std::uint8_t {
    /// Not held.
    free,
    /// Not held, but sent only after the trial of a request that many callers send, since both were
    /// open on crashed servers: otherwise it could crash the server of the trial as well.
    deferred,
    /// Not held, since other requests explain the crashes of the servers on which it was open. It
    /// has never been answered, so until then its attempts are sent one at a time.
    suspected,
    /// Held, but other requests may have crashed the same servers: a trial can release it.
    contested,
    /// Held until it expires: no other request explains the crashes.
    confirmed,
};

/// The name of a verdict in log lines.
std::string_view to_string(quarantine_verdict verdict);

/// A request, or a part of prompts, that is held or suspected.
struct suspect_state {
    /// The digest of the request, or of the part by which requests are held.
    request_digest suspect;
    quarantine_verdict verdict = quarantine_verdict::confirmed;
    /// When an attempt at a suspected or contested request may be sent as its trial.
    time_point trial_due = time_point::max();
    /// Until then the rivals of a request that was not tried yet may be answered or held, so that
    /// its own verdict changes.
    time_point undecided_until = time_point::min();
    /// Many callers send it.
    bool popular = false;
    /// When the verdict may change without further evidence; in the past if it can't.
    time_point next_decision{};
    /// Requests that may have crashed some of the same servers, at most `max_rivals` of them.
    std::vector<request_digest> rivals;

    static constexpr std::size_t max_rivals = 4;
};

/// Decides which of the requests that were open on crashed servers crashed them.
///
/// A crash has one cause, but many requests are open on a busy server. Requests without a plausible
/// alternative are confirmed first, those with most crashes before the others, and their crashes no
/// longer count against any other request. The alternatives to a request are its rivals: requests
/// that were open on one of the same servers and on at least one more crashed server, and that have
/// never been answered.
///
/// A request is confirmed if it was the only suspect of a crash, if enough crashes have no rival,
/// or if a trial of it ended with a crash without a rival that was open on as many crashed servers
/// as it takes to hold a request. The number of crashes alone doesn't confirm it: of several
/// harmful requests at the same time, none is present at as many crashes as an innocent request
/// that all callers send. A request that was answered before is confirmed by a trial only, and
/// crashes that have a rival don't count against it.
///
/// A request with several attempts on servers that crashed at the same time is sent by many
/// callers. It is open on most servers that crash, whatever the cause, so the number of crashes
/// says little about it, and holding it concerns all of its callers. Every other request that has
/// never been answered and was open on one of the same servers is its rival, and only trials
/// confirm it. Its trial begins at once, and the rivals wait for it: it may have been the only
/// innocent request on these servers.
///
/// Contested requests are held, each until its trial. The one with the fewest trials, and of these
/// the one with most crashes, is tried first: if it is answered, the crashes that it shared with
/// others are attributed to those without a further crash. A trial of any other waits for
/// `quarantine_rules::trial_delay`, or for `deferral` if many callers send it.
class crash_attribution {
public:
    /// Crashes of the servers in `explained` don't count. `evidence` and `rules` must outlive the
    /// object.
    crash_attribution(const crash_evidence_map& evidence, const quarantine_rules& rules,
                      time_point now, const std::set<std::uint64_t>& explained = {});

    /// Returns the requests that are held or suspected. Once `quarantine_rules::settling_time` has
    /// passed since the last crash, the result depends only on the set of evidence.
    std::map<request_digest, suspect_state> decide();

private:
    /// Whether a request is known to crash servers. `unsettled`: evidence against other requests
    /// may still change that.
    enum class certainty : std::uint8_t { none, unsettled, settled };
    /// A request and the crashes that count against it.
    struct suspect {
        request_digest request;
        std::vector<const crash_evidence*> crashes;
        time_point first = time_point::max();
        time_point last = time_point::min();
        time_point settles_at = time_point::min();
        std::size_t trials = 0;
        /// Number of attempts that were open at the same time on crashed servers.
        std::size_t attempts = 0;
        bool answered_before = false;
        /// Many callers send it.
        bool popular = false;
        certainty known = certainty::none;
        quarantine_verdict verdict = quarantine_verdict::free;
        /// A deferred or suspected request is not sent before this.
        time_point deferred_until = time_point::min();
    };
    /// Weight of the evidence against a request; the request with the greatest is held first.
    struct evidence_weight {
        std::size_t servers = 0;
        std::size_t answering = 0;
        auto operator<=>(const evidence_weight&) const = default;
    };

    time_point settles_at(const crash_evidence& crash) const;
    /// The greatest number of attempts, trials apart, that crashes at about the same time ended.
    std::size_t most_attempts_of(const suspect& it) const;
    bool is_candidate(const suspect& it) const;
    /// Whether `other` may have caused the crash of a server on which both requests were open.
    static bool is_rival(const suspect& other, const suspect& it);
    /// The number of crashes that makes another request a rival as far as no trial is concerned.
    std::size_t min_rival_crashes(const suspect& it) const;
    /// Whether a rival with at least `min_crashes` crashes may have caused this one instead.
    bool has_rival(const suspect& it, const crash_evidence& crash,
                   std::size_t min_crashes = 1) const;
    /// Whether a trial of the request has shown that it crashes servers.
    bool has_failed_trial(const suspect& it) const;
    /// Whether a candidate is to be confirmed, as described above.
    certainty certainty_of(const suspect& it) const;
    /// Weight without the crashes that are attributed to other requests; zero if the rest doesn't
    /// suffice to hold the request.
    evidence_weight weight_of(const suspect& it) const;
    void confirm_clear_causes();
    /// Whether a crash doesn't count against a request that isn't confirmed: it is attributed to
    /// another request, or another one is more likely to have caused it.
    bool is_explained(const suspect& it, const crash_evidence& crash) const;
    /// Finds the verdicts on candidates that aren't confirmed.
    void classify_rest();
    /// Makes the rivals of requests that many callers send wait for their trials.
    void defer_rivals();
    /// Whether the trial of `a` comes before that of `b`. Of two that many callers send, the one
    /// with more attempts comes first, twice in a row.
    static bool precedes(const suspect& a, const suspect& b);
    time_point trial_due(const suspect& it) const;
    suspect_state state_of(const suspect& it) const;
    std::vector<request_digest> rivals_of(const suspect& it) const;

    const quarantine_rules& rules_;
    time_point now_;
    std::vector<suspect> suspects_;
    /// The suspects of each crash, by server, as indices into `suspects_`.
    std::unordered_map<std::uint64_t, std::vector<std::size_t>> by_server_;
    /// Servers that had begun to respond to a candidate that was never answered.
    std::set<std::uint64_t> responding_;
    /// Servers whose crash is attributed to a confirmed request.
    std::set<std::uint64_t> attributed_;
};

} // namespace bamboostream
