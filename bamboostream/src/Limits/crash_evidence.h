#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/request_digest.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboostream {

/// Identifies one incarnation of a server in evidence: a server may restart under the same name.
std::uint64_t incarnation_key(std::string_view server, std::int64_t start_stamp);

/// Number of bits in `crash_evidence::attempts`.
inline constexpr unsigned attempt_bits = 13;
/// The bit that stands for a caller's attempt in `crash_evidence::attempts`.
std::uint16_t attempt_bit(std::string_view attempt_id);

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
    /// An identical request had been answered before, too long ago for the evidence to be cleared.
    bool answered_before = false;
    /// The request was sent as a trial: it was held, and this was its only attempt in progress.
    bool on_trial = false;
    /// Another request was open on the server as well. Kept with this evidence, because evidence
    /// against requests of a single server is not exchanged again and expires soon.
    bool shared = false;
    /// The callers' attempts at the request that were open on the server, one bit for each. Some
    /// may share a bit; zero if they are not known.
    std::uint16_t attempts = 0;
    /// When this instance learned of it, if that was later. Not sent to other instances.
    time_point found_at{};
    /// The digests of the parts of its prompt that other requests may have too.
    std::vector<request_digest> parts{};
    /// From the first event of the attempt's response to the latest one.
    milliseconds streamed_for{0};
};

/// When requests with a part of a prompt were last answered, by part.
using part_answer_map = std::map<request_digest, time_point>;

/// Evidence by request and server.
using crash_evidence_map = std::map<std::pair<request_digest, std::uint64_t>, crash_evidence>;

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
    /// Time within which evidence against all requests that were open on a crashed server arrives.
    /// Before that, a request isn't taken for the only one that was open there.
    milliseconds settling_time{100};
    /// How long a trial of a held request waits for the requests that may have crashed the servers
    /// instead: they are usually sent again, and answered or held, within this time. Doubled after
    /// each trial that ended with a crash.
    std::chrono::seconds trial_delay{10};
    /// Number of attempts open on crashed servers within `common_cause_window` from which on many
    /// callers send a request.
    std::size_t min_popular_attempts = 3;
    /// How long requests wait for a decision about others that were open on the same servers, and
    /// in particular for the trial of one that many callers send. Servers that have crashed are
    /// replaced within this time.
    milliseconds deferral{1'000};
    /// Number of trials after which such a request is confirmed although other requests were open
    /// on the servers that crashed.
    std::size_t max_trials = 10;
    /// Number of crashes from which on only requests under which several servers crashed are rivals
    /// of such a request.
    std::size_t max_disputed = 9;
    /// Number of servers that must have crashed under a part that was answered before, since its
    /// last answer. More than for a request: many requests have the part, and answers to them are
    /// rarer while servers crash.
    std::size_t servers_of_answered_part = 6;
    /// A part is held after this many times as many servers if its attempts had streamed for
    /// different times when the servers crashed: a part that crashes servers does so when they have
    /// got to the same point.
    std::size_t irregular_factor = 2;
    /// A part must have been open on this fraction of the servers that crashed meanwhile, or on
    /// `certain_part_factor` times as many servers as it takes to hold it.
    double min_part_fraction = 0.5;
    std::size_t certain_part_factor = 2;
    /// Number of servers after which a part without an alternative is confirmed without a trial.
    std::size_t servers_of_certain_part = 5;
    /// How long the first trial of a held part waits if the part was answered before: until its
    /// servers have been replaced.
    milliseconds answered_part_trial_delay{2'000};
    /// Number of trials that end with a crash after which a part is confirmed.
    std::size_t max_part_trials = 2;
    /// Attempts that had streamed for times that differ by no more than this had got to the same
    /// point, and one that streams for longer than those that crashed, by more than this, is
    /// evidence that its parts don't crash servers.
    milliseconds streaming_tolerance{500};
    /// Limits on the pieces of evidence, for each caller and in total. A caller above its limit
    /// evicts only its own evidence.
    std::size_t max_evidence_per_caller = 256;
    std::size_t max_evidence = 8'192;
};

} // namespace bamboostream
