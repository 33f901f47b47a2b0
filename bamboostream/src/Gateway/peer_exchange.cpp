#include "bamboostream/src/Gateway/peer_exchange.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/digest.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Gateway/peer_frames.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <fmt/format.h>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Changes of the work at engines are reported at once: instances that choose by a view that is 200
/// ms old all send to the engine that was idle then, and prompts queue there while other engines
/// are idle (in a burst of 45 prompts per second over 44 engines, a third of the first events came
/// after 1.5 s). Changes within this time are sent together.
constexpr milliseconds load_batch_time{4};
/// Interval at which the last report is repeated, for instances that have joined or lost a frame.
/// It also reports plain calls, which end before a report of their own would arrive.
constexpr milliseconds load_period{400};
/// Generations of an instance that doesn't answer within this time are not moved in this round.
constexpr milliseconds collect_timeout{150};

/// Plain servers share this many owners of their permits: enough to spread the load, and few enough
/// for the cache of owners.
constexpr std::uint64_t issuer_key_count = 128;

/// The answers of several peers that are asked at the same time.
struct pending_answers {
    explicit pending_answers(asio::io_context& context) : complete(context) {}
    std::vector<move_candidate> candidates;
    std::size_t outstanding = 0;
    asio::steady_timer complete;
};

} // namespace

server_state_exchange::server_view view_of_servers(const forwarding_state& forwarding) {
    const auto is_reachable = [&forwarding](const registered_backend& server) {
        return !forwarding.reachability.is_cut_off(server.service, server.id);
    };
    server_state_exchange::server_view out;
    out.find = [&forwarding, is_reachable](const backend_id& id) -> std::optional<std::string> {
        const registered_backend* known = forwarding.registry.find(id);
        return known != nullptr && is_reachable(*known) ? std::optional(known->address)
                                                        : std::nullopt;
    };
    out.others = [&forwarding, is_reachable](const backend_id& except) {
        std::vector<server_address> others;
        for (const registered_backend& server : forwarding.registry.all()) {
            if (server.id != except && is_reachable(server)) {
                others.push_back({server.id, server.address});
            }
        }
        return others;
    };
    out.start_of = [&forwarding](const backend_id& id) {
        const registered_backend* known = forwarding.registry.find(id);
        return known != nullptr ? std::optional(known->started_ms) : std::nullopt;
    };
    return out;
}

rate_limit_exchange::key_function issuer_key(const forwarding_state& forwarding) {
    return [&forwarding](const registered_backend& server) {
        const service_rule* service =
            forwarding.routes ? forwarding.routes->find_service(server.service) : nullptr;
        if (service != nullptr && service->engine) {
            return server.service.text();
        }
        return fmt::format("permits {}", stable_hash(server.id.text()) % issuer_key_count);
    };
}

peer_exchange::peer_exchange(asio::io_context& context, peer_links& links,
                             membership_service& membership, forwarding_state& forwarding,
                             store_update_exchange& store_updates,
                             configuration_distributor& distributor, owner_scheduler& scheduler,
                             quarantine_exchange& quarantine, server_state_exchange& server_states,
                             stream_origin_exchange& origins, rate_limit_exchange& rate_limits)
    : context_(context), links_(links), membership_(membership), forwarding_(forwarding),
      store_updates_(store_updates), distributor_(distributor), owner_scheduler_(scheduler),
      quarantine_(quarantine), server_states_(server_states), origins_(origins),
      rate_limits_(rate_limits), load_due_(context) {}

void peer_exchange::start() {
    asio::co_spawn(context_, load_loop(), log_exception);
}

asio::awaitable<void> peer_exchange::load_loop() {
    bool reported_none = true;
    while (true) {
        const std::vector<backend_work_entry> own = forwarding_.loads.own();
        forwarding_.live_instances = membership_.usable_peers().size() + 1;
        forwarding_.cold_starts.update_instance_count(forwarding_.live_instances, monotonic_now());
        forwarding_.issuer.update_instance_count(
            forwarding_.live_instances, membership_.members().ended_processes(), monotonic_now());
        owner_scheduler_.update_roles(monotonic_now());
        owner_scheduler_.update_slow_servers(monotonic_now());
        if (!own.empty() || !reported_none) {
            wire::LoadReportT report = to_wire(own, forwarding_.engine_outcomes.take(),
                                               forwarding_.engine_outcomes.take_paces());
            report.workspaces = to_wire(owner_scheduler_.own_holdings());
            links_.send_to_each(owner_scheduler_.load_report_recipients(),
                                make_frame(std::move(report)));
        }
        reported_none = own.empty();
        co_await wait_on(load_due_, monotonic_now() + load_period);
        co_await pause_for(load_batch_time);
    }
}

std::unique_ptr<wire::FrameT> peer_exchange::answer_movable(const wire::FrameT& frame) {
    const wire::MovableRequestT& request = *frame.message.AsMovableRequest();
    const backend_id backend(request.backend);
    const time_point now = monotonic_now();
    std::vector<movable_generation> out = forwarding_.streams.list_movable(backend);
    if (!request.stopping.empty()) {
        std::erase_if(out, [&](const auto& it) { return it.id != request.stopping; });
    }
    for (const movable_generation& it : out) {
        if (!request.stopping.empty()) {
            forwarding_.streams.expect_stop(it.id, backend,
                                            now + milliseconds(request.stops_within_ms));
        } else if (!request.announces_stops) {
            forwarding_.streams.expect_stop(it.id, backend, time_point::max());
        }
    }
    return make_reply(to_wire(out));
}

