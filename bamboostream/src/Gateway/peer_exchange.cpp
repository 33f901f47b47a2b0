#include "bamboostream/src/Gateway/peer_exchange.h"

#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Control/periodic.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Gateway/peer_frames.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <limits>
#include <map>

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
/// How often an instance looks whether it lags behind its peers.
constexpr milliseconds catch_up_period{300};
constexpr milliseconds peer_timeout{500};
/// How often a reader of the store tells the others that its view is fresh; changes go out at once.
constexpr milliseconds news_period{300};
/// A view that is older than this is said to be stale: twice what it is at most while all is well.
constexpr milliseconds stale_after{3'000};
/// Generations of an instance that doesn't answer by then are not moved in this round.
constexpr milliseconds gather_timeout{150};

/// The longest that a frame can say stands for what was never known.
std::uint32_t age_on_wire(duration age) {
    constexpr milliseconds longest{std::numeric_limits<std::uint32_t>::max()};
    return static_cast<std::uint32_t>(to_milliseconds(std::min(age, duration(longest))));
}

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
                             deployment_state& state, store_follower& store, store_duty& duty)
    : context_(context), links_(links), membership_(membership), forwarding_(forwarding),
      state_(state), store_(store), duty_(duty), news_due_(context), load_due_(context) {}

void peer_exchange::start() {
    asio::co_spawn(context_, load_loop(), asio::detached);
    asio::co_spawn(context_, catch_up_loop(), asio::detached);
    asio::co_spawn(context_, news_loop(), asio::detached);
}

std::vector<std::string> peer_exchange::usable_peers() const {
    std::vector<std::string> out;
    for (const member_facts& facts : membership_.members().usable()) {
        if (facts.id.address != membership_.own_address()) {
            out.push_back(facts.id.address);
        }
    }
    return out;
}

asio::awaitable<void> peer_exchange::load_loop() {
    bool told_none = true;
    while (true) {
        const std::vector<backend_work_entry> own = forwarding_.loads.own();
        const std::vector<std::string> peers = usable_peers();
        forwarding_.live_instances = peers.size() + 1;
        if (!own.empty() || !told_none) {
            for (const std::string& peer : peers) {
                links_.send(peer, make_frame(to_wire(own)));
            }
        }
        told_none = own.empty();
        co_await wait_on(load_due_, monotonic_now() + load_period);
        co_await pause_for(load_gather);
    }
}

bool peer_exchange::reads_store() const {
    const auto owners = membership_.owners("store", store_duty::readers);
    return std::find(owners.begin(), owners.end(), membership_.own_address()) != owners.end();
}

void peer_exchange::note_change(const registry_change& change) {
    untold_.push_back(change);
    news_due_.cancel();
}

void peer_exchange::note_configuration() {
    news_due_.cancel();
}

/// A change goes out at once: a leaving engine's generations have some 2 s to move.
asio::awaitable<void> peer_exchange::news_loop() {
    while (true) {
        co_await wait_on(news_due_, monotonic_now() + news_period);
        tell_news();
    }
}

void peer_exchange::tell_news() {
    const std::int64_t previous = std::exchange(told_position_, state_.entries().position());
    const std::vector<registry_change> changes = std::exchange(untold_, {});
    // Without the store, whoever found out that an engine leaves tells it.
    const bool found_out = !changes.empty() && forwarding_.registry.store_away();
    if (!reads_store() && !found_out) {
        return;
    }
    const time_point now = monotonic_now();
    for (const std::string& peer : usable_peers()) {
        wire::StoreNewsT news;
        news.fresh = store_.fresh();
        news.configuration_version = state_.version();
        news.previous = static_cast<std::uint64_t>(previous);
        news.sequence = static_cast<std::uint64_t>(told_position_);
        news.entries_age_ms = age_on_wire(store_.own_age(record_topic::backend_entries, now));
        news.documents_age_ms = age_on_wire(store_.own_age(record_topic::operator_documents, now));
        for (const registry_change& change : changes) {
            auto fact = to_wire(change.backend, now);
            fact->gone = change.event == registry_event::gone;
            news.changed.push_back(std::move(fact));
        }
        links_.send(peer, make_frame(std::move(news)));
    }
}

