#pragma once

#include "bamboostream/src/Limits/request_quarantine.h"
#include "bamboostream/src/Links/generated/wire_generated.h"
#include "bamboostream/src/Membership/member_table.h"

#include <cstdint>
#include <memory>
#include <span>
#include <utility>
#include <vector>

namespace bamboostream {

/// Wraps a message in a frame.
template <class Message> wire::FrameT make_frame(Message message) {
    wire::FrameT frame;
    frame.message.Set(std::move(message));
    return frame;
}

/// Wraps a message in a reply frame, in the form that link handlers return.
template <class Message> std::unique_ptr<wire::FrameT> make_reply(Message message) {
    return std::make_unique<wire::FrameT>(make_frame(std::move(message)));
}

/// Conversion of member facts to and from their wire format.
std::unique_ptr<wire::MemberFactT> to_wire(const member_facts& facts);
member_facts from_wire(const wire::MemberFactT& fact);

/// Conversion of gossip to and from the wire format of probes and their answers.
wire::ProbeT to_wire(const member_gossip& gossip);
member_gossip from_wire(const wire::ProbeT& probe);

/// Converts an age to milliseconds. Ages are sent instead of points in time because the clocks of
/// instances are not comparable. The largest value means that there never was a view.
std::uint32_t age_to_wire(duration age);

/// Conversion of evidence against requests that end backend servers to and from its wire format.
/// Times are sent as ages relative to `now`.
wire::HarmReportT to_wire(std::span<const crash_evidence> evidence, time_point now);
std::vector<crash_evidence> from_wire(const wire::HarmReportT& report, time_point now);

/// Adds to a report what is known of answers to requests with parts of prompts, and reads it.
void add_part_answers(wire::HarmReportT& report, std::span<const part_answer> answers,
                      time_point now);
std::vector<part_answer> part_answers_of(const wire::HarmReportT& report, time_point now);

} // namespace bamboostream
