#include "bamboostream/src/Control/frames.h"

#include "bamboostream/src/Core/clamped_cast.h"

#include <algorithm>

namespace bamboostream {

namespace {
constexpr std::uint8_t leaving_bit = 0x80;
constexpr std::uint8_t answered_before_mark = 1;
constexpr std::uint8_t on_trial_mark = 2;
constexpr std::uint8_t shared_mark = 4;
/// The upper marks hold the attempts that don't fit into their own field.
constexpr unsigned upper_attempts_shift = 3;
constexpr unsigned attempts_in_field = 8;
/// Limits what a damaged report can make an instance remember.
constexpr std::size_t max_parts_per_request = 32;

std::uint8_t marks_of(const crash_evidence& evidence) {
    return static_cast<std::uint8_t>(
        (evidence.answered_before ? answered_before_mark : 0) |
        (evidence.on_trial ? on_trial_mark : 0) | (evidence.shared ? shared_mark : 0) |
        (evidence.attempts >> attempts_in_field) << upper_attempts_shift);
}

std::uint16_t attempts_of(const wire::HarmEntry& entry) {
    const unsigned upper = static_cast<unsigned>(entry.marks()) >> upper_attempts_shift;
    return static_cast<std::uint16_t>(entry.attempts() | (upper << attempts_in_field));
}
} // namespace

std::unique_ptr<wire::MemberFactT> to_wire(const member_facts& facts) {
    auto out = std::make_unique<wire::MemberFactT>();
    out->address = facts.id.address;
    out->start_stamp = facts.id.start_stamp;
    out->caller_address = facts.caller_address;
    out->operator_address = facts.operator_address;
    out->failure_domain = facts.failure_domain.text();
    out->incarnation = facts.incarnation;
    out->state = static_cast<std::uint8_t>(static_cast<std::uint8_t>(facts.state) |
                                           (facts.leaving ? leaving_bit : 0));
    out->busy_permille = facts.busy_permille;
    out->configuration_version = facts.configuration_version;
    out->capacity = facts.capacity;
    out->ended = facts.ended;
    return out;
}

member_facts from_wire(const wire::MemberFactT& fact) {
    member_facts out;
    out.id = {fact.address, fact.start_stamp};
    out.caller_address = fact.caller_address;
    out.operator_address = fact.operator_address;
    out.failure_domain = failure_domain_id(fact.failure_domain);
    out.incarnation = fact.incarnation;
    out.state = static_cast<liveness>(std::min<int>(fact.state & ~leaving_bit, 2));
    out.leaving = (fact.state & leaving_bit) != 0;
    out.busy_permille = fact.busy_permille;
    out.configuration_version = fact.configuration_version;
    out.capacity = fact.capacity;
    out.ended = fact.ended;
    return out;
}

wire::ProbeT to_wire(const member_gossip& gossip) {
    wire::ProbeT out;
    for (const member_facts& facts : gossip.facts) {
        out.members.push_back(to_wire(facts));
    }
    out.summary = gossip.summary;
    out.keys = gossip.keys;
    return out;
}

member_gossip from_wire(const wire::ProbeT& probe) {
    member_gossip out;
    for (const auto& fact : probe.members) {
        out.facts.push_back(from_wire(*fact));
    }
    out.summary = probe.summary;
    out.keys = probe.keys;
    return out;
}

std::uint32_t age_to_wire(duration age) {
    constexpr milliseconds longest{std::numeric_limits<std::uint32_t>::max()};
    return clamped_cast<std::uint32_t>(to_milliseconds(std::min(age, duration(longest))));
}

wire::HarmReportT to_wire(std::span<const crash_evidence> evidence, time_point now) {
    wire::HarmReportT report;
    for (const crash_evidence& it : evidence) {
        report.entries.emplace_back(it.request.high, it.request.low, it.server, it.caller,
                                    age_to_wire(now - it.at), it.answering, it.cleared,
                                    marks_of(it), static_cast<std::uint8_t>(it.attempts));
        if (!it.parts.empty()) {
            auto parts = std::make_unique<wire::HarmPartsT>();
            parts->entry = static_cast<std::uint32_t>(report.entries.size() - 1);
            parts->streamed_ms = age_to_wire(it.streamed_for);
            for (const request_digest& part : it.parts) {
                parts->parts.emplace_back(part.high, part.low);
            }
            report.parts.push_back(std::move(parts));
        }
    }
    return report;
}

std::vector<crash_evidence> from_wire(const wire::HarmReportT& report, time_point now) {
    std::vector<crash_evidence> out;
    for (const wire::HarmEntry& entry : report.entries) {
        out.push_back({{entry.high(), entry.low()},
                       entry.server(),
                       entry.caller(),
                       now - milliseconds(entry.age_ms()),
                       entry.answering(),
                       entry.cleared(),
                       (entry.marks() & answered_before_mark) != 0,
                       (entry.marks() & on_trial_mark) != 0,
                       (entry.marks() & shared_mark) != 0,
                       attempts_of(entry)});
    }
    for (const auto& it : report.parts) {
        if (it == nullptr || it->entry >= out.size()) {
            continue;
        }
        crash_evidence& evidence = out[it->entry];
        evidence.streamed_for = milliseconds(it->streamed_ms);
        const std::size_t count = std::min(it->parts.size(), max_parts_per_request);
        for (std::size_t i = 0; i < count && evidence.parts.size() < count; ++i) {
            evidence.parts.push_back({it->parts[i].high(), it->parts[i].low()});
        }
    }
    return out;
}

void add_part_answers(wire::HarmReportT& report, std::span<const part_answer> answers,
                      time_point now) {
    for (const part_answer& it : answers) {
        report.part_answers.emplace_back(it.part.high, it.part.low, age_to_wire(now - it.at));
    }
}

std::vector<part_answer> part_answers_of(const wire::HarmReportT& report, time_point now) {
    std::vector<part_answer> out;
    for (const wire::PartAnswer& it : report.part_answers) {
        out.push_back({{it.high(), it.low()}, now - milliseconds(it.age_ms())});
    }
    return out;
}

} // namespace bamboostream
