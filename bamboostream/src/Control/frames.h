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

/// A frame around one message.
template <class Message> wire::FrameT make_frame(Message message) {
    wire::FrameT frame;
    frame.message.Set(std::move(message));
    return frame;
}

/// A reply frame around one message, as link handlers return it.
template <class Message> std::unique_ptr<wire::FrameT> make_reply(Message message) {
    return std::make_unique<wire::FrameT>(make_frame(std::move(message)));
}

/// Member facts as they travel.
std::unique_ptr<wire::MemberFactT> to_wire(const member_facts& facts);
member_facts from_wire(const wire::MemberFactT& fact);

/// Gossip as it travels in probes and their answers.
wire::ProbeT to_wire(const member_gossip& gossip);
member_gossip from_wire(const wire::ProbeT& probe);

/// Ages go as milliseconds, since clocks of instances aren't compared; the longest that a frame can
/// say stands for what was never known.
std::uint32_t age_to_wire(duration age);

/// Evidence against requests that end backend servers.
wire::HarmReportT to_wire(std::span<const harm_evidence> evidence, time_point now);
std::vector<harm_evidence> from_wire(const wire::HarmReportT& report, time_point now);

} // namespace bamboostream
