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

/// How sure this instance is that another one is alive.
enum class liveness : std::uint8_t { live = 0, suspect = 1, gone = 2 };

/// What is known of one life of one instance.
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
    /// A graceful shutdown has begun. Never taken back for the same start stamp.
    bool leaving = false;
    /// Load of the entry role, 0 to 1000.
    std::uint16_t busy_permille = 0;
    std::int64_t configuration_version = 0;
    /// Thousandths of a core that the machine has for this instance; zero when it doesn't say.
    std::uint32_t capacity = 0;
};

/// Times of the failure detector. With the defaults a death is out of the directory within 2 s.
struct membership_timing {
    milliseconds probe_period{300};
    milliseconds probe_timeout{300};
    milliseconds suspect_to_gone{5'000};
    milliseconds forget_gone{60'000};
    std::size_t probes_a_period = 1;
    std::size_t rumours_a_message = 8;
    /// Facts in a message to a member that lacks many. Some 130 bytes each: a seed that is asked by
    /// a hundred starting instances at once sends them in 0.35 s over 20 Mbit/s.
    std::size_t facts_a_message = 64;
    /// While this instance learns of many others in each period, it probes so often.
    milliseconds joining_period{100};
    std::size_t indirect_probes = 2;
};

/// A change of another member that the owner of the table may want to log or act on.
struct member_change {
    member_facts now;
    bool was_known = false;
    liveness before = liveness::live;
    bool left = false;
};

/// What members tell each other in a probe and its answer.
struct member_gossip {
    std::vector<member_facts> facts;
    /// Names all members that the sender knows, so that two who know the same see it; zero when the
    /// sender doesn't say.
    std::uint64_t summary = 0;
    /// One key for each of them, when the summaries differ.
    std::vector<std::uint32_t> keys;
};

/// Membership by randomised probing with gossip on the back of each probe (the SWIM family):
/// each period a few members are asked; who answers neither directly nor through others becomes
/// suspect, and gone when it doesn't refute. Traffic an instance is constant in the number of
/// members. Pure: it sends nothing and reads no clock.
///
/// Rumours spread single changes. Two members that turn out to know different others also exchange
/// what either lacks: with rumours alone, of 295 instances that started together each knew 109
/// after 4 s and 274 after 17 s, and until then they disagreed on who does what for all.
///
/// Example:
/// ```
/// for (const std::string& peer : table.choose_probes(now)) probe(peer);
/// ```
/// See also `directory`, which turns the members into answers for callers.
class member_table {
public:
    member_table(member_facts self, membership_timing timing, std::uint64_t seed);

    /// Addresses from the platform's list. The list lags, so an address is only a place to probe;
    /// a member appears once it has answered.
    void set_seeds(std::span<const std::string> addresses, time_point now);
    /// Members to probe now. Call once a probe period.
    std::vector<std::string> choose_probes(time_point now);
    /// Members through which `target` should be probed when it did not answer.
    std::vector<std::string> choose_helpers(std::string_view target);
    /// `address` answered a probe.
    void probe_answered(std::string_view address, time_point now);
    /// `address` answered neither directly nor through helpers.
    void probe_failed(std::string_view address, time_point now);
    /// Takes over what a peer told. `direct` marks the sender's own facts about itself.
    void merge(const member_facts& heard, bool direct, time_point now);
    /// What to say in a probe: one's own facts first, then the least told changes.
    member_gossip probe_gossip();
    /// What to answer to a probe, after it has been heard.
    member_gossip answer_gossip(const member_gossip& heard);
    /// What the sender of an answer turned out to lack; nothing when it lacks nothing.
    std::optional<member_gossip> gossip_missing_at(const member_gossip& answer);
    /// Takes over what `sender` told.
    void hear(const member_gossip& told, std::string_view sender, time_point now);
    /// When to choose probes again.
    milliseconds probe_pause() const;
    /// Raised by each change of who is usable.
    std::uint64_t revision() const { return revision_; }
    /// Moves suspects to gone and forgets the long gone.
    void expire(time_point now);

    /// Begins a graceful shutdown.
    void begin_leaving();
    void update_self(std::uint16_t busy_permille, std::int64_t configuration_version);
    const member_facts& self() const { return self_; }
    /// All other members, the gone ones left out.
    std::vector<member_facts> others() const;
    /// Members that may be given work: live and not leaving, oneself included when not leaving.
    std::vector<member_facts> usable() const;
    /// Addresses of all other members still remembered, the gone ones included.
    std::vector<std::string> all_addresses() const;
    std::optional<member_facts> find(std::string_view address) const;
    /// True while most probes fail at once: then the likelier failure is this instance's own
    /// network, and no one else is accused.
    bool suspects_itself() const { return suspects_itself_; }
    /// Changes since the last call.
    std::vector<member_change> take_changes();

private:
    struct record {
        member_facts facts;
        time_point state_since{};
        std::uint32_t tellings_left = 0;
        /// Stands for this life of the member in `member_gossip`.
        std::uint32_t key = 0;
    };

    void tell(record& r, std::uint32_t rounds) const;
    void note_change(const member_facts& now, bool was_known, liveness before, bool left);
    void refute(const member_facts& heard);
    void note_result(std::string_view address, bool answered, time_point now);
    void reshuffle();
    std::uint64_t summary() const;
    std::vector<std::uint32_t> keys() const;
    /// A random part of what is known and has none of these keys.
    std::vector<member_facts> facts_beyond(std::span<const std::uint32_t> keys);
    void tell_rumours(std::vector<member_facts>& out);

    member_facts self_;
    membership_timing timing_;
    std::mt19937_64 random_;
    std::map<std::string, record, std::less<>> members_;
    std::vector<std::string> seeds_;
    std::vector<std::string> probe_order_;
    std::set<std::string> failed_in_a_row_;
    time_point failing_since_{};
    std::vector<member_change> changes_;
    time_point last_period_{};
    time_point grace_until_{};
    bool suspects_itself_ = false;
    std::uint64_t revision_ = 0;
    /// The last member heard of knows others than this instance.
    bool differs_ = false;
    /// Members that were learned of since the last choice of probes, and before it.
    std::size_t joined_ = 0;
    std::size_t joined_before_ = 0;
};

} // namespace bamboostream
