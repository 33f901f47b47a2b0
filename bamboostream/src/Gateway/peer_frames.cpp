#include "bamboostream/src/Gateway/peer_frames.h"

#include "bamboostream/src/Core/clamped_cast.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bamboostream {

namespace {

std::uint32_t tokens_on_wire(std::int64_t tokens) {
    constexpr std::uint32_t most = std::numeric_limits<std::int32_t>::max();
    return clamped_cast<std::uint32_t>(tokens, 0, most);
}

std::uint16_t short_on_wire(double value) {
    return clamped_cast<std::uint16_t>(value);
}

} // namespace

std::unique_ptr<wire::BackendFactT> to_wire(const registered_backend& backend, time_point now) {
    auto out = std::make_unique<wire::BackendFactT>();
    out->id = backend.id.text();
    out->address = backend.address;
    out->service = backend.service.text();
    out->failure_domain = backend.failure_domain.text();
    out->slots = backend.slots;
    out->started_ms = backend.started_ms;
    out->software_version = backend.version.text();
    out->leaving = backend.leaving;
    const duration slow_for = std::max(duration{}, backend.slow_until - now);
    out->slow_for_ms = clamped_cast<std::int32_t>(to_milliseconds(slow_for));
    return out;
}

registered_backend from_wire(const wire::BackendFactT& fact, time_point now) {
    registered_backend out;
    out.id = backend_id(fact.id);
    out.address = fact.address;
    out.service = service_id(fact.service);
    out.failure_domain = failure_domain_id(fact.failure_domain);
    out.slots = std::max(fact.slots, 1);
    out.started_ms = fact.started_ms;
    out.version = software_version(fact.software_version);
    out.leaving = fact.leaving;
    out.slow_until = now + milliseconds(std::max(fact.slow_for_ms, 0));
    return out;
}

std::optional<time_point> time_from_age(std::uint32_t age_to_wire, time_point now) {
    if (age_to_wire == std::numeric_limits<std::uint32_t>::max()) {
        return std::nullopt;
    }
    return now - milliseconds(age_to_wire);
}

std::vector<std::string> to_wire(const std::set<failure_domain_id>& domains) {
    std::vector<std::string> out;
    for (const failure_domain_id& domain : domains) {
        out.push_back(domain.text());
    }
    return out;
}

cordoned_domains cordons_from_wire(std::span<const std::string> domains, std::uint64_t position) {
    cordoned_domains out;
    out.position = static_cast<std::int64_t>(position);
    for (const std::string& domain : domains) {
        out.domains.emplace(domain);
    }
    return out;
}

std::vector<backend_work_entry> from_wire(const wire::LoadReportT& report) {
    std::vector<backend_work_entry> out;
    for (const wire::WorkEntry& entry : report.entries) {
        out.push_back(
            {entry.backend(), {entry.requests(), entry.memory_tokens(), entry.unread_tokens()}});
    }
    return out;
}

std::vector<wire::WorkspaceEntry> to_wire(std::span<const workspace_holding> holdings) {
    std::vector<wire::WorkspaceEntry> out;
    for (const workspace_holding& it : holdings) {
        out.emplace_back(it.key.service, it.key.workspace,
                         static_cast<std::int32_t>(tokens_on_wire(it.memory_tokens)));
    }
    return out;
}

std::vector<workspace_holding> workspaces_from_wire(const wire::LoadReportT& report) {
    std::vector<workspace_holding> out;
    for (const wire::WorkspaceEntry& it : report.workspaces) {
        out.push_back({{it.service(), it.workspace()}, std::max(it.memory_tokens(), 0)});
    }
    return out;
}

std::vector<backend_outcomes> outcomes_from_wire(const wire::LoadReportT& report) {
    std::vector<backend_outcomes> out;
    for (const wire::OutcomeEntry& entry : report.outcomes) {
        out.push_back({entry.backend(), entry.succeeded(), entry.failed()});
    }
    for (const wire::ReadingEntry& entry : report.readings) {
        out.push_back({entry.backend(), 0, 0, entry.tokens(), entry.ms()});
    }
    return out;
}

std::vector<backend_pace> paces_from_wire(const wire::LoadReportT& report) {
    std::vector<backend_pace> out;
    for (const wire::PaceEntry& entry : report.paces) {
        out.push_back(
            {entry.backend(),
             {static_cast<double>(entry.events()), static_cast<double>(entry.ms()),
              static_cast<double>(entry.late()), milliseconds(entry.pause_objective_ms())},
             entry.host_percent()});
    }
    return out;
}

wire::LoadReportT to_wire(std::span<const backend_work_entry> own,
                          std::span<const backend_outcomes> outcomes,
                          std::span<const backend_pace> paces) {
    wire::LoadReportT report;
    for (const backend_work_entry& entry : own) {
        report.entries.emplace_back(entry.backend, entry.work.requests,
                                    clamped_cast<std::int32_t>(entry.work.memory_tokens),
                                    clamped_cast<std::int32_t>(entry.work.unread_tokens));
    }
    for (const backend_outcomes& entry : outcomes) {
        if (entry.succeeded > 0 || entry.failed > 0) {
            report.outcomes.emplace_back(entry.backend, entry.succeeded, entry.failed);
        }
        if (entry.prefill_ms > 0) {
            report.readings.emplace_back(entry.backend, entry.prefill_tokens, entry.prefill_ms);
        }
    }
    for (const backend_pace& entry : paces) {
        report.paces.emplace_back(entry.backend,
                                  clamped_cast<std::uint32_t>(entry.sample.intervals),
                                  clamped_cast<std::uint32_t>(std::round(entry.sample.total_ms)),
                                  short_on_wire(entry.sample.late),
                                  short_on_wire(to_milliseconds(entry.sample.pause_objective)),
                                  short_on_wire(entry.host_percent));
    }
    return report;
}

