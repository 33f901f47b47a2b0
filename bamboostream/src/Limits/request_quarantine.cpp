#include "bamboostream/src/Limits/request_quarantine.h"

#include "bamboostream/src/Core/digest.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace bamboostream {

namespace {

std::uint64_t fingerprint_of(const crash_evidence& evidence) {
    const std::uint64_t server = evidence.cleared ? ~evidence.server : evidence.server;
    const std::uint64_t flags = (evidence.answered_before ? 1 : 0) | (evidence.on_trial ? 2 : 0) |
                                (evidence.shared ? 4 : 0) |
                                (static_cast<std::uint64_t>(evidence.attempts) << 8U);
    return stable_hash(evidence.request.text(), server ^ flags);
}

} // namespace

std::uint64_t incarnation_key(std::string_view server, std::int64_t start_stamp) {
    return stable_hash(server, static_cast<std::uint64_t>(start_stamp));
}

std::uint16_t attempt_bit(std::string_view attempt_id) {
    return static_cast<std::uint16_t>(1U << (stable_hash(attempt_id) % attempt_bits));
}

std::pair<request_quarantine::evidence_map::const_iterator,
          request_quarantine::evidence_map::const_iterator>
request_quarantine::range_of(const request_digest& request) const {
    return {evidence_.lower_bound({request, 0}),
            evidence_.upper_bound({request, std::numeric_limits<std::uint64_t>::max()})};
}

time_point request_quarantine::expires_at(evidence_map::const_iterator which) const {
    const crash_evidence& evidence = which->second;
    const bool counts = !evidence.cleared && is_suspicious(which);
    const bool kept = counts || holds(evidence.request);
    return evidence.at +
           (kept ? duration(rules_.hold_time) : duration(rules_.single_server_lifetime));
}

bool request_quarantine::merge_flags(const crash_evidence& from, crash_evidence& to) {
    bool changed = false;
    for (const auto flag : {&crash_evidence::cleared, &crash_evidence::answered_before,
                            &crash_evidence::on_trial, &crash_evidence::shared}) {
        changed = changed || (from.*flag && !(to.*flag));
        to.*flag = to.*flag || from.*flag;
    }
    const auto attempts = static_cast<std::uint16_t>(from.attempts | to.attempts);
    changed = changed || attempts != to.attempts;
    to.attempts = attempts;
    // An instance of an older version passes on evidence without the parts.
    if (to.parts.empty() && !from.parts.empty()) {
        to.parts = from.parts;
        to.streamed_for = from.streamed_for;
        changed = true;
    }
    return changed;
}

request_quarantine::effect request_quarantine::record(const crash_evidence& evidence,
                                                      time_point now) {
    const evidence_map::key_type key{evidence.request, evidence.server};
    if (const auto known = evidence_.find(key); known != evidence_.end()) {
        const bool had_parts = !known->second.parts.empty();
        const bool changed = merge_flags(evidence, known->second);
        if (!had_parts) {
            note_parts(known->second);
        }
        return changed ? effect::decides : effect::none;
    }
    if (now >= evidence.at + rules_.hold_time) {
        return effect::none;
    }
    evict_if_full(evidence.caller);
    const auto added = evidence_.emplace(key, evidence).first;
    ++by_caller_[evidence.caller];
    note_parts(added->second);
    const bool marked = mark_shared(added->second);
    const auto [begin, end] = range_of(evidence.request);
    const auto servers = static_cast<std::size_t>(std::distance(begin, end));
    // Evidence that can't hold this request may still be a reason to release another one.
    const bool may_release = !suspects_.empty() && (marked || servers > 1);
    return servers >= rules_.servers || may_release ? effect::decides : effect::recorded;
}

/// Crashes count against parts once they have settled.
void request_quarantine::note_parts(const crash_evidence& evidence) {
    for (const request_digest& part : evidence.parts) {
        part_evidence& known = by_part_[part];
        ++known.pieces;
        known.latest = std::max(known.latest, evidence.at);
    }
    if (!evidence.parts.empty()) {
        const time_point settled = std::max(evidence.at, evidence.found_at) + rules_.settling_time;
        next_decision_ = std::min(next_decision_.value_or(settled), settled);
    }
}

bool request_quarantine::mark_shared(crash_evidence& newest) {
    const std::size_t known = ++by_server_[newest.server];
    newest.shared = newest.shared || known > 1;
    if (known != 2) {
        return false;
    }
    for (auto& [key, evidence] : evidence_) {
        if (key.second == newest.server && !evidence.shared) {
            evidence.shared = true;
            return true;
        }
    }
    return false;
}

