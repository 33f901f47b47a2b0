#include "bamboostream/src/Control/placement_service.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {
const std::string stream_name = "leases";
} // namespace

placement_service::placement_service(asio::io_context& context, log_service& log,
                                     configuration_service& configuration,
                                     membership_service& membership, timing times)
    : context_(context), log_(log), configuration_(configuration), membership_(membership),
      times_(times), leases_(times.lease) {}

void placement_service::start() {
    asio::co_spawn(context_, tail_loop(), log_exception);
    asio::co_spawn(context_, reconcile_loop(), log_exception);
}

bool placement_service::may_act(std::string_view pool, time_point now) const {
    const auto found = pools_.find(pool);
    return found != pools_.end() && found->second.held && now < found->second.act_until;
}

asio::awaitable<void> placement_service::tail_loop() {
    while (true) {
        log_failure why;
        const auto page =
            co_await log_.read(stream_name, leases_.next_offset(), times_.poll_wait, why);
        if (!page) {
            co_await pause_for(times_.round_period);
            continue;
        }
        for (const log_record& record : page->records) {
            leases_.apply(record);
        }
    }
}

asio::awaitable<void> placement_service::reconcile_loop() {
    while (true) {
        co_await pause_for(times_.round_period);
        const auto document = configuration_.document();
        for (const auto& [name, wanted] : document->pools) {
            const auto owners = membership_.owners("placement:" + name, 1);
            if (!owners.empty() && owners.front() == membership_.own_address()) {
                co_await reconcile_pool(name, wanted);
            }
        }
    }
}

/// Acquires or renews the lease when orders are due. The time to act is measured from before the
/// record was sent, by this instance's monotonic clock, and ends `safety_margin` before the
/// earliest end of the lease: a holder that was suspended finds its time over when it continues.
asio::awaitable<bool> placement_service::acquire_lease(std::string pool) {
    pool_state& state = pools_[pool];
    const instance_id& self = membership_.members().self().id;
    if (may_act(pool, monotonic_now() + times_.safety_margin)) {
        co_return true;
    }
    const time_point sent = monotonic_now();
    log_failure why;
    const auto offset =
        co_await log_.append(stream_name, lease_table::acquire_record(pool, self), why);
    const time_point wait_until = sent + times_.safety_margin;
    while (offset && leases_.next_offset() <= *offset && monotonic_now() < wait_until) {
        co_await pause_for(milliseconds(10));
    }
    const bool read_back = offset && leases_.next_offset() > *offset;
    const bool held = read_back && leases_.held_by(pool, self);
    if (held != state.held) {
        log_event(held ? events::lease_won : events::lease_lost, "pool={} fencing={}", pool,
                  held ? leases_.find(pool)->fencing : -1);
    }
    if (held && !state.held) {
        state.won_at = sent;
    }
    state.held = held;
    state.act_until = held ? sent + times_.lease - times_.safety_margin : time_point{};
    co_return held;
}

asio::awaitable<std::vector<engine_state>> placement_service::read_engine_states(std::string pool) {
    std::vector<engine_state> out;
    for (const backend_facts& backend : membership_.backends().group(pool)) {
        if (backend.kind != backend_kind::engine || backend.state == backend_state::down) {
            continue;
        }
        engine_client client(context_.get_executor(), backend.id);
        engine_failure why;
        const auto status = co_await client.status(times_.order_timeout, why);
        if (status) {
            out.push_back({backend.id, status->model, status->version, status->adapters,
                           status->loading, !status->leaving, status->load.running});
        }
    }
    co_return out;
}

asio::awaitable<void> placement_service::reconcile_pool(std::string pool, pool_settings wanted) {
    const std::vector<engine_state> engines = co_await read_engine_states(pool);
    const load_rate_limit pace;
    const auto planned =
        plan_next_order(wanted, engines, pace, pools_[pool].last_load, monotonic_now());
    if (!planned) {
        co_return;
    }
    const bool held = co_await acquire_lease(pool);
    // Engines that ignore fencing numbers may still execute a late order of the previous holder. A
    // new holder waits for such orders to arrive before it reads the engines' state again, so that
    // it corrects them instead of racing with them.
    const bool settled = wanted.engines_check_fencing ||
                         monotonic_now() - pools_[pool].won_at >= times_.safety_margin;
    if (held && settled) {
        co_await send_order(pool, *planned);
    }
}

asio::awaitable<void> placement_service::send_order(std::string pool, planned_order planned) {
    const auto lease_now = leases_.find(pool);
    if (!lease_now || !may_act(pool, monotonic_now())) {
        co_return;
    }
    planned.order.fencing = lease_now->fencing;
    if (planned.order.kind == "load_model") {
        pools_[pool].last_load = monotonic_now();
    }
    engine_client client(context_.get_executor(), planned.engine);
    engine_failure why;
    const bool done = co_await client.order(planned.order, times_.order_timeout, why);
    log_event(done ? events::order_sent : events::order_refused,
              "pool={} backend={} kind={} model={} version={} adapter={} fencing={} {}", pool,
              planned.engine.text(), planned.order.kind, planned.order.model, planned.order.version,
              planned.order.adapter, planned.order.fencing, why.text);
    if (why.code == engine_error::fenced) {
        // Another instance holds a later lease, so this one is over even if it is still valid by
        // the local clock.
        pools_[pool].held = false;
    }
}

} // namespace bamboostream
