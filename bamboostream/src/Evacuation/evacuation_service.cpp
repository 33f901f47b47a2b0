#include "bamboostream/src/Evacuation/evacuation_service.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/event_log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Engines are gone about 2 s after the notice, at times many seconds later. While the servers of a
/// software version leave, one of the few targets may have room only then.
constexpr seconds max_evacuation_time{40};
/// Interval at which an engine is polled for generations that have begun since: a queued prompt
/// begins within this time.
constexpr milliseconds poll_period{100};
/// Number of polls in a row without a generation after which the engine counts as empty.
constexpr int max_empty_polls = 15;
/// A copy of 6,000 tokens between failure domains takes about 0.7 s. One that takes longer than
/// this is queued behind others, and the engine would be gone before it is done.
constexpr milliseconds first_copy_timeout{1'500};
/// The final part takes milliseconds unless another copy is ahead of it. The stream is paused
/// meanwhile, but it can't continue anywhere else, so a late end is better than none.
constexpr milliseconds final_copy_timeout{1'500};

/// Interval between two polls of an engine while the store is unreachable. Each costs as much as a
/// status check. A notice of 1.5 s leaves time for most moves after this.
constexpr milliseconds engine_poll_period{400};
constexpr milliseconds engine_poll_timeout{300};

} // namespace

void evacuation_service::start() {
    asio::co_spawn(context_, watch_loop(), asio::detached);
}

asio::awaitable<void> evacuation_service::watch_loop() {
    while (true) {
        co_await pause_for(engine_poll_period);
        take_over_delegated(monotonic_now());
        if (state_.registry.store_away() && state_.routes) {
            poll_engines();
        }
    }
}

void evacuation_service::poll_engines() {
    for (const service_rule& service : state_.routes->configuration().services) {
        if (!service.engine || !service.engine->moves || !peers_.coordinates(service.id)) {
            continue;
        }
        for (const registered_backend* backend : state_.registry.usable(service.id)) {
            asio::co_spawn(context_, poll_engine(*backend), asio::detached);
        }
    }
}

void evacuation_service::take_over_delegated(time_point now) {
    std::erase_if(delegated_, [&](const delegated_engine& engine) {
        return now - engine.since > max_evacuation_time || start_evacuation(engine.backend);
    });
}

asio::awaitable<void> evacuation_service::poll_engine(registered_backend backend) {
    const auto is_leaving = co_await mover_.is_leaving(backend.address, engine_poll_timeout);
    if (is_leaving.value_or(false)) {
        state_.registry.mark_leaving(backend.id);
        if (state_.on_registry_change) {
            state_.on_registry_change();
        }
    }
}

void evacuation_service::on_leaving(const registered_backend& backend) {
    const service_rule* service =
        state_.routes ? state_.routes->find_service(backend.service) : nullptr;
    const bool moves = service != nullptr && service->engine && service->engine->moves;
    if (moves && !start_evacuation(backend)) {
        delegated_.push_back({backend, monotonic_now()});
    }
}

void evacuation_service::on_restart(const backend_id& id) {
    evacuated_.erase(id);
    std::erase_if(delegated_,
                  [&id](const delegated_engine& engine) { return engine.backend.id == id; });
}

bool evacuation_service::start_evacuation(const registered_backend& backend) {
    if (!peers_.coordinates(backend.service)) {
        return false;
    }
    if (evacuated_.insert(backend.id).second) {
        asio::co_spawn(context_, evacuate(backend), asio::detached);
    }
    return true;
}

asio::awaitable<std::vector<move_candidate>>
evacuation_service::collect_movable(const backend_id& backend) {
    std::vector<move_candidate> out = co_await peers_.collect_movable(backend);
    for (const movable_generation& generation : state_.streams.claim_movable(backend)) {
        out.push_back({generation, {}});
    }
    co_return order_moves(std::move(out));
}

asio::awaitable<void> evacuation_service::evacuate(registered_backend source) {
    log_event(events::evacuation_started, "backend={} address={}", source.id.text(),
              source.address);
    const time_point until = monotonic_now() + max_evacuation_time;
    int empty_polls = 0;
    bool alive = true;
    while (alive && monotonic_now() < until && empty_polls < max_empty_polls) {
        const std::vector<move_candidate> found = co_await collect_movable(source.id);
        empty_polls = found.empty() ? empty_polls + 1 : 0;
        for (const move_candidate& candidate : found) {
            alive = alive && co_await move_one(source, candidate);
        }
        co_await pause_for(poll_period);
    }
}

std::vector<move_target> evacuation_service::targets(const stream_origin& origin) const {
    std::vector<move_target> out;
    const service_rule* rule = state_.routes->find_service(origin.service);
    if (rule == nullptr || !rule->engine) {
        return out;
    }
    const time_point now = monotonic_now();
    for (const registered_backend* backend :
         servers_with_capacity(state_, origin.service, own_role(state_, origin.service), now)) {
        const bool has_permit = expected_permit_wait(state_, *backend, 0, now) == duration{};
        if (has_permit && !busy_targets_.contains(backend->id)) {
            out.push_back({*backend, state_.loads.total(backend->id, now),
                           rule->engine->memory_tokens, rule->engine->slots,
                           origin.allows(*backend)});
        }
    }
    return out;
}

asio::awaitable<bool> evacuation_service::move_one(const registered_backend& source,
                                                   const move_candidate& candidate) {
    const software_version& begun_by = candidate.generation.version;
    const stream_origin origin{source.service, begun_by.empty() ? source.version : begun_by};
    std::vector<move_target> open = targets(origin);
    const service_rule* rule = state_.routes->find_service(source.service);
    const link_speed speed =
        rule && rule->engine ? link_speed{rule->engine->bytes_per_token, rule->engine->link_mbps}
                             : link_speed{};
    while (const auto index =
               choose_target(candidate.generation, source.failure_domain, speed, open)) {
        const registered_backend target = open[*index].backend;
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(*index));
        // Another engine may have begun a copy there while an earlier target refused this one.
        if (busy_targets_.contains(target.id) || !may_receive(target)) {
            continue;
        }
        busy_targets_.insert(target.id);
        const move_error error = co_await move_to(source, target, candidate);
        busy_targets_.erase(target.id);
        if (error != move_error::refused) {
            co_return error != move_error::unreachable;
        }
    }
    co_return true;
}

