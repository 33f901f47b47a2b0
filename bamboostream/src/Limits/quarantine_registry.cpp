#include "bamboostream/src/Limits/quarantine_registry.h"

#include "bamboostream/src/Core/event_log.h"

#include <algorithm>
#include <fmt/format.h>

namespace bamboostream {

namespace {

/// Largest size of a short request, target and body together.
constexpr std::size_t short_request_bytes = 512;

} // namespace

void quarantine_registry::take(std::span<const crash_evidence> evidence, std::string_view origin,
                               time_point now) {
    std::vector<crash_evidence> found(evidence.begin(), evidence.end());
    for (crash_evidence& it : found) {
        it.found_at = now;
    }
    if (quarantine_.add_evidence(found, now)) {
        apply_changes(origin, now);
    }
}

void quarantine_registry::take_answers(std::span<const part_answer> answers,
                                       std::string_view origin, time_point now) {
    if (quarantine_.add_part_answers(answers, now)) {
        apply_changes(origin, now);
    }
}

std::vector<part_answer>
quarantine_registry::remembered_answers(std::span<const request_digest> parts,
                                        time_point now) const {
    std::vector<part_answer> out;
    for (const request_digest& part : parts) {
        if (const auto at = recent_part_answers_.latest(part, now)) {
            out.push_back({part, *at});
        }
    }
    return out;
}

void quarantine_registry::add_part_answers(std::span<const part_answer> answers, time_point now) {
    if (!quarantine_.add_part_answers(answers, now) || !on_part_answer_) {
        return;
    }
    for (const part_answer& it : answers) {
        on_part_answer_(it);
    }
}

void quarantine_registry::note_part_answers(std::span<const request_digest> parts, time_point now) {
    for (const request_digest& part : parts) {
        recent_part_answers_.record(part, now);
    }
    std::vector<part_answer> answers;
    for (const request_digest& part : quarantine_.unanswered(parts)) {
        answers.push_back({part, now});
    }
    if (!answers.empty()) {
        add_part_answers(answers, now);
        apply_changes("answered", now);
    }
}

void quarantine_registry::check_held_parts(time_point now) {
    std::vector<part_answer> answers;
    for (const held_parts& held : quarantine_.all_held_parts()) {
        const std::vector<part_answer> remembered = remembered_answers(held.parts, now);
        answers.insert(answers.end(), remembered.begin(), remembered.end());
        const duration limit = held.streamed_for + quarantine_.rules().streaming_tolerance;
        const bool refuted =
            std::any_of(open_calls_.begin(), open_calls_.end(),
                        [&](const open_call* call) { return call->has_streamed(held, limit); });
        if (refuted) {
            for (const request_digest& part : held.parts) {
                answers.push_back({part, now});
            }
        }
    }
    add_part_answers(answers, now);
}

void quarantine_registry::add_local_evidence(crash_evidence evidence, time_point now) {
    evidence.cleared = evidence.cleared || recent_responses_.contains(evidence.request, now);
    evidence.answered_before =
        evidence.answered_before || recent_responses_.answered_before(evidence.request, now);
    take({&evidence, 1}, "own", now);
    announce(evidence);
    add_part_answers(remembered_answers(evidence.parts, now), now);
}

bool quarantine_registry::wants_answer(std::size_t request_bytes) const {
    return any() || request_bytes <= short_request_bytes;
}

void quarantine_registry::note_answer(const request_digest& request, time_point now) {
    recent_responses_.record(request, now);
    if (!quarantine_.clear(request, now)) {
        return;
    }
    apply_changes("answered", now);
    for (const crash_evidence& evidence : quarantine_.evidence_of(request)) {
        announce(evidence);
    }
}

void quarantine_registry::expire(time_point now) {
    quarantine_.expire(now);
    check_held_parts(now);
    apply_changes("expired", now);
    settle(now);
}

void quarantine_registry::settle(time_point now) {
    quarantine_.settle(now);
    apply_changes("settled", now);
}

void quarantine_registry::clear_listeners() {
    on_evidence_ = nullptr;
    on_part_answer_ = nullptr;
    on_change_ = nullptr;
    server_name_lookup_ = nullptr;
}

void quarantine_registry::announce(const crash_evidence& evidence) const {
    if (on_evidence_) {
        on_evidence_(evidence);
    }
}

std::string quarantine_registry::servers_of(const request_digest& request) const {
    std::string out;
    for (const crash_evidence& evidence : quarantine_.evidence_of(request)) {
        if (evidence.cleared) {
            continue;
        }
        const std::string name =
            server_name_lookup_ ? server_name_lookup_(evidence.server) : std::string();
        out += out.empty() ? "" : ",";
        out += name.empty() ? fmt::format("{:016x}", evidence.server) : name;
    }
    return out;
}

void quarantine_registry::withdraw(const request_digest& request) {
    for (open_call* call : open_calls_) {
        call->withdraw(request);
    }
}

/// What the decision to hold a request went by.
std::string quarantine_registry::describe(const request_digest& request, time_point now) const {
    const suspect_state& held = *quarantine_.find_suspect(request);
    std::string rivals;
    for (const request_digest& it : held.rivals) {
        rivals += (rivals.empty() ? "" : ",") + it.text();
    }
    std::string out = fmt::format("verdict={} servers={} rivals={}", to_string(held.verdict),
                                  servers_of(request), rivals.empty() ? "none" : rivals);
    if (const held_parts* parts = quarantine_.find_held_parts(request)) {
        std::string all;
        for (const request_digest& it : parts->parts) {
            all += (all.empty() ? "" : ",") + it.text();
        }
        out += fmt::format(" held_parts={} callers={}", all, parts->caller ? "one" : "all");
    }
    if (held.verdict == quarantine_verdict::contested) {
        out += fmt::format(" trial_in_ms={:.0f}",
                           std::max(0.0, to_milliseconds(held.trial_due - now)));
    }
    return out;
}

void quarantine_registry::apply_changes(std::string_view origin, time_point now) {
    if (quarantine_.has_changes()) {
        check_held_parts(now);
    }
    for (const auto& [request, before] : quarantine_.take_changes()) {
        if (holds(request)) {
            log_event(events::request_quarantined,
                      "digest={} {} held_for_ms={:.0f} last_evidence={}", request.text(),
                      describe(request, now), to_milliseconds(held_for(request, now)), origin);
            // An answer to an open attempt may still release a contested request.
            if (verdict(request) == quarantine_verdict::confirmed) {
                withdraw(request);
            }
        } else if (before >= quarantine_verdict::contested) {
            log_event(events::request_released, "digest={} verdict={} cause={}", request.text(),
                      to_string(verdict(request)), origin);
        }
        if (on_change_) {
            on_change_(request);
        }
    }
}

} // namespace bamboostream
