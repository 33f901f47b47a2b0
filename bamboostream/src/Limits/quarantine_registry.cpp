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

void quarantine_registry::add_local_evidence(crash_evidence evidence, time_point now) {
    evidence.cleared = evidence.cleared || recent_responses_.contains(evidence.request, now);
    evidence.answered_before =
        evidence.answered_before || recent_responses_.answered_before(evidence.request, now);
    take({&evidence, 1}, "own", now);
    announce(evidence);
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
    apply_changes("expired", now);
    settle(now);
}

void quarantine_registry::settle(time_point now) {
    quarantine_.settle(now);
    apply_changes("settled", now);
}

void quarantine_registry::clear_listeners() {
    on_evidence_ = nullptr;
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
    if (held.verdict == quarantine_verdict::contested) {
        out += fmt::format(" trial_in_ms={:.0f}",
                           std::max(0.0, to_milliseconds(held.trial_due - now)));
    }
    return out;
}

void quarantine_registry::apply_changes(std::string_view origin, time_point now) {
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
