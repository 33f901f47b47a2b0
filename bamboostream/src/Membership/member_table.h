#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// State of an instance according to the failure detector.
enum class liveness : std::uint8_t { live = 0, suspect = 1, gone = 2 };

/// What is known about one process of an instance.
struct member_facts {
    instance_id id;
    /// Where callers connect, "ip:port".
    std::string caller_address;
    /// Where operators connect, "ip:port".
    std::string operator_address;
    failure_domain_id failure_domain;
    /// Raised by the instance itself to refute a suspicion.
    std::uint32_t incarnation = 0;
    liveness state = liveness::live;
    /// A graceful shutdown has begun. Never revoked for the same start stamp.
    bool leaving = false;
    /// The process is known to have ended: its machine refused a connection. Retracted if the
    /// instance refutes that it has failed or answers, or if the observer suspects itself.
    bool ended = false;
    /// Load of the entry role in thousandths, 0 to 1000.
    std::uint16_t busy_permille = 0;
    std::int64_t configuration_version = 0;
    /// CPU available to this instance, in thousandths of a core; zero if not reported.
    std::uint32_t capacity = 0;
};

/// Parameters of the failure detector. With the defaults, a failed instance is out of the
/// directory within 2 s.
struct membership_timing {
    milliseconds probe_period{300};
    milliseconds probe_timeout{300};
    milliseconds suspect_to_gone{5'000};
    milliseconds forget_gone{60'000};
    std::size_t probes_per_period = 1;
    std::size_t max_updates_per_message = 8;
    /// Limit of the facts in a message to a member that lacks many. At about 130 bytes each, a seed
    /// that is probed by a hundred starting instances at once sends them in 0.35 s over 20 Mbit/s.
    std::size_t max_facts_per_message = 64;
    /// Probe period while this instance discovers many others in each period.
    milliseconds joining_period{100};
    std::size_t indirect_probes = 2;
};

/// A change of another member that the owner of the table may want to log or act on.
/// `left` is set when the member has begun to leave.
struct member_change {
    member_facts now;
    bool was_known = false;
    liveness before = liveness::live;
    bool left = false;
};

/// Content of a probe and of its answer.
struct member_gossip {
    std::vector<member_facts> facts;
    /// Hash of the set of members known to the sender, so that two members can tell whether they
    /// know the same set; zero if not reported.
    std::uint64_t summary = 0;
    /// Hash of each known member; only sent when the summaries differ.
    std::vector<std::uint32_t> keys;
};

/// Group membership by randomised probing, with gossip piggybacked on the probes (SWIM): in each
/// period a few members are probed; one that answers neither directly nor through helpers becomes
/// suspect, and gone if it does not refute the suspicion. The traffic per instance is independent
/// of the number of members. The class performs no I/O and reads no clock. Not thread-safe.
///
/// Gossip spreads individual changes. In addition, two members that find that they know different
/// sets exchange the members that either lacks: with gossip alone, of 295 instances that started
/// together each knew 109 after 4 s and 274 after 17 s, and until then they disagreed on which of
/// them are responsible for shared tasks.
///
/// Example:
/// ```
/// for (const std::string& peer : table.choose_probes(now)) probe(peer);
/// ```
/// See also `make_directory_answer`, which orders the members for a caller.
class member_table {
public:
    member_table(member_facts self, membership_timing timing, std::uint64_t seed);

    /// Sets the addresses from the platform's list. The list lags, so an address is only a probe
    /// target; a member is added once it has answered.
    void set_seeds(std::span<const std::string> addresses, time_point now);
    /// Members to probe now. Call once per `probe_pause`.
    std::vector<std::string> choose_probes(time_point now);
    /// Members to use for indirect probes of `target` when it did not answer.
    std::vector<std::string> choose_helpers(std::string_view target);
    /// Records that `address` answered a probe.
    void probe_answered(std::string_view address, time_point now);
    /// Records that `address` answered neither directly nor through helpers.
    void probe_failed(std::string_view address, time_point now);
    /// Records that the machine of `process` refused the connection of a probe that was sent while
    /// that process was known there, and that no helper reached it. Call after `probe_failed`. A
    /// partition discards packets or resets connections, so the process has ended, unless this
    /// instance suspects its own network.
    void probe_refused(const instance_id& process, time_point now);
    /// Merges facts from a peer. `direct` marks the sender's own facts about itself.
    void merge(const member_facts& received, bool direct, time_point now);
    /// Gossip to send in a probe: this instance's own facts, then the changes with the most
    /// transmissions left.
    member_gossip probe_gossip();
    /// Gossip to answer a probe with; call after `hear` of the probe's gossip.
    member_gossip answer_gossip(const member_gossip& received);
    /// Gossip with the members that the sender of `answer` lacks; empty if it lacks none.
    std::optional<member_gossip> gossip_missing_at(const member_gossip& answer);
    /// Merges gossip received from `sender`.
    void hear(const member_gossip& gossip, std::string_view sender, time_point now);
    /// Time until the next call of `choose_probes`.
    milliseconds probe_pause() const;
    /// Incremented by each change of the set of usable members.
    std::uint64_t revision() const { return revision_; }
    /// Marks suspects as gone, and removes gone members, when their times are over.
    void expire(time_point now);

    /// Begins a graceful shutdown.
    void begin_leaving();
    void update_self(std::uint16_t busy_permille, std::int64_t configuration_version);
    const member_facts& self() const { return self_; }
    /// All other members that are not gone.
    std::vector<member_facts> others() const;
    /// Members that may be given work: live and not leaving. Includes this instance unless it is
    /// leaving.
    std::vector<member_facts> usable() const;
    /// Addresses of all other members in the table, including those that are gone.
    std::vector<std::string> all_addresses() const;
    /// Processes of other instances that are known to have ended or to be leaving, or in whose
    /// place another one has started, counted since the start: they act for no others any more,
    /// while an instance that is merely suspect or gone may be partitioned and go on. One that
    /// turns out to be live is taken out again.
    std::size_t ended_processes() const { return ended_processes_; }
    std::optional<member_facts> find(std::string_view address) const;
    /// True while probes of several members fail with no answer in between. The failure is then
    /// likelier in this instance's own network, and no other member is marked as suspect.
    bool suspects_itself() const { return suspects_itself_; }
    /// Changes since the last call.
    std::vector<member_change> take_changes();

private:
    struct record {
        member_facts facts;
        time_point state_since{};
        /// How many more messages this fact is gossiped in.
        std::uint32_t retransmits_left = 0;
        /// Hash of this process of the member, sent in `member_gossip::keys`.
        std::uint32_t key = 0;
        /// Included in `ended_processes`.
        bool end_counted = false;
    };

    void schedule_retransmits(record& r, std::uint32_t factor) const;
    void record_change(const member_facts& now, bool was_known, liveness before, bool left);
    void refute(const member_facts& received);
    void update_end_count(record& r);
    void record_probe_result(std::string_view address, bool answered, time_point now);
    void refill_probe_order();
    std::uint64_t summary() const;
    std::vector<std::uint32_t> keys() const;
    /// A random selection of the known members whose keys are not in `keys`.
    std::vector<member_facts> facts_not_in(std::span<const std::uint32_t> keys);
    void append_updates(std::vector<member_facts>& out);

    member_facts self_;
    membership_timing timing_;
    std::mt19937_64 random_;
    std::map<std::string, record, std::less<>> members_;
    std::vector<std::string> seeds_;
    std::vector<std::string> probe_order_;
    std::set<std::string> consecutive_failures_;
    time_point failing_since_{};
    std::vector<member_change> changes_;
    time_point last_period_{};
    time_point grace_until_{};
    bool suspects_itself_ = false;
    std::uint64_t revision_ = 0;
    /// The last received gossip had a summary other than that of this instance.
    bool summary_differs_ = false;
    /// Members added since the last call of `choose_probes`, and in the period before it.
    std::size_t joined_ = 0;
    std::size_t joined_before_ = 0;
    std::size_t ended_processes_ = 0;
};

} // namespace bamboostream
