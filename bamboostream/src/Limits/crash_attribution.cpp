#include "bamboostream/src/Limits/crash_attribution.h"

#include <algorithm>
#include <array>
#include <bit>
#include <string_view>
#include <tuple>
#include <utility>

namespace bamboostream {

namespace {

constexpr std::array verdict_names = {std::string_view("free"), std::string_view("deferred"),
                                      std::string_view("suspected"), std::string_view("contested"),
                                      std::string_view("confirmed")};
/// Limits the delay of a trial to some 20 minutes.
constexpr std::size_t max_trial_delay_doublings = 7;

} // namespace

std::string_view to_string(quarantine_verdict verdict) {
    return verdict_names[static_cast<std::size_t>(verdict)];
}

crash_attribution::crash_attribution(const crash_evidence_map& evidence,
                                     const quarantine_rules& rules, time_point now,
                                     const std::set<std::uint64_t>& explained)
    : rules_(rules), now_(now) {
    for (const auto& [key, crash] : evidence) {
        if (explained.contains(crash.server)) {
            continue;
        }
        if (suspects_.empty() || suspects_.back().request != crash.request) {
            suspects_.emplace_back().request = crash.request;
        }
        suspect& it = suspects_.back();
        it.answered_before = it.answered_before || crash.answered_before || crash.cleared;
        if (crash.cleared) {
            continue;
        }
        it.crashes.push_back(&crash);
        it.first = std::min(it.first, crash.at);
        it.last = std::max(it.last, crash.at);
        it.settles_at = std::max(it.settles_at, settles_at(crash));
        it.trials += crash.on_trial ? 1 : 0;
        by_server_[crash.server].push_back(suspects_.size() - 1);
    }
    for (suspect& it : suspects_) {
        if (is_candidate(it)) {
            it.attempts = most_attempts_of(it);
            it.popular = it.attempts >= rules_.min_popular_attempts;
        }
    }
}

std::size_t crash_attribution::most_attempts_of(const suspect& it) const {
    std::size_t most = 0;
    for (const crash_evidence* first : it.crashes) {
        std::uint16_t open = 0;
        for (const crash_evidence* crash : it.crashes) {
            const duration later = crash->at - first->at;
            if (!crash->on_trial && later >= duration{} && later <= rules_.common_cause_window) {
                open = static_cast<std::uint16_t>(open | crash->attempts);
            }
        }
        most = std::max(most, static_cast<std::size_t>(std::popcount(open)));
    }
    return most;
}

time_point crash_attribution::settles_at(const crash_evidence& crash) const {
    return std::max(crash.at, crash.found_at) + rules_.settling_time;
}

bool crash_attribution::is_candidate(const suspect& it) const {
    return it.crashes.size() >= rules_.servers && it.last - it.first > rules_.common_cause_window;
}

bool crash_attribution::is_rival(const suspect& other, const suspect& it) {
    return &other != &it && !other.answered_before && other.crashes.size() > (it.popular ? 0 : 1);
}

std::size_t crash_attribution::min_rival_crashes(const suspect& it) const {
    return it.popular && it.crashes.size() < rules_.max_disputed ? 1 : 2;
}

bool crash_attribution::has_rival(const suspect& it, const crash_evidence& crash,
                                  std::size_t min_crashes) const {
    const std::vector<std::size_t>& present = by_server_.at(crash.server);
    return std::any_of(present.begin(), present.end(), [&](std::size_t i) {
        return is_rival(suspects_[i], it) && suspects_[i].crashes.size() >= min_crashes;
    });
}

crash_attribution::certainty crash_attribution::certainty_of(const suspect& it) const {
    if (has_failed_trial(it)) {
        return certainty::settled;
    }
    if (it.answered_before) {
        return certainty::none;
    }
    std::size_t without_rival = 0;
    std::size_t settled = 0;
    bool only_suspect = false;
    for (const crash_evidence* crash : it.crashes) {
        if (!has_rival(it, *crash, min_rival_crashes(it))) {
            ++without_rival;
            if (now_ >= settles_at(*crash)) {
                ++settled;
                only_suspect = only_suspect || (!crash->shared && !it.popular);
            }
        }
    }
    if (only_suspect || settled >= rules_.servers) {
        return certainty::settled;
    }
    return without_rival >= rules_.servers ? certainty::unsettled : certainty::none;
}

bool crash_attribution::has_failed_trial(const suspect& it) const {
    if (it.popular && it.trials >= rules_.max_trials) {
        return true;
    }
    // The evidence against another request may be found late, or not at all.
    const duration delay = it.popular ? duration(rules_.deferral) : duration{};
    const auto failed =
        std::count_if(it.crashes.begin(), it.crashes.end(), [&](const crash_evidence* crash) {
            const bool settled = !it.popular || now_ >= settles_at(*crash) + delay;
            return crash->on_trial && settled &&
                   !has_rival(it, *crash, it.popular ? 1 : rules_.servers);
        });
    return failed >= (it.popular ? 2 : 1);
}

crash_attribution::evidence_weight crash_attribution::weight_of(const suspect& it) const {
    evidence_weight out;
    for (const crash_evidence* crash : it.crashes) {
        if (!attributed_.contains(crash->server)) {
            ++out.servers;
            out.answering += crash->answering ? 1 : 0;
        }
    }
    // A request that was on more than `servers` crashed servers, one of them without a held
    // request, is no bystander: otherwise two harmful requests could clear each other in turns.
    const bool repeated = it.crashes.size() > rules_.servers && out.servers > 0;
    return out.servers >= rules_.servers || repeated ? out : evidence_weight{};
}

void crash_attribution::confirm_clear_causes() {
    std::vector<suspect*> undecided;
    for (suspect& it : suspects_) {
        it.known = is_candidate(it) ? certainty_of(it) : certainty::none;
        if (it.known != certainty::none) {
            undecided.push_back(&it);
        }
    }
    while (!undecided.empty()) {
        const auto worst =
            std::max_element(undecided.begin(), undecided.end(), [&](const auto* a, const auto* b) {
                return std::pair(weight_of(*a), a->request) < std::pair(weight_of(*b), b->request);
            });
        suspect& it = **worst;
        if (weight_of(it).servers == 0) {
            break;
        }
        it.verdict = quarantine_verdict::confirmed;
        for (const crash_evidence* crash : it.crashes) {
            attributed_.insert(crash->server);
        }
        undecided.erase(worst);
    }
}

bool crash_attribution::is_explained(const suspect& it, const crash_evidence& crash) const {
    if (attributed_.contains(crash.server) ||
        (it.answered_before && has_rival(it, crash, min_rival_crashes(it)))) {
        return true;
    }
    // The trial of a request that many callers send decides first.
    const std::vector<std::size_t>& present = by_server_.at(crash.server);
    const bool awaits_trial =
        !it.popular && std::any_of(present.begin(), present.end(), [&](std::size_t i) {
            const suspect& other = suspects_[i];
            return other.popular && !other.answered_before &&
                   other.verdict != quarantine_verdict::confirmed &&
                   other.crashes.size() >= it.crashes.size();
        });
    if (awaits_trial) {
        return true;
    }
    // A request that waits for its turn on a server is less likely to crash it than one that runs.
    return !crash.answering && responding_.contains(crash.server);
}

void crash_attribution::classify_rest() {
    for (const suspect& it : suspects_) {
        for (const crash_evidence* crash : it.crashes) {
            if (crash->answering && !it.answered_before && is_candidate(it)) {
                responding_.insert(crash->server);
            }
        }
    }
    for (suspect& it : suspects_) {
        if (it.verdict != quarantine_verdict::free || !is_candidate(it)) {
            continue;
        }
        const auto unexplained =
            std::count_if(it.crashes.begin(), it.crashes.end(),
                          [&](const crash_evidence* crash) { return !is_explained(it, *crash); });
        // A crash during a trial speaks against a request that was never answered, even if others
        // may have caused it.
        const bool tried = it.trials > 0 && !it.answered_before;
        if (static_cast<std::size_t>(unexplained) >= rules_.servers || tried) {
            it.verdict = quarantine_verdict::contested;
        } else if (!it.answered_before) {
            it.verdict = quarantine_verdict::suspected;
        }
    }
}

void crash_attribution::defer_rivals() {
    for (const suspect& it : suspects_) {
        if (!it.popular || (it.verdict != quarantine_verdict::suspected &&
                            it.verdict != quarantine_verdict::contested)) {
            continue;
        }
        const time_point until = it.settles_at + rules_.deferral;
        for (const crash_evidence* crash : it.crashes) {
            for (const std::size_t i : by_server_.at(crash->server)) {
                suspect& other = suspects_[i];
                if (is_rival(other, it) && !other.popular) {
                    other.deferred_until = std::max(other.deferred_until, until);
                }
            }
        }
    }
    for (suspect& it : suspects_) {
        if (it.verdict == quarantine_verdict::free && it.deferred_until > now_) {
            it.verdict = quarantine_verdict::deferred;
        }
    }
}

bool crash_attribution::precedes(const suspect& a, const suspect& b) {
    if (a.popular && b.popular) {
        return std::tuple(b.trials / 2, a.attempts, a.request) >
               std::tuple(a.trials / 2, b.attempts, b.request);
    }
    return std::tuple(b.trials, a.crashes.size(), a.request) >
           std::tuple(a.trials, b.crashes.size(), b.request);
}

time_point crash_attribution::trial_due(const suspect& it) const {
    const time_point settled = it.settles_at;
    if (it.verdict == quarantine_verdict::deferred) {
        return it.deferred_until;
    }
    if (it.verdict == quarantine_verdict::suspected) {
        return std::max(settled, it.deferred_until);
    }
    if (it.trials > 0 && !it.popular) {
        const std::size_t doublings = std::min(it.trials - 1, max_trial_delay_doublings);
        return it.last + rules_.trial_delay * (1 << doublings);
    }
    if (it.answered_before || now_ < settled) {
        return settled;
    }
    const bool first =
        std::all_of(it.crashes.begin(), it.crashes.end(), [&](const crash_evidence* crash) {
            const std::vector<std::size_t>& present = by_server_.at(crash->server);
            return std::all_of(present.begin(), present.end(), [&](std::size_t i) {
                const suspect& other = suspects_[i];
                return !is_rival(other, it) || other.verdict == quarantine_verdict::confirmed ||
                       (it.popular && !other.popular) ||
                       (other.verdict == quarantine_verdict::contested && precedes(it, other));
            });
        });
    if (it.popular) {
        return first ? settled : settled + rules_.deferral;
    }
    return std::max(first ? settled : it.last + rules_.trial_delay, it.deferred_until);
}

std::vector<request_digest> crash_attribution::rivals_of(const suspect& it) const {
    std::set<request_digest> out;
    for (const crash_evidence* crash : it.crashes) {
        for (const std::size_t i : by_server_.at(crash->server)) {
            if (out.size() == suspect_state::max_rivals) {
                break;
            }
            if (is_rival(suspects_[i], it)) {
                out.insert(suspects_[i].request);
            }
        }
    }
    return {out.begin(), out.end()};
}

suspect_state crash_attribution::state_of(const suspect& it) const {
    suspect_state out;
    out.suspect = it.request;
    out.verdict = it.verdict;
    if (it.verdict == quarantine_verdict::confirmed && it.known == certainty::unsettled) {
        out.verdict = quarantine_verdict::contested;
    }
    out.next_decision = it.settles_at;
    if (now_ >= it.settles_at && it.popular) {
        out.next_decision = it.settles_at + rules_.deferral;
    }
    if (it.verdict == quarantine_verdict::deferred) {
        out.next_decision = it.deferred_until;
    }
    out.rivals = rivals_of(it);
    if (out.verdict != quarantine_verdict::confirmed) {
        out.trial_due = trial_due(it);
    }
    if (it.trials == 0 && out.verdict != quarantine_verdict::confirmed) {
        out.undecided_until = it.settles_at + rules_.deferral;
    }
    out.popular = it.popular && out.verdict != quarantine_verdict::confirmed;
    return out;
}

std::map<request_digest, suspect_state> crash_attribution::decide() {
    confirm_clear_causes();
    classify_rest();
    defer_rivals();
    std::map<request_digest, suspect_state> out;
    for (const suspect& it : suspects_) {
        if (it.verdict == quarantine_verdict::free) {
            continue;
        }
        out.emplace(it.request, state_of(it));
    }
    return out;
}

} // namespace bamboostream