bool request_quarantine::add_evidence(std::span<const crash_evidence> evidence, time_point now) {
    effect strongest = effect::none;
    for (const crash_evidence& it : evidence) {
        strongest = std::max(strongest, record(it, now));
    }
    if (strongest == effect::decides) {
        update_suspects(now);
    }
    return strongest != effect::none;
}

bool request_quarantine::clear(const request_digest& request, time_point now) {
    std::vector<crash_evidence> against = evidence_of(request);
    for (crash_evidence& evidence : against) {
        evidence.cleared = true;
    }
    return add_evidence(against, now);
}

bool request_quarantine::add_part_answers(std::span<const part_answer> answers, time_point now) {
    bool any = false;
    for (const part_answer& it : answers) {
        if (!by_part_.contains(it.part)) {
            continue;
        }
        const auto [known, added] = part_answers_.try_emplace(it.part, it.at);
        any = any || added || known->second < it.at;
        known->second = std::max(known->second, it.at);
    }
    if (any && !held_parts_.empty()) {
        update_suspects(now);
    }
    return any;
}

std::vector<request_digest>
request_quarantine::unanswered(std::span<const request_digest> parts) const {
    std::vector<request_digest> out;
    for (const request_digest& part : parts) {
        const auto evidence = by_part_.find(part);
        const auto answer = part_answers_.find(part);
        if (evidence != by_part_.end() &&
            (answer == part_answers_.end() || answer->second < evidence->second.latest)) {
            out.push_back(part);
        }
    }
    return out;
}

std::vector<part_answer> request_quarantine::part_answers() const {
    std::vector<part_answer> out;
    for (const auto& [part, at] : part_answers_) {
        out.push_back({part, at});
    }
    return out;
}

void request_quarantine::expire(time_point now) {
    bool any = false;
    for (auto it = evidence_.cbegin(); it != evidence_.cend();) {
        const auto next = std::next(it);
        if (now >= expires_at(it)) {
            erase(it);
            any = true;
        }
        it = next;
    }
    if (any) {
        update_suspects(now);
    }
}

void request_quarantine::settle(time_point now) {
    if (next_decision_ && now >= *next_decision_) {
        update_suspects(now);
    }
}

void request_quarantine::erase(evidence_map::const_iterator which) {
    if (--by_caller_[which->second.caller] == 0) {
        by_caller_.erase(which->second.caller);
    }
    if (--by_server_[which->second.server] == 0) {
        by_server_.erase(which->second.server);
    }
    for (const request_digest& part : which->second.parts) {
        if (--by_part_[part].pieces == 0) {
            by_part_.erase(part);
            part_answers_.erase(part);
        }
    }
    evidence_.erase(which);
}

bool request_quarantine::is_suspicious(evidence_map::const_iterator which) const {
    const request_digest& request = which->first.first;
    if (disputed_servers_.contains(which->first.second) || is_of_held_part(which->second)) {
        return true;
    }
    const auto next = std::next(which);
    return (next != evidence_.cend() && next->first.first == request) ||
           (which != evidence_.cbegin() && std::prev(which)->first.first == request);
}

bool request_quarantine::is_of_held_part(const crash_evidence& evidence) const {
    return !evidence.parts.empty() &&
           std::any_of(held_parts_.begin(), held_parts_.end(), [&](const held_parts& held) {
               return held.servers.contains(evidence.server) &&
                      held.applies_to(evidence.caller, evidence.parts);
           });
}

/// Evicts the oldest evidence; evidence against held requests and parts goes last, and before it
/// the evidence against requests with several crashed servers.
void request_quarantine::evict_if_full(std::uint64_t caller) {
    const auto found = by_caller_.find(caller);
    const bool caller_full =
        found != by_caller_.end() && found->second >= rules_.max_evidence_per_caller;
    if (!caller_full && evidence_.size() < rules_.max_evidence) {
        return;
    }
    auto oldest = evidence_.cend();
    for (auto it = evidence_.cbegin(); it != evidence_.cend(); ++it) {
        const bool eligible = !caller_full || it->second.caller == caller;
        const auto order = [this](evidence_map::const_iterator e) {
            return std::tuple(holds(e->second.request) || is_of_held_part(e->second),
                              is_suspicious(e), e->second.at);
        };
        if (eligible && (oldest == evidence_.cend() || order(it) < order(oldest))) {
            oldest = it;
        }
    }
    if (oldest != evidence_.cend()) {
        erase(oldest);
    }
}