wire::AdmitRequestT to_wire(const engine_request& request) {
    wire::AdmitRequestT out;
    out.pool = request.service.text();
    out.priority = static_cast<std::uint8_t>(std::clamp(request.priority, 0, 255));
    out.prompt_tokens = tokens_on_wire(request.work.unread_tokens);
    out.max_tokens = tokens_on_wire(request.work.memory_tokens - request.work.unread_tokens);
    out.objective_ms = age_to_wire(request.objective);
    out.failure_domain = request.preferred_domain.text();
    out.software_version = request.version.text();
    out.pause_objective_ms = age_to_wire(request.pause_objective);
    out.workspace = request.workspace ? request.workspace->text() : std::string();
    for (const backend_id& id : request.avoid) {
        out.avoid.push_back(id.text());
    }
    return out;
}

engine_request from_wire(const wire::AdmitRequestT& request) {
    engine_request out;
    out.service = service_id(request.pool);
    out.priority = request.priority;
    out.work.requests = 1;
    out.work.unread_tokens = request.prompt_tokens;
    out.work.memory_tokens = std::int64_t{request.prompt_tokens} + request.max_tokens;
    out.objective = milliseconds(request.objective_ms);
    out.preferred_domain = failure_domain_id(request.failure_domain);
    out.version = software_version(request.software_version);
    out.pause_objective = milliseconds(request.pause_objective_ms);
    if (!request.workspace.empty()) {
        out.workspace.emplace(request.workspace);
    }
    for (const std::string& id : request.avoid) {
        out.avoid.emplace_back(id);
    }
    return out;
}

wire::AdmitReplyT to_wire(const engine_choice& choice) {
    wire::AdmitReplyT out;
    out.granted = choice.engine && choice.result == admission_result::admit;
    out.backend = choice.engine ? choice.engine->id.text() : std::string();
    out.reason = static_cast<std::uint8_t>(choice.result);
    out.requests = tokens_on_wire(choice.work.requests);
    out.memory_tokens = tokens_on_wire(choice.work.memory_tokens);
    out.unread_tokens = tokens_on_wire(choice.work.unread_tokens);
    out.overload_ms = age_to_wire(choice.overload);
    out.permit = choice.has_permit;
    return out;
}

engine_choice from_wire(const wire::AdmitReplyT& reply, const registered_backend& engine) {
    constexpr auto last = static_cast<std::uint8_t>(admission_result::count_) - 1;
    return {engine,
            static_cast<admission_result>(std::min<int>(reply.reason, last)),
            {static_cast<int>(reply.requests), reply.memory_tokens, reply.unread_tokens},
            milliseconds(reply.overload_ms),
            reply.permit};
}

wire::MovableReplyT to_wire(std::span<const movable_generation> generations) {
    wire::MovableReplyT reply;
    for (const movable_generation& generation : generations) {
        auto item = std::make_unique<wire::MovableGenerationT>();
        item->id = generation.id;
        item->memory_tokens = generation.memory_tokens;
        item->tokens_left = generation.tokens_left;
        item->software_version = generation.version.text();
        item->priority = static_cast<std::uint8_t>(std::clamp(generation.priority, 0, 255));
        item->output_tokens = tokens_on_wire(generation.output_tokens);
        reply.generations.push_back(std::move(item));
    }
    return reply;
}

std::vector<movable_generation> from_wire(const wire::MovableReplyT& reply) {
    std::vector<movable_generation> out;
    for (const auto& item : reply.generations) {
        out.push_back({item->id, item->memory_tokens, item->tokens_left,
                       software_version(item->software_version), item->priority,
                       item->output_tokens});
    }
    return out;
}

std::unique_ptr<wire::OriginEntryT> to_wire(const request_digest& stream,
                                            const stream_origin& origin, duration keep) {
    auto out = std::make_unique<wire::OriginEntryT>();
    out->high = stream.high;
    out->low = stream.low;
    out->service = origin.service.text();
    out->software_version = origin.version.text();
    out->keep_ms = age_to_wire(keep);
    return out;
}

stream_origin origin_from_wire(const wire::OriginEntryT& entry) {
    return {service_id(entry.service), software_version(entry.software_version)};
}

wire::MoveNoticeT to_wire(const std::string& generation, const move_notice& notice) {
    wire::MoveNoticeT message;
    message.generation = generation;
    message.target = notice.target.text();
    message.target_address = notice.target_address;
    message.holder = notice.copy.holder;
    message.handle = notice.copy.handle;
    message.software_version = notice.target_version.text();
    return message;
}

move_notice from_wire(const wire::MoveNoticeT& message) {
    return {backend_id(message.target),
            message.target_address,
            {message.holder, message.handle},
            software_version(message.software_version)};
}

} // namespace bamboostream
