#include "bamboostream/src/Evacuation/evacuation_service.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/event_log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Engines are gone some 2 s after the notice, at times later; by then nothing is left to move.
constexpr seconds longest_evacuation{10};
/// Between two looks for generations that have begun since: a queued prompt begins within this.
constexpr milliseconds look_again{100};
/// Looks without a find after which the engine counts as empty.
constexpr int most_empty_looks = 15;
/// A copy of 6,000 tokens between failure domains takes some 0.7 s; one that takes longer is stuck
/// behind others, and the engine would be gone before it is done.
constexpr milliseconds copy_timeout{1'500};
/// The rest takes milliseconds unless another copy is before it. The stream stands still meanwhile,
/// but it can't go on anywhere else, so a late end is better than none.
constexpr milliseconds last_timeout{1'500};

/// Between two questions to an engine while the store is away. Each costs as a status check; a
/// notice of 1.5 s leaves time for most moves after this.
constexpr milliseconds ask_period{400};
constexpr milliseconds ask_timeout{300};

} // namespace

void evacuation_service::start() {
    asio::co_spawn(context_, watch(), asio::detached);
}

asio::awaitable<void> evacuation_service::watch() {
    while (true) {
        co_await pause_for(ask_period);
        take_over(monotonic_now());
        if (state_.registry.store_away() && state_.routes) {
            ask_engines();
        }
    }
}

void evacuation_service::ask_engines() {
    for (const service_rule& service : state_.routes->configuration().services) {
        if (!service.engine || !service.engine->moves || !peers_.drives(service.id)) {
            continue;
        }
        for (const registered_backend* backend : state_.registry.usable(service.id)) {
            asio::co_spawn(context_, ask(*backend), asio::detached);
        }
    }
}

void evacuation_service::take_over(time_point now) {
    std::erase_if(left_to_others_, [&](const watched_engine& engine) {
        return now - engine.since > longest_evacuation || start_driving(engine.backend);
    });
}

asio::awaitable<void> evacuation_service::ask(registered_backend backend) {
    const auto leaves = co_await mover_.leaves(backend.address, ask_timeout);
    if (leaves.value_or(false)) {
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
    if (moves && !start_driving(backend)) {
        left_to_others_.push_back({backend, monotonic_now()});
    }
}

void evacuation_service::on_restart(const backend_id& id) {
    driven_.erase(id);
    std::erase_if(left_to_others_,
                  [&id](const watched_engine& engine) { return engine.backend.id == id; });
}

bool evacuation_service::start_driving(const registered_backend& backend) {
    if (!peers_.drives(backend.service)) {
        return false;
    }
    if (driven_.insert(backend.id).second) {
        asio::co_spawn(context_, drive(backend), asio::detached);
    }
    return true;
}

asio::awaitable<std::vector<move_candidate>> evacuation_service::gather(const backend_id& backend) {
    std::vector<move_candidate> out = co_await peers_.gather(backend);
    for (const movable_generation& generation : state_.streams.claim_movable(backend)) {
        out.push_back({generation, {}});
    }
    co_return order_moves(std::move(out));
}

asio::awaitable<void> evacuation_service::drive(registered_backend source) {
    log_event(events::evacuation_started, "backend={} address={}", source.id.text(),
              source.address);
    const time_point until = monotonic_now() + longest_evacuation;
    int empty_looks = 0;
    bool alive = true;
    while (alive && monotonic_now() < until && empty_looks < most_empty_looks) {
        const std::vector<move_candidate> found = co_await gather(source.id);
        empty_looks = found.empty() ? empty_looks + 1 : 0;
        for (const move_candidate& candidate : found) {
            alive = alive && co_await move_one(source, candidate);
        }
        co_await pause_for(look_again);
    }
}

std::vector<move_target> evacuation_service::targets(const service_id& service) const {
    std::vector<move_target> out;
    const service_rule* rule = state_.routes->find_service(service);
    if (rule == nullptr || !rule->engine) {
        return out;
    }
    const time_point now = monotonic_now();
    for (const registered_backend* backend :
         servers_with_room(state_, service, own_role(state_, service), now)) {
        if (!receiving_.contains(backend->id)) {
            out.push_back({*backend, state_.loads.total(backend->id, now),
                           rule->engine->memory_tokens, rule->engine->slots});
        }
    }
    return out;
}

asio::awaitable<bool> evacuation_service::move_one(const registered_backend& source,
                                                   const move_candidate& candidate) {
    std::vector<move_target> open = targets(source.service);
    const service_rule* rule = state_.routes->find_service(source.service);
    const link_speed speed =
        rule && rule->engine ? link_speed{rule->engine->bytes_per_token, rule->engine->link_mbps}
                             : link_speed{};
    while (const auto index =
               choose_target(candidate.generation, source.failure_domain, speed, open)) {
        const registered_backend target = open[*index].backend;
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(*index));
        if (!state_.registry.takes_work(target.id)) {
            continue;
        }
        receiving_.insert(target.id);
        const move_error error = co_await move_to(source, target, candidate);
        receiving_.erase(target.id);
        if (error != move_error::refused) {
            co_return error != move_error::unreachable;
        }
    }
    co_return true;
}

/// A copy that was complete once is worth going on from, also when its source went before the rest
/// was copied: the target reads the tokens of the last moments anew, which takes milliseconds.
asio::awaitable<move_error> evacuation_service::move_to(const registered_backend& source,
                                                        const registered_backend& target,
                                                        const move_candidate& candidate) {
    const std::string& id = candidate.generation.id;
    move_failure why;
    const auto first =
        co_await mover_.move(source.address, id, target.address, false, copy_timeout, why);
    if (!first) {
        log_event(events::move_failed, "request={} source={} target={} reason={}", id,
                  source.id.text(), target.id.text(), why.text);
        co_return why.code;
    }
    // A first copy takes up to 1.5 s, time enough for the target to say that it leaves too. The
    // stream would go there up to 3 s after that word, when the target is gone; until it is stopped
    // it may still go elsewhere, and after the check only the rest is copied.
    if (!state_.registry.takes_work(target.id)) {
        log_event(events::move_failed, "request={} source={} target={} reason=target leaves", id,
                  source.id.text(), target.id.text());
        co_return move_error::refused;
    }
    const auto last =
        co_await mover_.move(source.address, id, target.address, true, last_timeout, why);
    const bool source_gone = !last && why.code == move_error::unreachable;
    if (!last) {
        log_event(events::move_failed, "request={} source={} target={} part=last reason={}", id,
                  source.id.text(), target.id.text(), why.text);
    }
    if (source_gone) {
        finish_move(candidate, {target.id, target.address, {source.address, first->handle}});
    } else if (last && last->stopped) {
        // Not back to an engine of a cordoned failure domain: the first copy lacks little.
        const bool to_target =
            last->copied || state_.registry.cordoned().contains(source.failure_domain);
        const registered_backend& goes_on_at = to_target ? target : source;
        const std::string& handle = to_target && !last->copied ? first->handle : last->handle;
        finish_move(candidate, {goes_on_at.id, goes_on_at.address, {source.address, handle}});
    }
    co_return last ? move_error::none : why.code;
}

void evacuation_service::finish_move(const move_candidate& candidate, const move_notice& notice) {
    log_event(events::generation_moved,
              "request={} source={} target={} instance={} memory_tokens={}",
              candidate.generation.id, notice.copy.holder, notice.target.text(),
              candidate.instance.empty() ? "here" : candidate.instance,
              candidate.generation.memory_tokens);
    if (const registered_backend* target = state_.registry.find(notice.target)) {
        note_send(state_, *target, monotonic_now());
    }
    if (candidate.instance.empty()) {
        state_.streams.notify(candidate.generation.id, notice, monotonic_now());
    } else {
        peers_.tell(candidate.instance, candidate.generation.id, notice);
    }
}

} // namespace bamboostream
