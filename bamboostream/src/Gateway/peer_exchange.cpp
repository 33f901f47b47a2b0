#include "bamboostream/src/Gateway/peer_exchange.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Gateway/peer_frames.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Work at engines is told as soon as it changes: instances that choose by a view 200 ms old all
/// send to the engine that was idle then, and prompts queue there while others are idle (in a crowd
/// of 45 prompts a second over 44 engines a third of the first events came after 1.5 s). Changes
/// within this time go out together.
constexpr milliseconds load_gather{4};
/// Repeats what was told, for instances that have joined or lost a frame, and tells of plain calls,
/// which end before the news of them would arrive.
constexpr milliseconds load_period{400};
/// Generations of an instance that doesn't answer by then are not moved in this round.
constexpr milliseconds gather_timeout{150};

/// Answers of several peers that are asked at once.
struct gathered_answers {
    explicit gathered_answers(asio::io_context& context) : complete(context) {}
    std::vector<move_candidate> candidates;
    std::size_t missing = 0;
    asio::steady_timer complete;
};

} // namespace

peer_exchange::peer_exchange(asio::io_context& context, link_hub& links,
                             membership_service& membership, forwarding_state& forwarding,
                             store_news& news, configuration_spread& spread, pool_owner& owner,
                             quarantine_exchange& quarantine)
    : context_(context), links_(links), membership_(membership), forwarding_(forwarding),
      news_(news), spread_(spread), owner_(owner), quarantine_(quarantine), load_due_(context) {}

void peer_exchange::start() {
    asio::co_spawn(context_, load_loop(), asio::detached);
}

asio::awaitable<void> peer_exchange::load_loop() {
    bool told_none = true;
    while (true) {
        const std::vector<backend_work_entry> own = forwarding_.loads.own();
        forwarding_.live_instances = membership_.usable_peers().size() + 1;
        forwarding_.cold_starts.note_instances(forwarding_.live_instances, monotonic_now());
        owner_.note_roles(monotonic_now());
        if (!own.empty() || !told_none) {
            links_.send_to_each(owner_.told_of_work(),
                                make_frame(to_wire(own, forwarding_.engine_outcomes.take())));
        }
        told_none = own.empty();
        co_await wait_on(load_due_, monotonic_now() + load_period);
        co_await pause_for(load_gather);
    }
}

std::unique_ptr<wire::FrameT> peer_exchange::answer_movable(const backend_id& backend) {
    return make_reply(to_wire(forwarding_.streams.claim_movable(backend)));
}

asio::awaitable<std::unique_ptr<wire::FrameT>>
peer_exchange::handle(std::unique_ptr<wire::FrameT> frame) {
    switch (frame->message.type) {
    case wire::Message::Probe:
        co_return co_await membership_.handle_probe(*frame->message.AsProbe(), frame->sender);
    case wire::Message::DocumentRequest:
        spread_.answer(*frame->message.AsDocumentRequest(), frame->sender);
        co_return nullptr;
    case wire::Message::DocumentPiece:
        spread_.take(*frame->message.AsDocumentPiece(), frame->sender);
        co_return nullptr;
    case wire::Message::BackendListRequest:
        co_return news_.answer_backends(*frame->message.AsBackendListRequest());
    case wire::Message::LoadReport:
        owner_.hear(*frame->message.AsLoadReport(), frame->sender);
        co_return nullptr;
    case wire::Message::AdmitRequest:
        co_return owner_.answer(*frame->message.AsAdmitRequest(), frame->sender);
    case wire::Message::MovableRequest:
        co_return answer_movable(backend_id(frame->message.AsMovableRequest()->backend));
    case wire::Message::StoreNews:
        news_.hear(frame->sender, frame->sender_start_stamp, *frame->message.AsStoreNews());
        co_return nullptr;
    case wire::Message::MoveNotice: {
        const wire::MoveNoticeT& notice = *frame->message.AsMoveNotice();
        forwarding_.streams.notify(notice.generation, from_wire(notice), monotonic_now());
        co_return nullptr;
    }
    case wire::Message::HarmReport:
        quarantine_.hear(*frame->message.AsHarmReport());
        co_return nullptr;
    case wire::Message::HarmRequest:
        co_return quarantine_.answer(*frame->message.AsHarmRequest());
    default:
        co_return nullptr;
    }
}

bool peer_exchange::drives(const service_id& service) const {
    const auto owners = membership_.owners(service.text(), 1);
    return owners.empty() || owners.front() == membership_.own_address();
}

asio::awaitable<std::vector<move_candidate>> peer_exchange::gather(backend_id backend) {
    auto answers = std::make_shared<gathered_answers>(context_);
    // Who has generations there has told so. Asking everybody costs the product of the instances
    // and the engines that leave.
    const std::vector<std::string> peers = forwarding_.loads.holders(backend, monotonic_now());
    answers->missing = peers.size();
    for (const std::string& peer : peers) {
        wire::MovableRequestT request;
        request.backend = backend.text();
        asio::co_spawn(
            context_,
            [this, answers, peer, request]() -> asio::awaitable<void> {
                link_failure why;
                const auto reply =
                    co_await links_.call(peer, make_frame(request), gather_timeout, why);
                if (reply && reply->message.type == wire::Message::MovableReply) {
                    for (auto& generation : from_wire(*reply->message.AsMovableReply())) {
                        answers->candidates.push_back({std::move(generation), peer});
                    }
                }
                if (--answers->missing == 0) {
                    answers->complete.cancel();
                }
            },
            asio::detached);
    }
    if (answers->missing > 0) {
        co_await wait_on(answers->complete, monotonic_now() + gather_timeout);
    }
    co_return answers->candidates;
}

void peer_exchange::tell(const std::string& instance, const std::string& generation,
                         const move_notice& notice) {
    links_.send(instance, make_frame(to_wire(generation, notice)));
}

} // namespace bamboostream