/// What another instance knew some time ago is known here now that it has been told.
void peer_exchange::note_ages(const wire::StoreNewsT& news, time_point now) {
    if (static_cast<std::int64_t>(news.sequence) <= state_.entries().position()) {
        forwarding_.entries_view.known(now - milliseconds(news.entries_age_ms));
    }
    if (news.configuration_version <= state_.version()) {
        forwarding_.documents_view.known(now - milliseconds(news.documents_age_ms));
    }
}

void peer_exchange::watch_view(time_point now) {
    watch_topic("backend_entries", forwarding_.entries_view, entries_stale_, now);
    watch_topic("operator_documents", forwarding_.documents_view, documents_stale_, now);
}

void peer_exchange::watch_topic(std::string_view topic, const view_age& view, bool& stale,
                                time_point now) {
    const duration age = view.age(now);
    if (stale != (age > stale_after)) {
        stale = !stale;
        log_event(stale ? events::view_stale : events::view_fresh, "topic={} age_ms={:.0f}", topic,
                  to_milliseconds(std::min(age, duration(std::chrono::hours(1)))));
    }
}

void peer_exchange::hear_news(const std::string& sender, const wire::StoreNewsT& news) {
    const time_point now = monotonic_now();
    duty_.hear(news.fresh, news.configuration_version, now);
    // Leaving is believed from anyone: it is never taken back.
    for (const auto& fact : news.changed) {
        if (fact->leaving) {
            forwarding_.registry.mark_leaving(backend_id(fact->id), fact->started_ms);
        }
    }
    state_.report_changes(fact_source::telling, now);
    // What the store is being asked for would take back what is applied meanwhile.
    if (reads_store() || !news.fresh || store_.reads_entries_again()) {
        return;
    }
    const auto verdict = state_.entries().judge(static_cast<std::int64_t>(news.previous),
                                                static_cast<std::int64_t>(news.sequence));
    note_ages(news, now);
    switch (verdict) {
    case change_follower::verdict::known:
        forget_removed(news, now);
        return;
    case change_follower::verdict::ask_for_all:
        if (!store_.failing_since()) {
            store_.read_entries_again();
        } else {
            asio::co_spawn(context_, ask_backends(sender), asio::detached);
        }
        return;
    case change_follower::verdict::apply:
        break;
    }
    for (const auto& fact : news.changed) {
        if (fact->gone) {
            forwarding_.registry.forget(backend_id(fact->id));
        } else {
            forwarding_.registry.learn(from_wire(*fact, now), now);
        }
    }
    state_.report_changes(fact_source::telling, now);
}

void peer_exchange::forget_removed(const wire::StoreNewsT& news, time_point now) {
    if (!state_.entries().removal_holds(static_cast<std::int64_t>(news.sequence))) {
        return;
    }
    std::map<std::string, bool> removed;
    for (const auto& fact : news.changed) {
        removed[fact->id] = fact->gone;
    }
    for (const auto& [id, gone] : removed) {
        if (gone) {
            forwarding_.registry.forget(backend_id(id));
        }
    }
    state_.report_changes(fact_source::telling, now);
}

std::string peer_exchange::peer_with_newer_configuration() const {
    std::string best;
    std::int64_t version = state_.version();
    for (const member_facts& facts : membership_.members().others()) {
        if (facts.configuration_version > version && facts.state == liveness::live) {
            version = facts.configuration_version;
            best = facts.id.address;
        }
    }
    return best;
}

asio::awaitable<void> peer_exchange::catch_up_loop() {
    while (true) {
        const std::string ahead = peer_with_newer_configuration();
        if (!ahead.empty()) {
            co_await ask_configuration(ahead);
        }
        const auto failing = store_.failing_since();
        const std::vector<std::string> peers = usable_peers();
        if (failing && monotonic_now() - *failing > catch_up_period && !peers.empty()) {
            std::uniform_int_distribution<std::size_t> any(0, peers.size() - 1);
            const std::string& peer = peers[any(random_)];
            co_await ask_backends(peer);
            co_await ask_configuration(peer);
        }
        const time_point now = monotonic_now();
        forwarding_.registry.expire(now);
        watch_view(now);
        state_.report_changes(fact_source::grace, now);
        co_await pause_for(catch_up_period);
    }
}

