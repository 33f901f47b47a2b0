#include "bamboostream/src/Evacuation/evacuation_service.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>

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
/// From the announcement of the final part to its outcome at the instance that forwards the stream.
constexpr milliseconds stop_timeout{1'600};

/// Interval at which the generations of an engine that is evacuated before its end are listed. A
/// new stream is known within less time than one copy takes.
constexpr milliseconds list_period{150};
/// Interval at which targets are looked for again for generations that have none. Within 20 ms a
/// pool of 50 engines ends one or two generations.
constexpr milliseconds target_retry_period{20};
/// How long the last part of a copy is under way before the next copy begins on the same link: its
/// stream is paused, and it must not queue behind the next one.
constexpr milliseconds last_part_lead{5};
/// Longest time from when the announcement of a source became known until a generation goes back.
constexpr milliseconds max_return_time{600};
/// Longest time from a notice of a move until its stream follows it.
constexpr milliseconds max_notice_delay{400};
/// An engine that has refused a copy for lack of memory is passed over for this time, in which it
/// ends about one generation.
constexpr milliseconds refusal_pause{300};
/// A first copy that takes longer than twice the time expected of it and this is given up. Its
/// target may have died, while the source still has time to use another one.
constexpr milliseconds copy_overrun{300};

/// Interval between two polls of an engine while the store is unreachable. Each costs as much as a
/// status check. A notice of 1.5 s leaves time for most moves after this.
constexpr milliseconds engine_poll_period{400};
constexpr milliseconds engine_poll_timeout{300};

} // namespace

void evacuation_service::start() {
    asio::co_spawn(context_, watch_loop(), log_exception);
}

asio::awaitable<void> evacuation_service::watch_loop() {
    while (true) {
        co_await pause_for(engine_poll_period);
        start_waiting(monotonic_now());
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
            asio::co_spawn(context_, poll_engine(*backend), log_exception);
        }
    }
}

