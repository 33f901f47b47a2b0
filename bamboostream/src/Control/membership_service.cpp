#include "bamboostream/src/Control/membership_service.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <fmt/format.h>
#include <iterator>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

const membership_timing gossip_timing{};
/// The cache is meant for the owners of pools, services and roles, which are few. Callers' keys are
/// many, and their homes are looked up only once or twice each.
constexpr std::size_t max_cached_owner_lists = 256;

const event_kind* event_of(const member_change& change) {
    if (!change.was_known) {
        return &events::member_joined;
    }
    if (change.left) {
        return &events::member_leaving;
    }
    switch (change.now.state) {
    case liveness::suspect:
        return &events::member_suspect;
    case liveness::gone:
        return &events::member_gone;
    case liveness::live:
        break;
    }
    return &events::member_joined;
}

const event_kind& event_of(const backend_change& change) {
    if (change.is_new) {
        return events::backend_joined;
    }
    switch (change.now.state) {
    case backend_state::leaving:
        return events::backend_leaving;
    case backend_state::down:
        return events::backend_down;
    case backend_state::loading:
        return events::backend_loading;
    case backend_state::live:
        break;
    }
    return events::backend_up;
}

} // namespace

membership_service::membership_service(asio::io_context& context, peer_links& links,
                                       std::unique_ptr<instance_list> list, member_facts self,
                                       timing times, std::uint64_t seed)
    : context_(context), links_(links), list_(std::move(list)), times_(times),
      members_(std::move(self), gossip_timing, seed), random_(seed + 1) {}

void membership_service::start() {
    asio::co_spawn(context_, list_loop(), log_exception);
    asio::co_spawn(context_, probe_loop(), log_exception);
    asio::co_spawn(context_, watch_loop(), log_exception);
}

asio::awaitable<void> membership_service::probe_loop() {
    while (true) {
        const time_point now = monotonic_now();
        for (std::string& peer : members_.choose_probes(now)) {
            asio::co_spawn(context_, probe_one(std::move(peer)), log_exception);
        }
        members_.expire(now);
        report_changes();
        co_await pause_for(members_.probe_pause());
    }
}

asio::awaitable<bool> membership_service::send_probe(std::string peer, std::string target,
                                                     milliseconds timeout, link_failure& why) {
    wire::ProbeT probe = to_wire(members_.probe_gossip());
    probe.target = target;
    auto reply = co_await links_.call(peer, make_frame(std::move(probe)), timeout, why);
    if (!reply || reply->message.type != wire::Message::Probe) {
        co_return false;
    }
    const wire::ProbeT& answer = *reply->message.AsProbe();
    const member_gossip answer_received = from_wire(answer);
    members_.hear(answer_received, reply->sender, monotonic_now());
    if (const auto missing = members_.gossip_missing_at(answer_received)) {
        links_.send(peer, make_frame(to_wire(*missing)));
    }
    // A helper that could not reach the target leaves it empty in the answer.
    co_return target.empty() || answer.target == target;
}

asio::awaitable<void> membership_service::probe_one(std::string peer) {
    const std::optional<member_facts> probed = members_.find(peer);
    link_failure why;
    if (co_await send_probe(peer, "", gossip_timing.probe_timeout, why)) {
        members_.probe_answered(peer, monotonic_now());
        co_return;
    }
    for (const std::string& helper : members_.choose_helpers(peer)) {
        link_failure ignored;
        if (co_await send_probe(helper, peer, gossip_timing.probe_timeout * 3 / 2, ignored)) {
            members_.probe_answered(peer, monotonic_now());
            co_return;
        }
    }
    members_.probe_failed(peer, monotonic_now());
    if (probed && why.code == link_error::refused) {
        members_.probe_refused(probed->id, monotonic_now());
    }
    report_changes();
}

asio::awaitable<std::unique_ptr<wire::FrameT>>
membership_service::handle_probe(const wire::ProbeT& probe, std::string sender) {
    const member_gossip received = from_wire(probe);
    members_.hear(received, sender, monotonic_now());
    const std::string target = probe.target;
    bool reached = false;
    if (!target.empty()) {
        link_failure ignored;
        reached = co_await send_probe(target, "", gossip_timing.probe_timeout, ignored);
    }
    wire::ProbeT answer = to_wire(members_.answer_gossip(received));
    answer.target = reached ? target : std::string{};
    report_changes();
    co_return make_reply(std::move(answer));
}

void membership_service::report_changes() {
    for (const member_change& change : members_.take_changes()) {
        log_event(*event_of(change), "instance={} start_stamp={} failure_domain={}",
                  change.now.id.address, change.now.id.start_stamp,
                  change.now.failure_domain.text());
    }
    if (members_.suspects_itself() != was_self_suspect_) {
        was_self_suspect_ = members_.suspects_itself();
        if (was_self_suspect_) {
            log_event(events::self_suspect, "members={}", members_.others().size());
        }
    }
    for (const backend_change& change : backends_.take_changes()) {
        log_event(event_of(change), "backend={} group={}", change.now.id.text(), change.now.group);
        if (backend_listener_) {
            backend_listener_(change);
        }
    }
}

