#pragma once

#include "bamboostream/src/Limits/crash_attribution.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bamboostream {

/// Parts of prompts under which servers crash: requests that have all of them are held.
struct held_parts {
    /// In ascending order. More than one if they were open together on every server that crashed:
    /// then requests with only some of them are sent, and show which part crashes servers.
    std::vector<request_digest> parts;
    /// The only caller under whose requests servers have crashed; nothing if there are several, so
    /// that requests of all callers are held.
    std::optional<std::uint64_t> caller;
    /// The servers whose crashes are attributed to the parts.
    std::set<std::uint64_t> servers;
    /// For how long the attempts under which each of the servers crashed had streamed at most. A
    /// longer stream shows that the parts don't crash servers.
    milliseconds streamed_for{0};
    /// Its `suspect` is one of the parts.
    suspect_state state;
    /// The state of requests that have a rival of the parts as well, and so are no trials of them.
    suspect_state state_beside_rival;

    /// Whether a request of this caller with these parts, in any order, is held.
    bool applies_to(std::uint64_t from, const std::vector<request_digest>& of_request) const;
    /// The state of such a request.
    const suspect_state& state_of(const std::vector<request_digest>& of_request) const;
};

/// Decides which parts of prompts crash the servers that run them.
///
/// Requests that have a harmful part in common need not be alike, so each of them may be open on
/// one crashed server only. A part is held when enough servers have crashed under requests with it
/// since a request with it was last answered, at different times, and no request alone explains as
/// many of these crashes. More servers must have crashed if their attempts had streamed for
/// different times, as those of a request do that was only there when a server crashed. Answers
/// clear the parts that requests beside a harmful one share with it, and a part that crashes
/// servers is never answered.
///
/// Parts and whole requests compete: the one that explains most crashes comes first, a request
/// before a part that explains as many, and its crashes no longer count against any other. A part
/// that was open at only a few of the crashes that nothing explains is not held.
///
/// The result depends only on the set of evidence once `quarantine_rules::settling_time` has passed
/// since the last crash was found; younger crashes don't count yet.
class part_attribution {
public:
    /// The arguments must outlive the object.
    part_attribution(const crash_evidence_map& evidence, const part_answer_map& answers,
                     const quarantine_rules& rules, time_point now);

    /// Returns the held parts.
    std::vector<held_parts> decide();
    /// When crashes that don't count yet will; nothing if there are none.
    std::optional<time_point> next_decision() const { return next_decision_; }

private:
    /// A crashed server and the attempts that were open on it.
    struct crash {
        std::uint64_t server = 0;
        time_point at = time_point::max();
        time_point found_at = time_point::max();
        std::vector<const crash_evidence*> attempts;
    };
    using crash_list = std::vector<const crash*>;

    /// Whether a request with the part has been answered since the crash.
    bool is_cleared(const request_digest& part, const crash& of) const;
    bool was_answered(const request_digest& part) const { return answers_.contains(part); }
    /// For how long the youngest attempt with the part had streamed when the server crashed.
    static milliseconds streamed_for(const request_digest& part, const crash& of);
    /// Whether the servers crashed when the attempts had got to the same point.
    bool is_regular(const request_digest& part) const;
    std::size_t required_servers(const request_digest& part) const;
    void find_crashes_of_suspects();
    /// Whether the crashes, in order of time, are enough to hold a part or a request.
    bool suffices(const crash_list& crashes, std::size_t required) const;
    /// Whether the crashes are a large part of all that happened meanwhile.
    bool is_frequent(const crash_list& crashes, std::size_t required) const;
    /// The suspect of `suspects` that explains most crashes, if these suffice.
    const request_digest* find_worst(const std::map<request_digest, crash_list>& suspects,
                                     bool parts) const;
    held_parts describe(const request_digest& part) const;
    /// Whether the attempts with the part, on each of its servers, had `other` as well.
    bool always_together(const request_digest& part, const request_digest& other) const;
    void set_verdict(held_parts& out) const;
    std::size_t trials_of(const held_parts& of) const;
    /// Other parts that were open on all of the servers but one, or on all.
    std::vector<request_digest> rivals_of(const held_parts& of) const;
    void attribute(const crash_list& crashes);

    const part_answer_map& answers_;
    const quarantine_rules& rules_;
    time_point now_;
    std::vector<crash> crashes_;
    /// Crashes that aren't attributed yet, by part and by request.
    std::map<request_digest, crash_list> by_part_;
    std::map<request_digest, crash_list> by_request_;
    std::set<const crash*> attributed_;
    std::optional<time_point> next_decision_;
};

} // namespace bamboostream
