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
    return changed;
}

request_quarantine::effect request_quarantine::record(const crash_evidence& evidence,
                                                      time_point now) {
    const evidence_map::key_type key{evidence.request, evidence.server};
    if (const auto known = evidence_.find(key); known != evidence_.end()) {
        return merge_flags(evidence, known->second) ? effect::decides : effect::none;
    }
    if (now >= evidence.at + rules_.hold_time) {
        return effect::none;
    }
    evict_if_full(evidence.caller);
    const auto added = evidence_.emplace(key, evidence).first;
    ++by_caller_[evidence.caller];
    const bool marked = mark_shared(added->second);
    const auto [begin, end] = range_of(evidence.request);
    const auto servers = static_cast<std::size_t>(std::distance(begin, end));
    // Evidence that can't hold this request may still be a reason to release another one.
    const bool may_release = !suspects_.empty() && (marked || servers > 1);
    return servers >= rules_.servers || may_release ? effect::decides : effect::recorded;
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
    evidence_.erase(which);
}

bool request_quarantine::is_suspicious(evidence_map::const_iterator which) const {
    const request_digest& request = which->first.first;
    if (disputed_servers_.contains(which->first.second)) {
        return true;
    }
    const auto next = std::next(which);
    return (next != evidence_.cend() && next->first.first == request) ||
           (which != evidence_.cbegin() && std::prev(which)->first.first == request);
}

/// Evicts the oldest evidence; evidence against held requests goes last, and before it the evidence
/// against requests with several crashed servers.
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
            return std::tuple(holds(e->second.request), is_suspicious(e), e->second.at);
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
    std::map<request_digest, suspect_state> decided =
        crash_attribution(evidence_, rules_, now).decide();
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
    next_decision_.reset();
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

quarantine_verdict request_quarantine::verdict(const request_digest& request) const {
    const suspect_state* state = find_suspect(request);
    return state != nullptr ? state->verdict : quarantine_verdict::free;
}

duration request_quarantine::held_for(const request_digest& request, time_point now) const {
    duration least = rules_.hold_time;
    const auto [begin, end] = range_of(request);
    for (auto it = begin; it != end; ++it) {
        least = std::min(least, it->second.at + rules_.hold_time - now);
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
    return out;
}

} // namespace bamboostream
