#include "bamboostream/src/Limits/part_attribution.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace bamboostream {

namespace {

bool has_part(const crash_evidence& attempt, const request_digest& part) {
    return std::find(attempt.parts.begin(), attempt.parts.end(), part) != attempt.parts.end();
}

} // namespace

bool held_parts::applies_to(std::uint64_t from,
                            const std::vector<request_digest>& of_request) const {
    const bool same_caller = !caller || *caller == from;
    return same_caller && std::all_of(parts.begin(), parts.end(), [&](const request_digest& part) {
               return std::find(of_request.begin(), of_request.end(), part) != of_request.end();
           });
}

const suspect_state& held_parts::state_of(const std::vector<request_digest>& of_request) const {
    const bool has_rival =
        std::any_of(state.rivals.begin(), state.rivals.end(), [&](const request_digest& rival) {
            return std::find(of_request.begin(), of_request.end(), rival) != of_request.end();
        });
    return has_rival ? state_beside_rival : state;
}

part_attribution::part_attribution(const crash_evidence_map& evidence,
                                   const part_answer_map& answers, const quarantine_rules& rules,
                                   time_point now)
    : answers_(answers), rules_(rules), now_(now) {
    std::map<std::uint64_t, crash> by_server;
    for (const auto& [key, attempt] : evidence) {
        crash& of = by_server[attempt.server];
        of.server = attempt.server;
        of.at = std::min(of.at, attempt.at);
        of.found_at = std::min(of.found_at, std::max(attempt.at, attempt.found_at));
        of.attempts.push_back(&attempt);
    }
    for (auto& [server, of] : by_server) {
        const time_point settles_at = of.found_at + rules_.settling_time;
        if (now_ >= settles_at) {
            crashes_.push_back(std::move(of));
        } else {
            next_decision_ = std::min(next_decision_.value_or(settles_at), settles_at);
        }
    }
    std::sort(crashes_.begin(), crashes_.end(), [](const crash& a, const crash& b) {
        return std::tuple(a.at, a.server) < std::tuple(b.at, b.server);
    });
}

bool part_attribution::is_cleared(const request_digest& part, const crash& of) const {
    const auto answered = answers_.find(part);
    return answered != answers_.end() && answered->second >= of.at;
}

milliseconds part_attribution::streamed_for(const request_digest& part, const crash& of) {
    milliseconds least = milliseconds::max();
    for (const crash_evidence* attempt : of.attempts) {
        if (has_part(*attempt, part)) {
            least = std::min(least, attempt->streamed_for);
        }
    }
    return least;
}

bool part_attribution::is_regular(const request_digest& part) const {
    milliseconds shortest = milliseconds::max();
    milliseconds longest{0};
    for (const crash* of : by_part_.at(part)) {
        const milliseconds streamed = streamed_for(part, *of);
        shortest = std::min(shortest, streamed);
        longest = std::max(longest, streamed);
    }
    return longest - shortest <= rules_.streaming_tolerance;
}

std::size_t part_attribution::required_servers(const request_digest& part) const {
    const std::size_t required =
        was_answered(part) ? rules_.servers_of_answered_part : rules_.servers;
    return is_regular(part) ? required : required * rules_.irregular_factor;
}

void part_attribution::find_crashes_of_suspects() {
    by_part_.clear();
    by_request_.clear();
    for (const crash& of : crashes_) {
        if (attributed_.contains(&of)) {
            continue;
        }
        std::set<request_digest> parts;
        for (const crash_evidence* attempt : of.attempts) {
            parts.insert(attempt->parts.begin(), attempt->parts.end());
            if (!attempt->cleared) {
                by_request_[attempt->request].push_back(&of);
            }
        }
        for (const request_digest& part : parts) {
            if (!is_cleared(part, of)) {
                by_part_[part].push_back(&of);
            }
        }
    }
}

bool part_attribution::suffices(const crash_list& crashes, std::size_t required) const {
    return crashes.size() >= required &&
           crashes.back()->at - crashes.front()->at > rules_.common_cause_window;
}

bool part_attribution::is_frequent(const crash_list& crashes, std::size_t required) const {
    const auto meanwhile = std::count_if(crashes_.begin(), crashes_.end(), [&](const crash& of) {
        return !attributed_.contains(&of) && of.at >= crashes.front()->at &&
               of.at <= crashes.back()->at;
    });
    return static_cast<double>(crashes.size()) >=
               rules_.min_part_fraction * static_cast<double>(meanwhile) ||
           crashes.size() >= rules_.certain_part_factor * required;
}

