#include "bamboostream/src/Gateway/owner_scheduler.h"

#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Gateway/peer_frames.h"

#include <algorithm>
#include <set>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// The owner, and a standby that takes over at once when the owner doesn't answer.
constexpr std::size_t owners_per_service = 2;
/// An owner answers in about 2 ms. One that is busy, or whose packet was lost, is not worth waiting
/// for longer than a twentieth of the 1.5 s in which callers expect their first event.
constexpr milliseconds owner_timeout{75};
/// An owner that didn't answer is asked again after this time. If it is dead, that is known by
/// then.
constexpr milliseconds silent_owner_pause{1'000};
constexpr milliseconds pace_update_period{1'000};

} // namespace

std::vector<std::string> owner_scheduler::owners(const service_id& service) const {
    return membership_.owners(service.text(), owners_per_service);
}

bool owner_scheduler::is_unresponsive(const std::string& owner, time_point now) const {
    const auto found = unresponsive_until_.find(owner);
    return found != unresponsive_until_.end() && now < found->second;
}

std::vector<std::string> owner_scheduler::load_report_recipients() const {
    std::set<std::string> out;
    if (forwarding_.routes) {
        for (const service_rule& service : forwarding_.routes->configuration().services) {
            if (service.engine) {
                const std::vector<std::string> recipients = owners(service.id);
                out.insert(recipients.begin(), recipients.end());
            }
        }
    }
    out.erase(membership_.own_address());
    return {out.begin(), out.end()};
}

std::vector<workspace_holding> owner_scheduler::own_holdings() const {
    std::vector<workspace_holding> out;
    if (forwarding_.routes) {
        for (const service_rule& service : forwarding_.routes->configuration().services) {
            if (service.engine && forwarding_.is_contended(service.id)) {
                forwarding_.shares.append_own(service.id, out);
            }
        }
    }
    return out;
}

void owner_scheduler::hear_workspaces(const wire::LoadReportT& report, const std::string& sender,
                                      time_point now) {
    const std::vector<workspace_holding> holdings = workspaces_from_wire(report);
    forwarding_.shares.hear(sender, holdings, now);
    if (holdings.empty() || !forwarding_.routes) {
        return;
    }
    // Instances report holdings only of services whose memory is contended.
    for (const service_rule& service : forwarding_.routes->configuration().services) {
        const std::uint64_t hash = make_share_key(service.id, {}).service;
        if (std::any_of(holdings.begin(), holdings.end(),
                        [hash](const auto& it) { return it.key.service == hash; })) {
            forwarding_.contended_services.insert(service.id);
        }
    }
}

void owner_scheduler::hear(const wire::LoadReportT& report, const std::string& sender) {
    const time_point now = monotonic_now();
    forwarding_.loads.hear(sender, from_wire(report), now);
    hear_workspaces(report, sender, now);
    for (const backend_outcomes& reported : outcomes_from_wire(report)) {
        const registered_backend* engine =
            forwarding_.registry.find_if([&reported](const registered_backend& it) {
                return backend_hash(it.id) == reported.backend;
            });
        if (engine != nullptr) {
            const std::size_t group = forwarding_.registry.usable(engine->service).size();
            forwarding_.picker.note(engine->id, reported.succeeded, reported.failed, group, now);
            forwarding_.prefill.note(engine->service, reported.backend,
                                     {static_cast<double>(reported.prefill_tokens),
                                      static_cast<double>(reported.prefill_ms)});
        }
    }
    note_paces(report, now);
}

void owner_scheduler::note_paces(const wire::LoadReportT& report, time_point now) {
    for (const backend_pace& reported : paces_from_wire(report)) {
        // Looking a server up in the registry takes time in proportion to the number of servers.
        const service_id* service = forwarding_.pace.service_of(reported.backend);
        if (service == nullptr) {
            const registered_backend* engine =
                forwarding_.registry.find_if([&reported](const registered_backend& it) {
                    return backend_hash(it.id) == reported.backend;
                });
            if (engine == nullptr) {
                continue;
            }
            service = &engine->service;
        }
        forwarding_.server_loads.set_reports_host_load(*service);
        forwarding_.pace.observe_host(*service, reported.backend, reported.host_percent, now);
        forwarding_.pace.observe(*service, reported.backend, reported.sample, now);
    }
}

asio::awaitable<std::optional<engine_choice>>
owner_scheduler::choose(const engine_request& request) {
    // The owner may not know yet which engines are excluded here.
    engine_request asked = request;
    for (const registered_backend* engine : forwarding_.registry.usable(request.service)) {
        if (forwarding_.picker.is_excluded(engine->id, monotonic_now())) {
            asked.avoid.push_back(engine->id);
        }
    }
    for (const std::string& owner : owners(request.service)) {
        if (owner == membership_.own_address()) {
            co_return std::nullopt;
        }
        if (is_unresponsive(owner, monotonic_now())) {
            continue;
        }
        link_failure why;
        const auto reply =
            co_await links_.call(owner, make_frame(to_wire(asked)), owner_timeout, why);
        if (!reply || reply->message.type != wire::Message::AdmitReply) {
            const time_point now = monotonic_now();
            std::erase_if(unresponsive_until_,
                          [now](const auto& item) { return now >= item.second; });
            unresponsive_until_[owner] = now + silent_owner_pause;
            ++forwarding_.counters.owner_timeouts;
            continue;
        }
        const wire::AdmitReplyT& answer = *reply->message.AsAdmitReply();
        // An engine that takes no work according to this instance isn't used even if the owner
        // chooses it: the owner's view may be older, or it doesn't know software versions.
        const registered_backend* engine = forwarding_.registry.find(backend_id(answer.backend));
        const bool fits =
            engine != nullptr && (request.version.empty() || engine->version == request.version);
        if (!fits || !forwarding_.registry.takes_work(engine->id)) {
            co_return std::nullopt;
        }
        ++forwarding_.counters.placed_by_owner;
        co_return from_wire(answer, *engine);
    }
    co_return std::nullopt;
}

sender_role owner_scheduler::role(const service_id& service) const {
    return forwarding_.cold_starts.role(service, monotonic_now());
}

void owner_scheduler::update_roles(time_point now) {
    if (!forwarding_.routes) {
        return;
    }
    for (const service_rule& service : forwarding_.routes->configuration().services) {
        if (!service.engine) {
            continue;
        }
        const std::vector<std::string> order = owners(service.id);
        const auto own = std::find(order.begin(), order.end(), membership_.own_address());
        const sender_role role = own == order.end()     ? sender_role::fallback
                                 : own == order.begin() ? sender_role::owner
                                                        : sender_role::standby;
        forwarding_.cold_starts.update_role(service.id, role, now);
        forwarding_.shares.set_chooses(service.id, role != sender_role::fallback,
                                       forwarding_.live_instances <= 1, now);
    }
}

void owner_scheduler::update_slow_servers(time_point now) {
    if (!forwarding_.routes || now < next_pace_update_) {
        return;
    }
    next_pace_update_ = now + pace_update_period;
    for (const service_rule& service : forwarding_.routes->configuration().services) {
        if (!service.engine || !forwarding_.server_loads.reports_host_load(service.id)) {
            continue;
        }
        const bool is_owner = forwarding_.cold_starts.role(service.id, now) == sender_role::owner;
        for (const server_pace::change& it : forwarding_.pace.take_changes(service.id)) {
            const registered_backend* engine =
                forwarding_.registry.find_if([&it](const registered_backend& known) {
                    return backend_hash(known.id) == it.server;
                });
            if (is_owner && engine != nullptr) {
                log_event(it.slow ? events::server_slow : events::server_recovered,
                          "service={} backend={} pace_ms={:.1f} median_ms={:.1f}",
                          service.id.text(), engine->id.text(), it.ms_per_event, it.median_ms);
            }
        }
    }
}

std::unique_ptr<wire::FrameT> owner_scheduler::answer(const wire::AdmitRequestT& request,
                                                      const std::string& sender) {
    const time_point now = monotonic_now();
    engine_request wanted = from_wire(request);
    const service_rule* service =
        forwarding_.routes ? forwarding_.routes->find_service(wanted.service) : nullptr;
    if (service == nullptr || !service->engine) {
        return make_reply(wire::AdmitReplyT{});
    }
    wanted.engine_memory_tokens = service->engine->memory_tokens;
    if (wanted.workspace) {
        forwarding_.contended_services.insert(wanted.service);
    }
    const engine_choice choice = choose_engine(forwarding_, wanted, role(wanted.service), now);
    if (choice.engine && choice.result == admission_result::admit) {
        forwarding_.loads.add_expected(sender, {backend_hash(choice.engine->id), wanted.work}, now);
        if (forwarding_.is_contended(wanted.service)) {
            forwarding_.shares.add_expected(
                sender,
                {make_share_key(wanted.service, wanted.workspace), wanted.work.memory_tokens}, now);
        }
    }
    return make_reply(to_wire(choice));
}

} // namespace bamboostream