asio::awaitable<void> membership_service::list_loop() {
    while (true) {
        list_failure why;
        const auto list = co_await list_->read(why);
        if (list) {
            members_.set_seeds(list->instances, monotonic_now());
            backends_.update_from_list(list->backends, monotonic_now());
            report_changes();
        } else if (!list_was_down_) {
            log_event(events::platform_list_unavailable, "reason={}", why.text);
        }
        list_was_down_ = !list;
        co_await pause_for(times_.list_period);
    }
}

asio::awaitable<void> membership_service::watch_loop() {
    while (true) {
        for (const backend_facts& backend : backends_.all()) {
            const bool is_watcher = backend.kind == backend_kind::plain_service || !watches_pool_ ||
                                    watches_pool_(backend.group);
            if (is_watcher) {
                asio::co_spawn(context_, watch_one(backend), log_exception);
            }
        }
        co_await pause_for(times_.watch_period);
    }
}

asio::awaitable<void> membership_service::watch_one(backend_facts backend) {
    engine_client client(context_.get_executor(), backend.id);
    engine_failure why;
    const auto status = co_await client.status(times_.watch_timeout, why);
    if (!status) {
        observe_failure(backend.id.text());
        co_return;
    }
    observe(backend.id.text(), status->start_stamp,
            status->leaving   ? backend_state::leaving
            : status->loading ? backend_state::loading
                              : backend_state::live);
    if (listener_) {
        listener_(backend, *status);
    }
}

void membership_service::observe(const std::string& backend, wall_time start_stamp,
                                 backend_state state) {
    backends_.observe(backend, start_stamp, state, monotonic_now());
    report_changes();
}

void membership_service::observe_failure(const std::string& backend) {
    backends_.observe_failure(backend, monotonic_now());
    report_changes();
}

directory_answer membership_service::directory(std::string_view near_domain) {
    return make_directory_answer(members_, near_domain, random_);
}

void membership_service::refresh_views() const {
    if (views_valid_ && views_revision_ == members_.revision()) {
        return;
    }
    views_valid_ = true;
    views_revision_ = members_.revision();
    owner_lists_.clear();
    usable_peers_.clear();
    nodes_.clear();
    failure_domains_.clear();
    const std::vector<member_facts> usable = members_.usable();
    std::uint32_t largest = 0;
    for (const member_facts& facts : usable) {
        largest = std::max(largest, facts.capacity);
    }
    for (const member_facts& facts : usable) {
        if (facts.id.address != own_address()) {
            usable_peers_.push_back(facts.id.address);
        }
        failure_domains_.insert(facts.failure_domain.text());
        nodes_.push_back({facts.id.address, facts.failure_domain.text(),
                          2 * std::uint64_t{facts.capacity} >= largest});
    }
}

const std::vector<std::string>& membership_service::usable_peers() const {
    refresh_views();
    return usable_peers_;
}

std::vector<std::string> membership_service::owners(std::string_view key, std::size_t count) const {
    return cached_owners(key, count, {});
}

std::vector<std::string> membership_service::owners_in(const std::string& failure_domain,
                                                       std::string_view key,
                                                       std::size_t count) const {
    return cached_owners(key, count, failure_domain);
}

std::vector<std::string> membership_service::cached_owners(std::string_view key, std::size_t count,
                                                           std::string_view failure_domain) const {
    refresh_views();
    std::string name = fmt::format("{} {} {}", count, failure_domain, key);
    const auto known = owner_lists_.find(name);
    if (known != owner_lists_.end()) {
        return known->second;
    }
    if (owner_lists_.size() >= max_cached_owner_lists) {
        owner_lists_.clear();
    }
    std::vector<rendezvous_node> candidates;
    std::copy_if(nodes_.begin(), nodes_.end(), std::back_inserter(candidates),
                 [&](const rendezvous_node& node) {
                     return failure_domain.empty() || node.failure_domain == failure_domain;
                 });
    return owner_lists_.emplace(std::move(name), rendezvous_owners(key, candidates, count))
        .first->second;
}

const std::set<std::string>& membership_service::failure_domains() const {
    refresh_views();
    return failure_domains_;
}

std::vector<std::string>
membership_service::usable_peers_in(std::string_view failure_domain) const {
    refresh_views();
    std::vector<std::string> out;
    for (const rendezvous_node& node : nodes_) {
        if (node.failure_domain == failure_domain && node.name != own_address()) {
            out.push_back(node.name);
        }
    }
    return out;
}

} // namespace bamboostream