const request_digest*
part_attribution::find_worst(const std::map<request_digest, crash_list>& suspects,
                             bool parts) const {
    const request_digest* worst = nullptr;
    const auto weight = [&](const request_digest& it) {
        return std::tuple(suspects.at(it).size(), parts && !was_answered(it), it);
    };
    for (const auto& [suspect, crashes] : suspects) {
        const std::size_t required = parts ? required_servers(suspect) : rules_.servers;
        const bool candidate =
            suffices(crashes, required) && (!parts || is_frequent(crashes, required));
        if (candidate && (worst == nullptr || weight(suspect) > weight(*worst))) {
            worst = &suspect;
        }
    }
    return worst;
}

bool part_attribution::always_together(const request_digest& part,
                                       const request_digest& other) const {
    const crash_list& crashes = by_part_.at(part);
    return std::all_of(crashes.begin(), crashes.end(), [&](const crash* of) {
        const bool together = std::any_of(
            of->attempts.begin(), of->attempts.end(), [&](const crash_evidence* attempt) {
                return has_part(*attempt, part) && has_part(*attempt, other);
            });
        return together && !is_cleared(other, *of);
    });
}

held_parts part_attribution::describe(const request_digest& part) const {
    held_parts out;
    for (const auto& [other, crashes] : by_part_) {
        if (other == part || always_together(part, other)) {
            out.parts.push_back(other);
        }
    }
    std::set<std::uint64_t> callers;
    for (const crash* of : by_part_.at(part)) {
        out.servers.insert(of->server);
        out.streamed_for = std::max(out.streamed_for, streamed_for(part, *of));
        for (const crash_evidence* attempt : of->attempts) {
            if (has_part(*attempt, part)) {
                callers.insert(attempt->caller);
            }
        }
    }
    if (callers.size() == 1) {
        out.caller = *callers.begin();
    }
    out.state.suspect = part;
    return out;
}

std::size_t part_attribution::trials_of(const held_parts& of) const {
    const crash_list& crashes = by_part_.at(of.state.suspect);
    return static_cast<std::size_t>(
        std::count_if(crashes.begin(), crashes.end(), [&](const crash* it) {
            return std::any_of(it->attempts.begin(), it->attempts.end(),
                               [&](const crash_evidence* attempt) {
                                   return attempt->on_trial && has_part(*attempt, of.state.suspect);
                               });
        }));
}

std::vector<request_digest> part_attribution::rivals_of(const held_parts& of) const {
    std::vector<request_digest> out;
    for (const auto& [part, crashes] : by_part_) {
        const auto shared = std::count_if(crashes.begin(), crashes.end(), [&](const crash* it) {
            return of.servers.contains(it->server);
        });
        const bool own = std::binary_search(of.parts.begin(), of.parts.end(), part);
        const bool explains_most =
            shared > 1 && static_cast<std::size_t>(shared) + 1 >= of.servers.size();
        if (!own && explains_most && out.size() < suspect_state::max_rivals) {
            out.push_back(part);
        }
    }
    return out;
}

void part_attribution::set_verdict(held_parts& out) const {
    suspect_state& state = out.state;
    const crash_list& crashes = by_part_.at(state.suspect);
    const std::size_t trials = trials_of(out);
    const bool answered = was_answered(state.suspect);
    state.rivals = rivals_of(out);
    const bool clear = !answered && state.rivals.empty() && out.parts.size() == 1 &&
                       crashes.size() >= rules_.servers_of_certain_part;
    state.verdict = clear || trials >= rules_.max_part_trials ? quarantine_verdict::confirmed
                                                              : quarantine_verdict::contested;
    if (state.verdict == quarantine_verdict::contested) {
        const duration delay = answered && trials == 0 ? duration(rules_.answered_part_trial_delay)
                                                       : duration(rules_.trial_delay);
        state.trial_due = crashes.back()->at + delay;
    }
    out.state_beside_rival = state;
    out.state_beside_rival.trial_due = time_point::max();
}

void part_attribution::attribute(const crash_list& crashes) {
    attributed_.insert(crashes.begin(), crashes.end());
}

std::vector<held_parts> part_attribution::decide() {
    std::vector<held_parts> out;
    while (true) {
        find_crashes_of_suspects();
        const request_digest* part = find_worst(by_part_, true);
        if (part == nullptr) {
            return out;
        }
        const request_digest* request = find_worst(by_request_, false);
        const crash_list crashes = by_part_.at(*part);
        if (request != nullptr && by_request_.at(*request).size() >= crashes.size()) {
            attribute(crash_list(by_request_.at(*request)));
            continue;
        }
        held_parts held = describe(*part);
        set_verdict(held);
        out.push_back(std::move(held));
        attribute(crashes);
    }
}

} // namespace bamboostream