asio::awaitable<std::unique_ptr<wire::FrameT>>
peer_exchange::handle(std::unique_ptr<wire::FrameT> frame) {
    switch (frame->message.type) {
    case wire::Message::Probe:
        co_return co_await membership_.handle_probe(*frame->message.AsProbe(), frame->sender);
    case wire::Message::DocumentRequest:
        distributor_.on_request(*frame->message.AsDocumentRequest(), frame->sender);
        co_return nullptr;
    case wire::Message::DocumentPiece:
        distributor_.on_piece(*frame->message.AsDocumentPiece(), frame->sender);
        co_return nullptr;
    case wire::Message::BackendListRequest:
        co_return store_updates_.answer_backends(*frame->message.AsBackendListRequest());
    case wire::Message::LoadReport:
        owner_scheduler_.hear(*frame->message.AsLoadReport(), frame->sender);
        co_return nullptr;
    case wire::Message::AdmitRequest:
        co_return owner_scheduler_.answer(*frame->message.AsAdmitRequest(), frame->sender);
    case wire::Message::MovableRequest:
        co_return answer_movable(*frame);
    case wire::Message::StoreNews:
        store_updates_.hear(frame->sender, frame->sender_start_stamp,
                            *frame->message.AsStoreNews());
        co_return nullptr;
    case wire::Message::MoveNotice: {
        const wire::MoveNoticeT& notice = *frame->message.AsMoveNotice();
        if (notice.target.empty()) {
            forwarding_.streams.cancel_stop(notice.generation);
        } else {
            forwarding_.streams.notify(notice.generation, from_wire(notice), monotonic_now());
        }
        co_return nullptr;
    }
    case wire::Message::HarmReport:
        quarantine_.hear(*frame->message.AsHarmReport());
        co_return nullptr;
    case wire::Message::HarmRequest:
        co_return quarantine_.answer(*frame->message.AsHarmRequest());
    case wire::Message::TrialRequest:
        co_return quarantine_.trials().answer(*frame->message.AsTrialRequest(), frame->sender);
    case wire::Message::ServerCheckRequest:
        co_return co_await server_states_.answer(*frame->message.AsServerCheckRequest());
    case wire::Message::OriginReport:
        origins_.hear(*frame->message.AsOriginReport());
        co_return nullptr;
    case wire::Message::OriginRequest:
        co_return origins_.answer(*frame->message.AsOriginRequest());
    case wire::Message::RateLimitReport:
        rate_limits_.hear(*frame->message.AsRateLimitReport());
        co_return nullptr;
    case wire::Message::RatePermitRequest:
        co_return rate_limits_.answer(*frame->message.AsRatePermitRequest());
    default:
        co_return nullptr;
    }
}

bool peer_exchange::coordinates(const service_id& service) const {
    const auto owners = membership_.owners(service.text(), 1);
    return owners.empty() || owners.front() == membership_.own_address();
}

asio::awaitable<std::vector<move_candidate>> peer_exchange::collect_movable(backend_id backend) {
    auto answers = std::make_shared<pending_answers>(context_);
    // Only instances that have reported generations there are asked. Asking every instance costs
    // the product of the number of instances and of leaving engines.
    const std::vector<std::string> peers =
        forwarding_.loads.peers_reporting(backend, monotonic_now());
    answers->outstanding = peers.size();
    for (const std::string& peer : peers) {
        wire::MovableRequestT request;
        request.backend = backend.text();
        request.announces_stops = true;
        asio::co_spawn(
            context_,
            [this, answers, peer, request]() -> asio::awaitable<void> {
                link_failure why;
                const auto reply =
                    co_await links_.call(peer, make_frame(request), collect_timeout, why);
                if (reply && reply->message.type == wire::Message::MovableReply) {
                    for (auto& generation : from_wire(*reply->message.AsMovableReply())) {
                        answers->candidates.push_back({std::move(generation), peer});
                    }
                }
                if (--answers->outstanding == 0) {
                    answers->complete.cancel();
                }
            },
            log_exception);
    }
    if (answers->outstanding > 0) {
        co_await wait_on(answers->complete, monotonic_now() + collect_timeout);
    }
    co_return answers->candidates;
}

asio::awaitable<bool> peer_exchange::expect_stop(std::string instance, backend_id backend,
                                                 std::string generation, milliseconds within) {
    wire::MovableRequestT request;
    request.backend = backend.text();
    request.announces_stops = true;
    request.stopping = generation;
    request.stops_within_ms = static_cast<std::uint32_t>(within.count());
    link_failure why;
    const auto reply = co_await links_.call(instance, make_frame(request), collect_timeout, why);
    bool is_running = false;
    if (reply && reply->message.type == wire::Message::MovableReply) {
        const auto running = from_wire(*reply->message.AsMovableReply());
        is_running = std::any_of(running.begin(), running.end(),
                                 [&](const auto& it) { return it.id == generation; });
    }
    co_return is_running;
}

void peer_exchange::cancel_stop(const std::string& instance, const std::string& generation) {
    links_.send(instance, make_frame(to_wire(generation, move_notice{})));
}

void peer_exchange::send_move_notice(const std::string& instance, const std::string& generation,
                                     const move_notice& notice) {
    links_.send(instance, make_frame(to_wire(generation, notice)));
}

} // namespace bamboostream
