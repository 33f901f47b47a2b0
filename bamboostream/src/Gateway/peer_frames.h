#pragma once

#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/request_digest.h"
#include "bamboostream/src/Forwarding/active_streams.h"
#include "bamboostream/src/Forwarding/engine_choice.h"
#include "bamboostream/src/Gateway/deployment_contract.h"
#include "bamboostream/src/Limits/workspace_shares.h"
#include "bamboostream/src/Links/generated/wire_generated.h"
#include "bamboostream/src/Membership/backend_registry.h"
#include "bamboostream/src/Routing/load_table.h"
#include "bamboostream/src/Routing/outcome_collector.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace bamboostream {

// Conversions between the gateway's types and the frames on the links between gateways. Points in
// time are sent as remaining times or ages, since clocks of instances aren't compared.

std::unique_ptr<wire::BackendFactT> to_wire(const registered_backend& backend, time_point now);
registered_backend from_wire(const wire::BackendFactT& fact, time_point now);
/// The point in time described by the age in a frame that is received now. Returns nothing for the
/// age that stands for "unknown": interpreted as a time long ago it would look like an outage of
/// the store.
std::optional<time_point> time_from_age(std::uint32_t age_to_wire, time_point now);

/// Cordons are sent with the position up to which they hold; zero for an instance that doesn't know
/// any.
std::vector<std::string> to_wire(const std::set<failure_domain_id>& domains);
cordoned_domains cordons_from_wire(std::span<const std::string> domains, std::uint64_t position);

wire::LoadReportT to_wire(std::span<const backend_work_entry> own,
                          std::span<const backend_outcomes> outcomes,
                          std::span<const backend_pace> paces = {});
std::vector<backend_work_entry> from_wire(const wire::LoadReportT& report);
std::vector<wire::WorkspaceEntry> to_wire(std::span<const workspace_holding> holdings);
std::vector<workspace_holding> workspaces_from_wire(const wire::LoadReportT& report);
std::vector<backend_outcomes> outcomes_from_wire(const wire::LoadReportT& report);
std::vector<backend_pace> paces_from_wire(const wire::LoadReportT& report);

wire::AdmitRequestT to_wire(const engine_request& request);
/// The engines' memory size isn't sent; the receiver takes it from its own configuration.
engine_request from_wire(const wire::AdmitRequestT& request);
wire::AdmitReplyT to_wire(const engine_choice& choice);
/// `engine` is the receiver's own record of the engine that the reply names.
engine_choice from_wire(const wire::AdmitReplyT& reply, const registered_backend& engine);

wire::MovableReplyT to_wire(std::span<const movable_generation> generations);
std::vector<movable_generation> from_wire(const wire::MovableReplyT& reply);

std::unique_ptr<wire::OriginEntryT> to_wire(const request_digest& stream,
                                            const stream_origin& origin, duration keep);
stream_origin origin_from_wire(const wire::OriginEntryT& entry);

wire::MoveNoticeT to_wire(const std::string& generation, const move_notice& notice);
move_notice from_wire(const wire::MoveNoticeT& message);

} // namespace bamboostream