bool evacuation_service::may_receive(const registered_backend& target) const {
    const registered_backend* known = state_.registry.find(target.id);
    return known != nullptr && known->version == target.version &&
           state_.registry.takes_work(target.id);
}

/// A complete first copy is used even when its source went away before the rest was copied: the
/// target recomputes the tokens of the last moments, which takes milliseconds.
asio::awaitable<move_error> evacuation_service::move_to(const registered_backend& source,
                                                        const registered_backend& target,
                                                        const move_candidate& candidate) {
    const std::string& id = candidate.generation.id;
    move_failure why;
    const auto first =
        co_await mover_.move(source.address, id, target.address, false, first_copy_timeout, why);
    if (!first) {
        log_event(events::move_failed, "request={} source={} target={} reason={}", id,
                  source.id.text(), target.id.text(), why.text);
        co_return why.code;
    }
    // A first copy takes up to 1.5 s, in which the target may itself announce that it leaves. The
    // stream would go there up to 3 s after that announcement, when the target is gone. Until the
    // generation is stopped it may still go elsewhere, and after this check only the rest is
    // copied.
    if (!may_receive(target)) {
        log_event(events::move_failed, "request={} source={} target={} reason=target is leaving",
                  id, source.id.text(), target.id.text());
        co_return move_error::refused;
    }
    const auto last =
        co_await mover_.move(source.address, id, target.address, true, final_copy_timeout, why);
    const bool source_gone = !last && why.code == move_error::unreachable;
    if (!last) {
        log_event(events::move_failed, "request={} source={} target={} part=last reason={}", id,
                  source.id.text(), target.id.text(), why.text);
    }
    if (source_gone) {
        finish_move(source, candidate,
                    {target.id, target.address, {source.address, first->handle}, target.version});
    } else if (last && last->stopped) {
        // Never continue at an engine of a cordoned failure domain: little is missing from the
        // first copy.
        const bool to_target =
            last->copied || state_.registry.cordoned().contains(source.failure_domain);
        const registered_backend& destination = to_target ? target : source;
        const std::string& handle = to_target && !last->copied ? first->handle : last->handle;
        finish_move(
            source, candidate,
            {destination.id, destination.address, {source.address, handle}, destination.version});
    }
    co_return last ? move_error::none : why.code;
}

void evacuation_service::finish_move(const registered_backend& source,
                                     const move_candidate& candidate, const move_notice& notice) {
    log_event(events::generation_moved,
              "request={} source={} source_version={} target={} target_version={} instance={} "
              "memory_tokens={}",
              candidate.generation.id, notice.copy.holder, printable(source.version),
              notice.target.text(), printable(notice.target_version),
              candidate.instance.empty() ? "here" : candidate.instance,
              candidate.generation.memory_tokens);
    if (const registered_backend* target = state_.registry.find(notice.target)) {
        record_send(state_, *target, monotonic_now());
        if (state_.permits != nullptr) {
            state_.permits->record_unpermitted_send(*target, monotonic_now());
        }
    }
    if (candidate.instance.empty()) {
        state_.streams.notify(candidate.generation.id, notice, monotonic_now());
    } else {
        peers_.send_move_notice(candidate.instance, candidate.generation.id, notice);
    }
}

} // namespace bamboostream
