#include "bamboostream/src/Membership/member_table.h"

#include "bamboostream/src/Core/digest.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace bamboostream {

namespace {

/// A gap of more than this many probe periods between two calls means that this process was
/// suspended.
constexpr int suspension_periods = 3;
/// Number of transmissions of a fact, as a multiple of log2 of the number of members. A change of a
/// known member reaches all others by gossip only. A new member is also contained in the set
/// exchange between members that differ, and when all instances start together each transmission
/// of a fact costs messages quadratic in their number.
constexpr std::uint32_t change_retransmit_factor = 3;
constexpr std::uint32_t join_retransmit_factor = 1;
constexpr std::size_t min_failures_to_suspect_self = 3;
constexpr milliseconds max_self_suspicion{6'000};

/// True if `received` replaces `known`; both describe the same process of the same instance.
bool supersedes(const member_facts& received, const member_facts& known) {
    if (received.incarnation != known.incarnation) {
        return received.incarnation > known.incarnation;
    }
    return received.state > known.state;
}

std::uint32_t key_of(const instance_id& id) {
    return static_cast<std::uint32_t>(stable_hash({id.address, std::to_string(id.start_stamp)}));
}

/// Widens a key to the width of a summary, so that the XOR over a set distinguishes sets.
std::uint64_t hash_key(std::uint32_t key) {
    return stable_hash(std::string_view(reinterpret_cast<const char*>(&key), sizeof key));
}

} // namespace

member_table::member_table(member_facts self, membership_timing timing, std::uint64_t seed)
    : self_(std::move(self)), timing_(timing), random_(seed) {}

void member_table::set_seeds(std::span<const std::string> addresses, time_point) {
    seeds_.clear();
    for (const std::string& address : addresses) {
        if (address != self_.id.address) {
            seeds_.push_back(address);
        }
    }
}

void member_table::refill_probe_order() {
    probe_order_.clear();
    for (const auto& [address, r] : members_) {
        if (r.facts.state != liveness::gone) {
            probe_order_.push_back(address);
        }
    }
    // Also probe listed addresses that never answered or are gone: they may have (re)started.
    for (const std::string& address : seeds_) {
        const auto known = members_.find(address);
        if (known == members_.end() || known->second.facts.state == liveness::gone) {
            probe_order_.push_back(address);
        }
    }
    std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
}

std::vector<std::string> member_table::choose_probes(time_point now) {
    // After this process was suspended, all its pending probes time out at once. Marking the peers
    // as suspect would empty its directory, so failed probes are ignored for one second.
    if (last_period_ != time_point{} &&
        now - last_period_ > suspension_periods * timing_.probe_period) {
        grace_until_ = now + seconds(1);
    }
    last_period_ = now;
    joined_before_ = std::exchange(joined_, 0);
    std::vector<std::string> chosen;
    while (chosen.size() < timing_.probes_per_period) {
        if (probe_order_.empty()) {
            refill_probe_order();
            if (probe_order_.empty() || !chosen.empty()) {
                break;
            }
        }
        chosen.push_back(std::move(probe_order_.back()));
        probe_order_.pop_back();
    }
    return chosen;
}

std::vector<std::string> member_table::choose_helpers(std::string_view target) {
    std::vector<std::string> candidates;
    for (const auto& [address, r] : members_) {
        if (address != target && r.facts.state == liveness::live) {
            candidates.push_back(address);
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), random_);
    candidates.resize(std::min(candidates.size(), timing_.indirect_probes));
    return candidates;
}

/// Counts consecutive failures. When several members fail with no answer in between, the failure is
/// likelier in this instance's own network, and the members just marked as suspect are live again.
/// If the failures last, they are accepted after all; otherwise the only survivor of a failure of
/// all others would keep them in its directory forever.
void member_table::record_probe_result(std::string_view address, bool answered, time_point now) {
    if (answered) {
        consecutive_failures_.clear();
        suspects_itself_ = false;
        return;
    }
    const auto known = members_.find(address);
    if (known == members_.end() || known->second.facts.state == liveness::gone) {
        return;
    }
    if (consecutive_failures_.empty()) {
        failing_since_ = now;
    }
    consecutive_failures_.insert(std::string(address));
    const bool many = consecutive_failures_.size() >= min_failures_to_suspect_self;
    const bool was = suspects_itself_;
    suspects_itself_ = many && now - failing_since_ < max_self_suspicion;
    if (suspects_itself_ && !was) {
        for (const std::string& accused : consecutive_failures_) {
            const auto r = members_.find(accused);
            if (r != members_.end() && r->second.facts.state == liveness::suspect) {
                r->second.facts.state = liveness::live;
                r->second.facts.ended = false;
                update_end_count(r->second);
                r->second.retransmits_left = 0;
                ++revision_;
            }
        }
    }
}

void member_table::probe_answered(std::string_view address, time_point now) {
    record_probe_result(address, true, now);
    const auto found = members_.find(address);
    if (found != members_.end() && found->second.facts.state == liveness::suspect) {
        // The member's own facts were in the answer and have just been merged, so a suspicion of an
        // older incarnation is refuted.
        found->second.facts.state = liveness::live;
        found->second.facts.ended = false;
        update_end_count(found->second);
        schedule_retransmits(found->second, change_retransmit_factor);
        ++revision_;
    }
}

void member_table::probe_failed(std::string_view address, time_point now) {
    record_probe_result(address, false, now);
    const auto found = members_.find(address);
    if (found == members_.end() || found->second.facts.state != liveness::live ||
        now < grace_until_ || suspects_itself_) {
        return;
    }
    record& r = found->second;
    r.facts.state = liveness::suspect;
    r.state_since = now;
    schedule_retransmits(r, change_retransmit_factor);
    record_change(r.facts, true, liveness::live, false);
}

void member_table::probe_refused(const instance_id& process, time_point now) {
    const auto found = members_.find(process.address);
    if (found == members_.end() || found->second.facts.ended ||
        found->second.facts.id.start_stamp != process.start_stamp ||
        found->second.facts.state == liveness::live || now < grace_until_ || suspects_itself_) {
        return;
    }
    record& r = found->second;
    r.facts.ended = true;
    update_end_count(r);
    schedule_retransmits(r, change_retransmit_factor);
}

void member_table::update_end_count(record& r) {
    const bool ended = r.facts.leaving || r.facts.ended;
    if (ended && !r.end_counted) {
        ++ended_processes_;
    } else if (!ended && r.end_counted) {
        --ended_processes_;
    }
    r.end_counted = ended;
}

void member_table::schedule_retransmits(record& r, std::uint32_t factor) const {
    const double members = static_cast<double>(members_.size()) + 2.0;
    r.retransmits_left = factor * static_cast<std::uint32_t>(std::ceil(std::log2(members)));
}

void member_table::record_change(const member_facts& now, bool was_known, liveness before,
                                 bool left) {
    changes_.push_back({now, was_known, before, left});
    ++revision_;
}

void member_table::refute(const member_facts& received) {
    if (received.id.start_stamp == self_.id.start_stamp && received.state != liveness::live &&
        received.incarnation >= self_.incarnation) {
        self_.incarnation = received.incarnation + 1;
    }
}

void member_table::merge(const member_facts& received, bool direct, time_point now) {
    if (received.id.address == self_.id.address) {
        refute(received);
        return;
    }
    auto found = members_.find(received.id.address);
    if (found == members_.end() || received.id.start_stamp > found->second.facts.id.start_stamp) {
        // Gone members are kept for a limited time only, so a report that an unknown member is gone
        // is ignored.
        if (found == members_.end() && received.state == liveness::gone) {
            return;
        }
        ++joined_;
        const bool is_new = found == members_.end();
        record& fresh = members_[received.id.address];
        ended_processes_ += is_new || fresh.end_counted ? 0 : 1;
        fresh.end_counted = false;
        fresh.facts = received;
        update_end_count(fresh);
        fresh.state_since = now;
        fresh.key = key_of(received.id);
        schedule_retransmits(fresh, is_new ? join_retransmit_factor : change_retransmit_factor);
        record_change(received, false, liveness::live, received.leaving);
        return;
    }
    record& known = found->second;
    if (received.id.start_stamp < known.facts.id.start_stamp) {
        return;
    }
    const bool left = received.leaving && !known.facts.leaving;
    const liveness before = known.facts.state;
    if (supersedes(received, known.facts)) {
        const bool leaving = known.facts.leaving || received.leaving;
        const bool refuted = received.incarnation > known.facts.incarnation;
        const bool ended = received.ended || (known.facts.ended && !refuted);
        known.facts = received;
        known.facts.leaving = leaving;
        known.facts.ended = ended;
        known.state_since = now;
        schedule_retransmits(known, change_retransmit_factor);
    } else if (direct && received.state == liveness::live && known.facts.state != liveness::live) {
        // The member is alive but does not know that it is suspected: gossip makes it refute.
        schedule_retransmits(known, change_retransmit_factor);
    } else if (direct && received.incarnation == known.facts.incarnation) {
        known.facts.busy_permille = received.busy_permille;
        known.facts.configuration_version = received.configuration_version;
    }
    if (left) {
        known.facts.leaving = true;
        schedule_retransmits(known, change_retransmit_factor);
    }
    if (received.ended && !known.facts.ended && received.incarnation == known.facts.incarnation) {
        known.facts.ended = true;
        schedule_retransmits(known, change_retransmit_factor);
    }
    update_end_count(known);
    if (left || before != known.facts.state) {
        record_change(known.facts, true, before, left);
    }
}

std::uint64_t member_table::summary() const {
    std::uint64_t mixed = hash_key(key_of(self_.id));
    for (const auto& [address, r] : members_) {
        if (r.facts.state != liveness::gone) {
            mixed ^= hash_key(r.key);
        }
    }
    return mixed;
}

std::vector<std::uint32_t> member_table::keys() const {
    std::vector<std::uint32_t> out{key_of(self_.id)};
    for (const auto& [address, r] : members_) {
        if (r.facts.state != liveness::gone) {
            out.push_back(r.key);
        }
    }
    return out;
}

std::vector<member_facts> member_table::facts_not_in(std::span<const std::uint32_t> keys) {
    const std::unordered_set<std::uint32_t> theirs(keys.begin(), keys.end());
    std::vector<const record*> missing;
    for (const auto& [address, r] : members_) {
        if (r.facts.state != liveness::gone && !theirs.contains(r.key)) {
            missing.push_back(&r);
        }
    }
    std::shuffle(missing.begin(), missing.end(), random_);
    missing.resize(std::min(missing.size(), timing_.max_facts_per_message));
    std::vector<member_facts> out;
    for (const record* r : missing) {
        out.push_back(r->facts);
    }
    return out;
}

void member_table::append_updates(std::vector<member_facts>& out) {
    std::vector<record*> updates;
    for (auto& [address, r] : members_) {
        if (r.retransmits_left > 0) {
            updates.push_back(&r);
        }
    }
    std::sort(updates.begin(), updates.end(), [](const record* a, const record* b) {
        return a->retransmits_left > b->retransmits_left;
    });
    updates.resize(std::min(updates.size(), timing_.max_updates_per_message));
    for (record* r : updates) {
        --r->retransmits_left;
        out.push_back(r->facts);
    }
}

member_gossip member_table::probe_gossip() {
    member_gossip out{{self_}, summary(), {}};
    append_updates(out.facts);
    if (summary_differs_) {
        out.keys = keys();
    }
    return out;
}

member_gossip member_table::answer_gossip(const member_gossip& received) {
    member_gossip out{{self_}, summary(), {}};
    if (received.summary == 0 || received.summary == out.summary) {
        append_updates(out.facts);
        return out;
    }
    out.keys = keys();
    if (received.keys.empty()) {
        append_updates(out.facts);
        return out;
    }
    for (member_facts& facts : facts_not_in(received.keys)) {
        out.facts.push_back(std::move(facts));
    }
    return out;
}

std::optional<member_gossip> member_table::gossip_missing_at(const member_gossip& answer) {
    if (answer.keys.empty()) {
        return std::nullopt;
    }
    member_gossip out{{self_}, summary(), {}};
    for (member_facts& facts : facts_not_in(answer.keys)) {
        out.facts.push_back(std::move(facts));
    }
    return out.facts.size() > 1 ? std::optional(std::move(out)) : std::nullopt;
}

void member_table::hear(const member_gossip& gossip, std::string_view sender, time_point now) {
    for (const member_facts& facts : gossip.facts) {
        merge(facts, facts.id.address == sender, now);
    }
    summary_differs_ = gossip.summary != 0 && gossip.summary != summary();
}

milliseconds member_table::probe_pause() const {
    const bool joining = std::max(joined_, joined_before_) > timing_.max_updates_per_message;
    return joining ? timing_.joining_period : timing_.probe_period;
}

void member_table::expire(time_point now) {
    for (auto it = members_.begin(); it != members_.end();) {
        record& r = it->second;
        if (r.facts.state == liveness::suspect && now >= grace_until_ && !suspects_itself_ &&
            now - r.state_since >= timing_.suspect_to_gone) {
            r.facts.state = liveness::gone;
            r.state_since = now;
            schedule_retransmits(r, change_retransmit_factor);
            record_change(r.facts, true, liveness::suspect, false);
        }
        const bool forgotten =
            r.facts.state == liveness::gone && now - r.state_since >= timing_.forget_gone;
        it = forgotten ? members_.erase(it) : std::next(it);
    }
}

void member_table::begin_leaving() {
    self_.leaving = true;
    ++revision_;
}

void member_table::update_self(std::uint16_t busy_permille, std::int64_t configuration_version) {
    self_.busy_permille = busy_permille;
    self_.configuration_version = configuration_version;
}

std::vector<member_facts> member_table::others() const {
    std::vector<member_facts> out;
    for (const auto& [address, r] : members_) {
        if (r.facts.state != liveness::gone) {
            out.push_back(r.facts);
        }
    }
    return out;
}

std::vector<member_facts> member_table::usable() const {
    std::vector<member_facts> out;
    if (!self_.leaving) {
        out.push_back(self_);
    }
    for (const auto& [address, r] : members_) {
        if (r.facts.state == liveness::live && !r.facts.leaving) {
            out.push_back(r.facts);
        }
    }
    return out;
}

std::vector<std::string> member_table::all_addresses() const {
    std::vector<std::string> out;
    for (const auto& [address, r] : members_) {
        out.push_back(address);
    }
    return out;
}

std::optional<member_facts> member_table::find(std::string_view address) const {
    if (address == self_.id.address) {
        return self_;
    }
    const auto found = members_.find(address);
    return found == members_.end() ? std::nullopt : std::optional(found->second.facts);
}

std::vector<member_change> member_table::take_changes() {
    return std::exchange(changes_, {});
}

} // namespace bamboostream