asio::awaitable<void> peer_exchange::ask_configuration(std::string peer) {
    wire::ConfigurationRequestT request;
    request.newer_than = state_.version();
    link_failure why;
    const auto reply = co_await links_.call(peer, make_frame(request), peer_timeout, why);
    if (reply && reply->message.type == wire::Message::ConfigurationReply) {
        const wire::ConfigurationReplyT& answer = *reply->message.AsConfigurationReply();
        if (answer.version > state_.version()) {
            state_.take_configuration(answer.state, peer);
        }
    }
}

asio::awaitable<void> peer_exchange::ask_backends(std::string peer) {
    if (asking_for_all_) {
        co_return;
    }
    asking_for_all_ = true;
    link_failure why;
    const auto reply =
        co_await links_.call(peer, make_frame(wire::BackendListRequestT{}), peer_timeout, why);
    asking_for_all_ = false;
    if (!reply || reply->message.type != wire::Message::BackendList) {
        co_return;
    }
    const wire::BackendListT& list = *reply->message.AsBackendList();
    // Without the store a peer knows no more than this instance, unless this one knows nothing.
    if (!list.fresh && !forwarding_.registry.empty()) {
        co_return;
    }
    const time_point now = monotonic_now();
    std::vector<registered_backend> entries;
    for (const auto& fact : list.entries) {
        entries.push_back(from_wire(*fact, now));
    }
    if (!entries.empty()) {
        state_.take_peer_backends(entries, now);
        state_.entries().caught_up(static_cast<std::int64_t>(list.sequence));
    }
}

std::unique_ptr<wire::FrameT> peer_exchange::answer_backends() const {
    wire::BackendListT list;
    list.fresh = store_.fresh();
    list.sequence = static_cast<std::uint64_t>(state_.entries().position());
    const time_point now = monotonic_now();
    for (const registered_backend& backend : forwarding_.registry.all()) {
        list.entries.push_back(to_wire(backend, now));
    }
    return make_reply(std::move(list));
}

std::unique_ptr<wire::FrameT> peer_exchange::answer_configuration(std::int64_t newer_than) const {
    wire::ConfigurationReplyT answer;
    answer.version = state_.version();
    if (state_.version() > newer_than) {
        answer.state = state_.document();
    }
    return make_reply(std::move(answer));
}

std::unique_ptr<wire::FrameT> peer_exchange::answer_movable(const backend_id& backend) {
    return make_reply(to_wire(forwarding_.streams.claim_movable(backend)));
}

asio::awaitable<std::unique_ptr<wire::FrameT>>
peer_exchange::handle(std::unique_ptr<wire::FrameT> frame) {
    switch (frame->message.type) {
    case wire::Message::Probe:
        co_return co_await membership_.handle_probe(*frame->message.AsProbe(), frame->sender);
    case wire::Message::ConfigurationRequest:
        co_return answer_configuration(frame->message.AsConfigurationRequest()->newer_than);
    case wire::Message::BackendListRequest:
        co_return answer_backends();
    case wire::Message::LoadReport:
        forwarding_.loads.hear(frame->sender, from_wire(*frame->message.AsLoadReport()),
                               monotonic_now());
        co_return nullptr;
    case wire::Message::MovableRequest:
        co_return answer_movable(backend_id(frame->message.AsMovableRequest()->backend));
    case wire::Message::StoreNews:
        hear_news(frame->sender, *frame->message.AsStoreNews());
        co_return nullptr;
    case wire::Message::MoveNotice: {
        const wire::MoveNoticeT& notice = *frame->message.AsMoveNotice();
        forwarding_.streams.notify(notice.generation, from_wire(notice));
        co_return nullptr;
    }
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
    const std::vector<std::string> peers = usable_peers();
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
