#include "bamboostream/src/Membership/member_table.h"

#include "bamboostream/src/Core/digest.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace bamboostream {

namespace {

/// A pause between two periods that is this many periods long means this process was frozen.
constexpr int frozen_periods = 3;
/// How often a fact is told, in powers of two of the members. A change of a known member has to
/// reach everyone by rumours; one that joins is also in the parts of the whole that joining members
/// exchange, and when all start together each fact told costs instances squared.
constexpr std::uint32_t rounds_of_a_change = 3;
constexpr std::uint32_t rounds_of_a_join = 1;
constexpr std::size_t fewest_failures_to_suspect_self = 3;
constexpr milliseconds longest_self_suspicion{6'000};

/// Whether `heard` replaces `known` about the same life of the same instance.
bool supersedes(const member_facts& heard, const member_facts& known) {
    if (heard.incarnation != known.incarnation) {
        return heard.incarnation > known.incarnation;
    }
    return heard.state > known.state;
}

std::uint32_t key_of(const instance_id& id) {
    return static_cast<std::uint32_t>(stable_hash({id.address, std::to_string(id.start_stamp)}));
}

/// Keys as wide as a summary, so that their sum tells sets apart.
std::uint64_t spread(std::uint32_t key) {
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

void member_table::reshuffle() {
    probe_order_.clear();
    for (const auto& [address, r] : members_) {
        if (r.facts.state != liveness::gone) {
            probe_order_.push_back(address);
        }
    }
    // Addresses that the platform lists but that never answered, or are gone, are still asked now
    // and then: they may have (re)started.
    for (const std::string& address : seeds_) {
        const auto known = members_.find(address);
        if (known == members_.end() || known->second.facts.state == liveness::gone) {
            probe_order_.push_back(address);
        }
    }
    std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
}

std::vector<std::string> member_table::choose_probes(time_point now) {
    // A process that was frozen finds all its probes timed out at once. Accusing its peers would
    // empty its directory, so failures count again only after a quiet second.
    if (last_period_ != time_point{} &&
        now - last_period_ > frozen_periods * timing_.probe_period) {
        grace_until_ = now + seconds(1);
    }
    last_period_ = now;
    joined_before_ = std::exchange(joined_, 0);
    std::vector<std::string> chosen;
    while (chosen.size() < timing_.probes_a_period) {
        if (probe_order_.empty()) {
            reshuffle();
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

/// Counts failures in a row. When several members fail with no answer in between, the likelier
/// failure is this instance's own network: those just accused are cleared again. Lasting failure
/// is believed after all, or the sole survivor of a mass death would offer the dead for ever.
void member_table::note_result(std::string_view address, bool answered, time_point now) {
    if (answered) {
        failed_in_a_row_.clear();
        suspects_itself_ = false;
        return;
    }
    const auto known = members_.find(address);
    if (known == members_.end() || known->second.facts.state == liveness::gone) {
        return;
    }
    if (failed_in_a_row_.empty()) {
        failing_since_ = now;
    }
    failed_in_a_row_.insert(std::string(address));
    const bool many = failed_in_a_row_.size() >= fewest_failures_to_suspect_self;
    const bool was = suspects_itself_;
    suspects_itself_ = many && now - failing_since_ < longest_self_suspicion;
    if (suspects_itself_ && !was) {
        for (const std::string& accused : failed_in_a_row_) {
            const auto r = members_.find(accused);
            if (r != members_.end() && r->second.facts.state == liveness::suspect) {
                r->second.facts.state = liveness::live;
                r->second.tellings_left = 0;
                ++revision_;
            }
        }
    }
}

void member_table::probe_answered(std::string_view address, time_point now) {
    note_result(address, true, now);
    const auto found = members_.find(address);
    if (found != members_.end() && found->second.facts.state == liveness::suspect) {
        // The answer carries the member's own facts, merged just before; a suspicion of an older
        // incarnation is over.
        found->second.facts.state = liveness::live;
        tell(found->second, rounds_of_a_change);
        ++revision_;
    }
}

void member_table::probe_failed(std::string_view address, time_point now) {
    note_result(address, false, now);
    const auto found = members_.find(address);
    if (found == members_.end() || found->second.facts.state != liveness::live ||
        now < grace_until_ || suspects_itself_) {
        return;
    }
    record& r = found->second;
    r.facts.state = liveness::suspect;
    r.state_since = now;
    tell(r, rounds_of_a_change);
    note_change(r.facts, true, liveness::live, false);
}

void member_table::tell(record& r, std::uint32_t rounds) const {
    const double members = static_cast<double>(members_.size()) + 2.0;
    r.tellings_left = rounds * static_cast<std::uint32_t>(std::ceil(std::log2(members)));
}

void member_table::note_change(const member_facts& now, bool was_known, liveness before,
                               bool left) {
    changes_.push_back({now, was_known, before, left});
    ++revision_;
}

void member_table::refute(const member_facts& heard) {
    if (heard.id.start_stamp == self_.id.start_stamp && heard.state != liveness::live &&
        heard.incarnation >= self_.incarnation) {
        self_.incarnation = heard.incarnation + 1;
    }
}

void member_table::merge(const member_facts& heard, bool direct, time_point now) {
    if (heard.id.address == self_.id.address) {
        refute(heard);
        return;
    }
    auto found = members_.find(heard.id.address);
    if (found == members_.end() || heard.id.start_stamp > found->second.facts.id.start_stamp) {
        // The gone are remembered for a while only: news of a death nobody here knew is no news.
        if (found == members_.end() && heard.state == liveness::gone) {
            return;
        }
        ++joined_;
        const bool is_new = found == members_.end();
        record& fresh = members_[heard.id.address];
        fresh.facts = heard;
        fresh.state_since = now;
        fresh.key = key_of(heard.id);
        tell(fresh, is_new ? rounds_of_a_join : rounds_of_a_change);
        note_change(heard, false, liveness::live, heard.leaving);
        return;
    }
    record& known = found->second;
    if (heard.id.start_stamp < known.facts.id.start_stamp) {
        return;
    }
    const bool left = heard.leaving && !known.facts.leaving;
    const liveness before = known.facts.state;
    if (supersedes(heard, known.facts)) {
        const bool leaving = known.facts.leaving || heard.leaving;
        known.facts = heard;
        known.facts.leaving = leaving;
        known.state_since = now;
        tell(known, rounds_of_a_change);
    } else if (direct && heard.state == liveness::live && known.facts.state != liveness::live) {
        // It is alive but does not know that it was given up: told so, it refutes.
        tell(known, rounds_of_a_change);
    } else if (direct && heard.incarnation == known.facts.incarnation) {
        known.facts.busy_permille = heard.busy_permille;
        known.facts.configuration_version = heard.configuration_version;
    }
    if (left) {
        known.facts.leaving = true;
        tell(known, rounds_of_a_change);
    }
    if (left || before != known.facts.state) {
        note_change(known.facts, true, before, left);
    }
}

std::uint64_t member_table::summary() const {
    std::uint64_t mixed = spread(key_of(self_.id));
    for (const auto& [address, r] : members_) {
        if (r.facts.state != liveness::gone) {
            mixed ^= spread(r.key);
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

std::vector<member_facts> member_table::facts_beyond(std::span<const std::uint32_t> keys) {
    const std::unordered_set<std::uint32_t> theirs(keys.begin(), keys.end());
    std::vector<const record*> missing;
    for (const auto& [address, r] : members_) {
        if (r.facts.state != liveness::gone && !theirs.contains(r.key)) {
            missing.push_back(&r);
        }
    }
    std::shuffle(missing.begin(), missing.end(), random_);
    missing.resize(std::min(missing.size(), timing_.facts_a_message));
    std::vector<member_facts> out;
    for (const record* r : missing) {
        out.push_back(r->facts);
    }
    return out;
}

void member_table::tell_rumours(std::vector<member_facts>& out) {
    std::vector<record*> news;
    for (auto& [address, r] : members_) {
        if (r.tellings_left > 0) {
            news.push_back(&r);
        }
    }
    std::sort(news.begin(), news.end(),
              [](const record* a, const record* b) { return a->tellings_left > b->tellings_left; });
    news.resize(std::min(news.size(), timing_.rumours_a_message));
    for (record* r : news) {
        --r->tellings_left;
        out.push_back(r->facts);
    }
}

member_gossip member_table::probe_gossip() {
    member_gossip out{{self_}, summary(), {}};
    tell_rumours(out.facts);
    if (differs_) {
        out.keys = keys();
    }
    return out;
}

member_gossip member_table::answer_gossip(const member_gossip& heard) {
    member_gossip out{{self_}, summary(), {}};
    if (heard.summary == 0 || heard.summary == out.summary) {
        tell_rumours(out.facts);
        return out;
    }
    out.keys = keys();
    if (heard.keys.empty()) {
        tell_rumours(out.facts);
        return out;
    }
    for (member_facts& facts : facts_beyond(heard.keys)) {
        out.facts.push_back(std::move(facts));
    }
    return out;
}

std::optional<member_gossip> member_table::gossip_missing_at(const member_gossip& answer) {
    if (answer.keys.empty()) {
        return std::nullopt;
    }
    member_gossip out{{self_}, summary(), {}};
    for (member_facts& facts : facts_beyond(answer.keys)) {
        out.facts.push_back(std::move(facts));
    }
    return out.facts.size() > 1 ? std::optional(std::move(out)) : std::nullopt;
}

void member_table::hear(const member_gossip& told, std::string_view sender, time_point now) {
    for (const member_facts& facts : told.facts) {
        merge(facts, facts.id.address == sender, now);
    }
    differs_ = told.summary != 0 && told.summary != summary();
}

milliseconds member_table::probe_pause() const {
    const bool joining = std::max(joined_, joined_before_) > timing_.rumours_a_message;
    return joining ? timing_.joining_period : timing_.probe_period;
}

void member_table::expire(time_point now) {
    for (auto it = members_.begin(); it != members_.end();) {
        record& r = it->second;
        if (r.facts.state == liveness::suspect && now >= grace_until_ && !suspects_itself_ &&
            now - r.state_since >= timing_.suspect_to_gone) {
            r.facts.state = liveness::gone;
            r.state_since = now;
            tell(r, rounds_of_a_change);
            note_change(r.facts, true, liveness::suspect, false);
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