void evacuation_service::start_waiting(time_point now) {
    std::erase_if(waiting_, [&](const leaving_engine& engine) {
        return now - engine.since > max_evacuation_time || try_evacuation(engine);
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
    leaving_engine engine{backend, monotonic_now()};
    if (!try_evacuation(engine)) {
        waiting_.push_back(std::move(engine));
    }
}

bool evacuation_service::try_evacuation(const leaving_engine& engine) {
    if (!state_.routes) {
        return false;
    }
    const service_rule* service = state_.routes->find_service(engine.backend.service);
    if (service == nullptr || !service->engine || !service->engine->moves) {
        return true;
    }
    state_.reserve.start(engine.backend, engine.since);
    return start_evacuation(engine.backend);
}

void evacuation_service::on_restart(const backend_id& id) {
    evacuated_.erase(id);
    state_.reserve.forget(id);
    std::erase_if(waiting_,
                  [&id](const leaving_engine& engine) { return engine.backend.id == id; });
}

bool evacuation_service::start_evacuation(const registered_backend& backend) {
    if (!peers_.coordinates(backend.service)) {
        return false;
    }
    if (evacuated_.insert(backend.id).second) {
        const bool before_end = state_.is_contended(backend.service);
        asio::co_spawn(context_, before_end ? evacuate_before_end(backend) : evacuate(backend),
                       log_exception);
    }
    return true;
}

asio::awaitable<std::vector<move_candidate>>
evacuation_service::collect_movable(const backend_id& backend) {
    std::vector<move_candidate> out = co_await peers_.collect_movable(backend);
    for (const movable_generation& generation : state_.streams.list_movable(backend)) {
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
    std::set<std::string> logged;
    while (alive && monotonic_now() < until && empty_polls < max_empty_polls) {
        const std::vector<move_candidate> found = co_await collect_movable(source.id);
        empty_polls = found.empty() ? empty_polls + 1 : 0;
        for (const move_candidate& candidate : found) {
            alive = alive && co_await move_one(source, candidate, logged);
        }
        co_await pause_for(poll_period);
    }
}

asio::awaitable<void> evacuation_service::evacuate_before_end(registered_backend source) {
    log_event(events::evacuation_started, "backend={} address={}", source.id.text(),
              source.address);
    const time_point until = monotonic_now() + max_evacuation_time;
    const auto work = std::make_shared<evacuation>(context_);
    work->source = std::move(source);
    asio::co_spawn(context_, list_generations(work, until), log_exception);
    while (work->alive && monotonic_now() < until && work->empty_polls < max_empty_polls) {
        if (!co_await move_next(work)) {
            co_await wait_on(work->changed, monotonic_now() + target_retry_period);
        }
    }
    work->alive = false;
    end_evacuation(*work);
}

asio::awaitable<void> evacuation_service::list_generations(shared_evacuation work,
                                                           time_point until) {
    while (work->alive && monotonic_now() < until) {
        work->listed = co_await collect_movable(work->source.id);
        work->empty_polls = work->listed.empty() ? work->empty_polls + 1 : 0;
        work->changed.cancel();
        co_await pause_for(list_period);
    }
}

asio::awaitable<bool> evacuation_service::move_next(shared_evacuation work) {
    const time_point now = monotonic_now();
    const time_point announced = state_.reserve.announced_at(work->source.id).value_or(now);
    const move_window window{std::max(duration{}, announced + move_reserve::min_notice - now),
                             link_speed_of(work->source.service)};
    std::vector<move_candidate> waiting = work->listed;
    std::erase_if(waiting, [&](const move_candidate& c) {
        const auto retry = work->retry_at.find(c.generation.id);
        return work->taken.contains(c.generation.id) ||
               (retry != work->retry_at.end() && now < retry->second);
    });
    const move_limits limits = limits_before_end(is_time_short(waiting, window));
    for (const move_candidate& candidate : order_moves(std::move(waiting), window)) {
        if (co_await try_targets(work, candidate, limits)) {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<bool> evacuation_service::try_targets(shared_evacuation work,
                                                      move_candidate candidate,
                                                      move_limits limits) {
    const movable_generation& generation = candidate.generation;
    const registered_backend& source = work->source;
    const link_speed speed = link_speed_of(source.service);
    std::size_t busy = 0;
    std::vector<move_target> open =
        targets(origin_of(source, candidate), generation.tokens_left, busy);
    while (const auto index =
               choose_target(generation, source.failure_domain, speed, open, limits)) {
        const registered_backend target = open[*index].backend;
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(*index));
        if (busy_targets_.contains(target.id) || !may_receive(target)) {
            continue;
        }
        busy_targets_.insert(target.id);
        state_.reserve.start_copy(source.id, target.id,
                                  {1, generation.memory_tokens + generation.tokens_left, 0});
        work->taken.insert(generation.id);
        const bool far = target.failure_domain != source.failure_domain;
        const duration expected = copy_time(generation.memory_tokens, speed, far);
        const milliseconds timeout =
            expected > duration{}
                ? std::min(first_copy_timeout,
                           std::chrono::duration_cast<milliseconds>(2 * expected) + copy_overrun)
                : first_copy_timeout;
        const time_point begun = monotonic_now();
        move_error error = move_error::none;
        const auto handle = co_await copy_first(source, target, generation.id, timeout, error);
        if (handle) {
            forget_no_target(*work, generation.id);
            asio::co_spawn(context_, finish_copy(work, candidate, target, *handle), log_exception);
            co_await pause_for(last_part_lead);
            co_return true;
        }
        const time_point now = monotonic_now();
        busy_targets_.erase(target.id);
        state_.reserve.end_copy(target.id);
        work->taken.erase(generation.id);
        const bool overran = error == move_error::unreachable && now - begun >= timeout;
        if (error == move_error::refused || overran) {
            std::erase_if(refusing_until_, [now](const auto& item) { return now >= item.second; });
            refusing_until_[target.id] = now + refusal_pause;
            ++busy;
            continue;
        }
        work->alive = work->alive && error != move_error::unreachable;
        work->retry_at[generation.id] = now + poll_period;
        co_return true;
    }
    record_no_target(*work, generation.id, explain_no_target(open, busy));
    co_return false;
}

asio::awaitable<void> evacuation_service::finish_copy(shared_evacuation work,
                                                      move_candidate candidate,
                                                      registered_backend target,
                                                      std::string first_handle) {
    bool moved = false;
    const move_error error =
        co_await copy_rest(work->source, target, candidate, first_handle, moved);
    busy_targets_.erase(target.id);
    state_.reserve.end_copy(target.id);
    if (moved && !candidate.instance.empty()) {
        // Until the instance reports it. Without this the target would look emptier than it is.
        const movable_generation& generation = candidate.generation;
        state_.loads.add_expected(
            candidate.instance,
            {backend_hash(target.id), {1, generation.memory_tokens + generation.tokens_left, 0}},
            monotonic_now());
    }
    if (!moved) {
        work->taken.erase(candidate.generation.id);
        work->retry_at[candidate.generation.id] = monotonic_now() + poll_period;
    }
    work->alive = work->alive && error != move_error::unreachable;
    work->changed.cancel();
}

void evacuation_service::record_no_target(evacuation& work, const std::string& generation,
                                          no_move_cause cause) {
    const auto [entry, is_new] = work.without_target.try_emplace(generation);
    ++entry->second.tries;
    state_.counters.without_target += is_new ? 1 : 0;
    if (is_new || entry->second.cause != cause) {
        log_event(events::move_not_possible, "request={} source={} cause={} tries={} gone=false",
                  generation, work.source.id.text(), to_string(cause), entry->second.tries);
    }
    entry->second.cause = cause;
}

void evacuation_service::forget_no_target(evacuation& work, const std::string& generation) {
    state_.counters.without_target -= work.without_target.erase(generation);
}

void evacuation_service::end_evacuation(evacuation& work) {
    state_.reserve.end(work.source.id);
    for (const move_candidate& candidate : work.listed) {
        const std::string& id = candidate.generation.id;
        if (work.taken.contains(id)) {
            continue;
        }
        const auto found = work.without_target.find(id);
        const evacuation::no_target last =
            found == work.without_target.end() ? evacuation::no_target{} : found->second;
        ++state_.counters.not_moved[static_cast<std::size_t>(last.cause)];
        log_event(events::move_not_possible, "request={} source={} cause={} tries={} gone=true", id,
                  work.source.id.text(), to_string(last.cause), last.tries);
    }
    state_.counters.without_target -= work.without_target.size();
    work.without_target.clear();
}

link_speed evacuation_service::link_speed_of(const service_id& service) const {
    const service_rule* rule = state_.routes->find_service(service);
    return rule && rule->engine ? link_speed{rule->engine->bytes_per_token, rule->engine->link_mbps}
                                : link_speed{};
}

stream_origin evacuation_service::origin_of(const registered_backend& source,
                                            const move_candidate& candidate) const {
    const software_version& begun_by = candidate.generation.version;
    return {source.service, begun_by.empty() ? source.version : begun_by};
}

double evacuation_service::pause_risk(const service_rule& rule, const backend_id& target,
                                      std::int64_t tokens_left) const {
    const auto typical = state_.stream_sizes.typical(rule.id);
    if (!typical) {
        return 0.0;
    }
    const double events =
        static_cast<double>(tokens_left) / std::max(1, rule.engine->tokens_per_event);
    return state_.pace.late_risk(rule.id, backend_hash(target), typical->pause_objective, events);
}

std::vector<move_target> evacuation_service::targets(const stream_origin& origin,
                                                     std::int64_t tokens_left,
                                                     std::size_t& busy) const {
    std::vector<move_target> out;
    const service_rule* rule = state_.routes->find_service(origin.service);
    if (rule == nullptr || !rule->engine) {
        return out;
    }
    const time_point now = monotonic_now();
    for (const registered_backend* backend :
         servers_with_capacity(state_, origin.service, own_role(state_, origin.service), now)) {
        const bool has_permit = expected_permit_wait(state_, *backend, 0, now) == duration{};
        const auto refusing = refusing_until_.find(backend->id);
        const bool is_busy = busy_targets_.contains(backend->id) ||
                             (refusing != refusing_until_.end() && now < refusing->second);
        if (has_permit && !is_busy) {
            out.push_back({*backend, state_.loads.total(backend->id, now),
                           rule->engine->memory_tokens, rule->engine->slots,
                           origin.allows(*backend), pause_risk(*rule, backend->id, tokens_left)});
        } else if (origin.allows(*backend)) {
            ++busy;
        }
    }
    return out;
}

asio::awaitable<bool> evacuation_service::move_one(const registered_backend& source,
                                                   const move_candidate& candidate,
                                                   std::set<std::string>& logged) {
    std::size_t busy = 0;
    std::vector<move_target> open =
        targets(origin_of(source, candidate), candidate.generation.tokens_left, busy);
    const link_speed speed = link_speed_of(source.service);
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
    if (logged.insert(candidate.generation.id).second) {
        log_event(events::move_not_possible, "request={} source={} cause={} tries=1 gone=false",
                  candidate.generation.id, source.id.text(),
                  to_string(explain_no_target(open, busy)));
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
    move_error error = move_error::none;
    const auto first =
        co_await copy_first(source, target, candidate.generation.id, first_copy_timeout, error);
    if (!first) {
        co_return error;
    }
    bool moved = false;
    co_return co_await copy_rest(source, target, candidate, *first, moved);
}

asio::awaitable<std::optional<std::string>>
evacuation_service::copy_first(const registered_backend& source, const registered_backend& target,
                               const std::string& id, milliseconds timeout, move_error& error) {
    move_failure why;
    const auto first =
        co_await mover_.move(source.address, id, target.address, false, timeout, why);
    if (!first) {
        log_event(events::move_failed, "request={} source={} target={} reason={}", id,
                  source.id.text(), target.id.text(), why.text);
        error = why.code;
        co_return std::nullopt;
    }
    // A first copy takes up to 1.5 s, in which the target may itself announce that it leaves. The
    // stream would go there up to 3 s after that announcement, when the target is gone. Until the
    // generation is stopped it may still go elsewhere, and after this check only the rest is
    // copied.
    if (!may_receive(target)) {
        log_event(events::move_failed, "request={} source={} target={} reason=target is leaving",
                  id, source.id.text(), target.id.text());
        error = move_error::refused;
        co_return std::nullopt;
    }
    co_return first->handle;
}

asio::awaitable<move_error> evacuation_service::copy_rest(const registered_backend& source,
                                                          const registered_backend& target,
                                                          const move_candidate& candidate,
                                                          const std::string& first_handle,
                                                          bool& moved) {
    const std::string& id = candidate.generation.id;
    const bool announced = co_await announce_stop(source, candidate);
    if (!announced) {
        log_event(events::move_failed, "request={} source={} target={} part=last reason=ended", id,
                  source.id.text(), target.id.text());
        // The announcement may have arrived although its answer hasn't.
        cancel_stop(candidate);
        co_return move_error::not_running;
    }
    move_failure why;
    const auto last =
        co_await mover_.move(source.address, id, target.address, true, final_copy_timeout, why);
    const bool source_gone = !last && why.code == move_error::unreachable;
    if (!last) {
        log_event(events::move_failed, "request={} source={} target={} part=last reason={}", id,
                  source.id.text(), target.id.text(), why.text);
    }
    if (source_gone) {
        moved = true;
        finish_move(source, candidate,
                    {target.id, target.address, {source.address, first_handle}, target.version});
    } else if (last && last->stopped) {
        // Little is missing from the first copy.
        const bool to_target = last->copied || !may_return_to(source, monotonic_now());
        const registered_backend& destination = to_target ? target : source;
        const std::string& handle = to_target && !last->copied ? first_handle : last->handle;
        moved = to_target;
        finish_move(
            source, candidate,
            {destination.id, destination.address, {source.address, handle}, destination.version});
    }
    // Another step that is in progress tells its outcome itself.
    if (!source_gone && !(last && last->stopped) && why.code != move_error::busy) {
        cancel_stop(candidate);
    }
    co_return last ? move_error::none : why.code;
}

bool evacuation_service::may_return_to(const registered_backend& source, time_point now) const {
    const auto announced = state_.reserve.announced_at(source.id);
    const departure* left = state_.registry.find_departure(source.id);
    return announced && now - *announced <= max_return_time && left != nullptr &&
           left->accepts_copies(now + max_notice_delay) &&
           !state_.registry.cordoned().contains(source.failure_domain);
}

/// Without the announcement, the end of a stream without framing would be taken for that of its
/// generation.
asio::awaitable<bool> evacuation_service::announce_stop(const registered_backend& source,
                                                        const move_candidate& candidate) {
    bool announced = false;
    if (candidate.instance.empty()) {
        announced = state_.streams.expect_stop(candidate.generation.id, source.id,
                                               monotonic_now() + stop_timeout);
    } else {
        announced = co_await peers_.expect_stop(candidate.instance, source.id,
                                                candidate.generation.id, stop_timeout);
    }
    co_return announced;
}

void evacuation_service::cancel_stop(const move_candidate& candidate) {
    if (candidate.instance.empty()) {
        state_.streams.cancel_stop(candidate.generation.id);
    } else {
        peers_.cancel_stop(candidate.instance, candidate.generation.id);
    }
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
