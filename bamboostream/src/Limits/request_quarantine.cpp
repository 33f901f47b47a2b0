#include "bamboostream/src/Limits/request_quarantine.h"

#include "bamboostream/src/Core/digest.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace bamboostream {

namespace {

std::uint64_t fingerprint_of(const crash_evidence& evidence) {
    const std::uint64_t server = evidence.cleared ? ~evidence.server : evidence.server;
    return stable_hash(evidence.request.text(), server);
}

} // namespace

std::uint64_t incarnation_key(std::string_view server, std::int64_t start_stamp) {
    return stable_hash(server, static_cast<std::uint64_t>(start_stamp));
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

request_quarantine::effect request_quarantine::record(const crash_evidence& evidence,
                                                      time_point now) {
    const evidence_key key{evidence.request, evidence.server};
    if (const auto known = evidence_.find(key); known != evidence_.end()) {
        if (known->second.cleared || !evidence.cleared) {
            return effect::none;
        }
        known->second.cleared = true;
        return effect::decides;
    }
    if (now >= evidence.at + rules_.hold_time) {
        return effect::none;
    }
    evict_if_full(evidence.caller);
    evidence_.emplace(key, evidence);
    ++by_caller_[evidence.caller];
    const auto [begin, end] = range_of(evidence.request);
    const bool enough = static_cast<std::size_t>(std::distance(begin, end)) >= rules_.servers;
    return enough ? effect::decides : effect::recorded;
}

bool request_quarantine::add_evidence(std::span<const crash_evidence> evidence, time_point now) {
    effect strongest = effect::none;
    for (const crash_evidence& it : evidence) {
        strongest = std::max(strongest, record(it, now));
    }
    if (strongest == effect::decides) {
        update_held();
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
        update_held();
    }
}

void request_quarantine::erase(evidence_map::const_iterator which) {
    if (--by_caller_[which->second.caller] == 0) {
        by_caller_.erase(which->second.caller);
    }
    evidence_.erase(which);
}

bool request_quarantine::is_suspicious(evidence_map::const_iterator which) const {
    const request_digest& request = which->first.first;
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

request_quarantine::evidence_weight
request_quarantine::weight_of(const request_digest& request,
                              const std::set<std::uint64_t>& attributed) const {
    evidence_weight out;
    std::size_t total = 0;
    time_point first = time_point::max();
    time_point last = time_point::min();
    const auto [begin, end] = range_of(request);
    for (auto it = begin; it != end; ++it) {
        const crash_evidence& evidence = it->second;
        if (evidence.cleared) {
            continue;
        }
        ++total;
        first = std::min(first, evidence.at);
        last = std::max(last, evidence.at);
        if (!attributed.contains(evidence.server)) {
            ++out.servers;
            out.answering += evidence.answering ? 1 : 0;
        }
    }
    const bool repeated = total > rules_.servers && out.servers > 0;
    const bool enough =
        (out.servers >= rules_.servers || repeated) && last - first > rules_.common_cause_window;
    return enough ? out : evidence_weight{};
}

std::vector<request_digest> request_quarantine::candidates() const {
    std::vector<request_digest> out;
    for (auto it = evidence_.cbegin(); it != evidence_.cend();) {
        const request_digest request = it->first.first;
        if (weight_of(request, {}).servers > 0) {
            out.push_back(request);
        }
        it = range_of(request).second;
    }
    return out;
}

/// Greedy attribution: of the requests that were on the same crashed servers, the one present at
/// most of the crashes is held, and these crashes no longer count against the other requests. Those
/// are held only if the remaining evidence suffices. A request that was on more than `servers`
/// crashed servers, at least one of them without a held request, is not a bystander: otherwise two
/// harmful requests could clear each other in turns.
void request_quarantine::update_held() {
    std::vector<request_digest> undecided = candidates();
    std::set<request_digest> held;
    std::set<std::uint64_t> attributed;
    while (!undecided.empty()) {
        const auto worst =
            std::max_element(undecided.begin(), undecided.end(), [&](const auto& a, const auto& b) {
                return std::pair(weight_of(a, attributed), a) <
                       std::pair(weight_of(b, attributed), b);
            });
        if (weight_of(*worst, attributed).servers == 0) {
            break;
        }
        const auto [begin, end] = range_of(*worst);
        for (auto it = begin; it != end; ++it) {
            if (!it->second.cleared) {
                attributed.insert(it->second.server);
            }
        }
        held.insert(*worst);
        undecided.erase(worst);
    }
    std::set_symmetric_difference(held_.begin(), held_.end(), held.begin(), held.end(),
                                  std::inserter(changed_, changed_.end()));
    held_ = std::move(held);
}

duration request_quarantine::held_for(const request_digest& request, time_point now) const {
    duration least = rules_.hold_time;
    const auto [begin, end] = range_of(request);
    for (auto it = begin; it != end; ++it) {
        least = std::min(least, it->second.at + rules_.hold_time - now);
    }
    return std::max(least, duration{});
}

std::vector<request_digest> request_quarantine::take_changes() {
    std::vector<request_digest> out(changed_.begin(), changed_.end());
    changed_.clear();
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