std::size_t request_quarantine::held() const {
    return static_cast<std::size_t>(
        std::count_if(suspects_.begin(), suspects_.end(), [](const auto& it) {
            return it.second.verdict >= quarantine_verdict::contested;
        }));
}

void request_quarantine::update_suspects(time_point now) {
    next_decision_.reset();
    std::set<std::uint64_t> explained;
    if (!by_part_.empty()) {
        part_attribution parts(evidence_, part_answers_, rules_, now);
        held_parts_ = parts.decide();
        next_decision_ = parts.next_decision();
        for (const held_parts& held : held_parts_) {
            explained.insert(held.servers.begin(), held.servers.end());
        }
    } else {
        held_parts_.clear();
    }
    std::map<request_digest, suspect_state> decided =
        crash_attribution(evidence_, rules_, now, explained).decide();
    for (const held_parts& held : held_parts_) {
        decided.insert_or_assign(held.state.suspect, held.state);
    }
    for (const auto& [request, state] : decided) {
        if (verdict(request) != state.verdict) {
            changed_.try_emplace(request, verdict(request));
        }
    }
    for (const auto& [request, state] : suspects_) {
        if (!decided.contains(request)) {
            changed_.try_emplace(request, state.verdict);
        }
    }
    suspects_ = std::move(decided);
    disputed_servers_.clear();
    for (const auto& [request, state] : suspects_) {
        const auto [begin, end] = range_of(request);
        for (auto it = begin; state.popular && it != end; ++it) {
            disputed_servers_.insert(it->first.second);
        }
        if (state.next_decision > now) {
            next_decision_ =
                std::min(next_decision_.value_or(state.next_decision), state.next_decision);
        }
    }
}

const suspect_state* request_quarantine::find_suspect(const request_digest& request) const {
    const auto found = suspects_.find(request);
    return found == suspects_.end() ? nullptr : &found->second;
}

const suspect_state* request_quarantine::find_suspect(const quarantine_subject& request) const {
    const suspect_state* out = find_suspect(request.digest);
    for (const held_parts& held : held_parts_) {
        if (held.applies_to(request.caller, request.parts) &&
            (out == nullptr || out->verdict < held.state.verdict)) {
            out = &held.state_of(request.parts);
        }
    }
    return out;
}

const held_parts* request_quarantine::find_held_parts(const request_digest& suspect) const {
    const auto found =
        std::find_if(held_parts_.begin(), held_parts_.end(),
                     [&](const held_parts& held) { return held.state.suspect == suspect; });
    return found == held_parts_.end() ? nullptr : &*found;
}

quarantine_verdict request_quarantine::verdict(const request_digest& request) const {
    const suspect_state* state = find_suspect(request);
    return state != nullptr ? state->verdict : quarantine_verdict::free;
}

duration request_quarantine::held_for(const request_digest& request, time_point now) const {
    duration least = rules_.hold_time;
    for (const crash_evidence& it : evidence_of(request)) {
        least = std::min(least, it.at + rules_.hold_time - now);
    }
    return std::max(least, duration{});
}

std::vector<request_quarantine::change> request_quarantine::take_changes() {
    std::vector<change> out;
    for (const auto& [request, before] : std::exchange(changed_, {})) {
        if (verdict(request) != before) {
            out.push_back({request, before});
        }
    }
    return out;
}

std::vector<crash_evidence> request_quarantine::evidence() const {
    std::vector<crash_evidence> out;
    for (const auto& [key, evidence] : evidence_) {
        out.push_back(evidence);
    }
    return out;
}

std::vector<crash_evidence> request_quarantine::suspicious_evidence() const {
    std::vector<crash_evidence> out;
    for (auto it = evidence_.cbegin(); it != evidence_.cend(); ++it) {
        if (is_suspicious(it)) {
            out.push_back(it->second);
        }
    }
    return out;
}

std::uint64_t request_quarantine::fingerprint() const {
    std::uint64_t out = 0;
    for (const crash_evidence& evidence : suspicious_evidence()) {
        out ^= fingerprint_of(evidence);
    }
    return out;
}

std::vector<crash_evidence> request_quarantine::evidence_of(const request_digest& request) const {
    std::vector<crash_evidence> out;
    const auto [begin, end] = range_of(request);
    for (auto it = begin; it != end; ++it) {
        out.push_back(it->second);
    }
    if (const held_parts* held = find_held_parts(request)) {
        for (const auto& [key, evidence] : evidence_) {
            if (held->servers.contains(evidence.server) &&
                held->applies_to(evidence.caller, evidence.parts)) {
                out.push_back(evidence);
            }
        }
    }
    return out;
}

} // namespace bamboostream
