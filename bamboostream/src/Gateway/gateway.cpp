#include "bamboostream/src/Gateway/gateway.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Control/server_state_exchange.h"
#include "bamboostream/src/Core/clamped_cast.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Core/settings.h"
#include "bamboostream/src/Forwarding/backend_connection.h"
#include "bamboostream/src/Forwarding/forwarded_call.h"
#include "bamboostream/src/Gateway/gateway_metrics.h"
#include "bamboostream/src/Gateway/peer_exchange.h"
#include "bamboostream/src/Gateway/quarantine_persister.h"
#include "bamboostream/src/Gateway/stream_origin_exchange.h"
#include "bamboostream/src/Gateway/tunnel_client.h"
#include "bamboostream/src/Gateway/tunnel_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <malloc.h>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

constexpr milliseconds housekeeping_period{500};
constexpr milliseconds drain_poll_period{20};
/// The smallest instance of any deployment, for platforms that don't report the memory.
constexpr double default_memory_mb = 88.0;
constexpr int mmap_threshold_bytes = 256 * 1024;
/// Interval at which the settings are checked for changes without a signal.
constexpr milliseconds settings_period{5'000};
/// Time left of the grace period when the process ends by itself, so that it isn't killed during a
/// write.
constexpr milliseconds grace_margin{350};
/// Time before that in which the last responses are written. Requests that may take longer are
/// refused, and those that are open then are ended with a response.
constexpr milliseconds answer_margin{250};
/// Callers keep directory answers up to three times as long as the stated validity.
constexpr int max_cache_factor = 3;
/// A caller gets only addresses of its own failure domain when there are at least this many of
/// them: fewer would be a single point of failure for as long as callers keep the answer.
constexpr std::size_t min_near_addresses = 2;
constexpr std::size_t max_addresses = 64;

/// Finds other instances by the seeds in the settings; gossip finds the rest.
class seed_list final : public instance_list {
public:
    explicit seed_list(const std::vector<std::string>& seeds) : seeds_(seeds) {}
    asio::awaitable<std::optional<machine_list>> read(list_failure&) override {
        machine_list out;
        out.instances = seeds_;
        co_return out;
    }

private:
    const std::vector<std::string>& seeds_;
};

} // namespace

struct gateway::parts {
    parts(asio::io_context& context_used, gateway_settings settings_given,
          gateway_contracts contracts_given)
        : context(context_used), settings(std::move(settings_given)), contracts(contracts_given),
          seed(stable_hash(random_id())),
          shared_forwarding(std::make_shared<forwarding_state>(
              contracts.requests, failure_domain_id(settings.failure_domain), settings.budget,
              seed)),
          forwarding(*shared_forwarding), state(forwarding, contracts.records),
          reader(context, contracts.records), store(context, contracts.store, state),
          links(context, [this](std::unique_ptr<wire::FrameT> frame) {
              return peers->handle(std::move(frame));
          }) {}

    asio::io_context& context;
    gateway_settings settings;
    gateway_contracts contracts;
    std::uint64_t seed;
    /// Shared with open calls: the context, which outlives this object, destroys them.
    std::shared_ptr<forwarding_state> shared_forwarding;
    forwarding_state& forwarding;
    deployment_state state;
    configuration_reader reader;
    store_read_policy read_policy;
    store_follower store;
    peer_links links;
    std::unique_ptr<membership_service> membership;
    std::unique_ptr<configuration_distributor> distributor;
    std::unique_ptr<store_update_exchange> store_updates;
    std::unique_ptr<owner_scheduler> owner_engine_scheduler;
    std::unique_ptr<quarantine_exchange> quarantine;
    std::unique_ptr<quarantine_persister> persister;
    std::unique_ptr<rate_limit_exchange> rate_limits;
    std::unique_ptr<server_state_exchange> server_states;
    std::unique_ptr<stream_origin_exchange> origins;
    std::unique_ptr<peer_exchange> peers;
    std::unique_ptr<tunnel_client> tunnels;
    std::unique_ptr<tunnel_server> carried_tunnels;
    std::unique_ptr<evacuation_service> evacuation;
    std::vector<std::unique_ptr<http_server>> servers;
    http_server* callers = nullptr;
    std::function<std::optional<gateway_settings>(bool)> reload;

    ~parts();
    parts(const parts&) = delete;
    parts& operator=(const parts&) = delete;

    bool start();
    bool serve(const std::string& address, http_handler handler);
    void build(const std::string& peer_address);
    void connect_quarantine();
    void check_bounds() const;
    void apply_configuration(const routing_configuration& configuration) const;
    void apply(const gateway_settings& changed);
    asio::awaitable<void> watch_settings();
    void begin_drain();
    asio::awaitable<void> drain();
    /// Ends the requests whose responses have not begun.
    void end_open_calls() const;
    asio::awaitable<void> housekeeping();
    asio::awaitable<void> handle_caller(http_exchange& exchange) const;
    asio::awaitable<void> handle_directory(http_exchange& exchange);
    asio::awaitable<void> handle_ready(http_exchange& exchange);
    asio::awaitable<void> handle_metrics(http_exchange& exchange) const;
    std::vector<std::string> addresses_for(std::string_view near);
};

gateway::gateway(asio::io_context& context, gateway_settings settings, gateway_contracts contracts)
    : parts_(std::make_unique<parts>(context, std::move(settings), contracts)) {}

gateway::~gateway() = default;

/// Calls that are still open must not use the other components any more.
gateway::parts::~parts() {
    forwarding.scheduler = nullptr;
    forwarding.trials = nullptr;
    forwarding.permits = nullptr;
    forwarding.rate_limits.on_change({});
    forwarding.tunnels = nullptr;
    forwarding.server_states = nullptr;
    forwarding.origin_registry = nullptr;
    forwarding.on_generation_change = nullptr;
    forwarding.quarantine.clear_listeners();
    forwarding.on_registry_change = nullptr;
}

bool gateway::parts::serve(const std::string& address, http_handler handler) {
    servers.push_back(std::make_unique<http_server>(std::vector<asio::io_context*>{&context},
                                                    http_limits{}, std::move(handler)));
    std::string why;
    if (!servers.back()->listen(address, why)) {
        log_event(events::listen_failed, "address={} reason={}", address, why);
        return false;
    }
    return true;
}

void gateway::parts::build(const std::string& peer_address) {
    member_facts self;
    self.id = {peer_address, wall_now()};
    self.caller_address = settings.caller_listen;
    self.failure_domain = failure_domain_id(settings.failure_domain);
    self.capacity = settings.capacity;
    links.set_identity(self.id);
    membership = std::make_unique<membership_service>(context, links,
                                                      std::make_unique<seed_list>(settings.seeds),
                                                      self, membership_service::timing{}, seed);
    distributor = std::make_unique<configuration_distributor>(context, links, *membership, state);
    distributor->set_link_speed(settings.link_mbps);
    distributor->set_pause_condition([this] { return store.is_reading_configuration(); });
    store_updates = std::make_unique<store_update_exchange>(
        context, links, *membership, forwarding, state, store, read_policy, *distributor);
    owner_engine_scheduler = std::make_unique<owner_scheduler>(links, *membership, forwarding);
    forwarding.scheduler = owner_engine_scheduler.get();
    quarantine =
        std::make_unique<quarantine_exchange>(context, links, *membership, forwarding.quarantine);
    forwarding.trials = &quarantine->trials();
    persister = std::make_unique<quarantine_persister>(context, contracts.persistent, *membership,
                                                       forwarding.quarantine);
    rate_limits = std::make_unique<rate_limit_exchange>(context, links, *membership,
                                                        forwarding.registry, forwarding.rate_limits,
                                                        forwarding.issuer, issuer_key(forwarding));
    forwarding.permits = rate_limits.get();
    server_states = std::make_unique<server_state_exchange>(
        context, links, *membership, forwarding.server_checks, view_of_servers(forwarding), seed);
    forwarding.server_states = server_states.get();
    origins =
        std::make_unique<stream_origin_exchange>(context, links, *membership, forwarding.origins);
    forwarding.origin_registry = origins.get();
    peers = std::make_unique<peer_exchange>(context, links, *membership, forwarding, *store_updates,
                                            *distributor, *owner_engine_scheduler, *quarantine,
                                            *server_states, *origins, *rate_limits);
    tunnels = std::make_unique<tunnel_client>(context, *membership, forwarding, seed);
    forwarding.tunnels = tunnels.get();
    carried_tunnels = std::make_unique<tunnel_server>(context, forwarding);
    links.on_tunnel_request(
        [this](asio::ip::tcp::socket origin, std::unique_ptr<wire::FrameT> frame) {
            carried_tunnels->accept(std::move(origin), std::move(frame));
        });
    evacuation = std::make_unique<evacuation_service>(context, forwarding, contracts.mover, *peers);
    state.set_reader(reader);
    state.on_new_configuration([this](const routing_configuration& c) { apply_configuration(c); });
    state.on_cordon_change([this] { store_updates->announce_cordons(); });
    state.on_departures_read(
        [this](std::span<const backend_id> read) { store_updates->announce_departures(read); });
    state.on_backend_change([this](const registry_change& change) {
        store_updates->announce_change(change);
        if (change.event == registry_event::leaving || change.event == registry_event::gone) {
            evacuation->on_leaving(change.backend);
            asio::co_spawn(context, abandon_held_requests(forwarding, change.backend),
                           log_exception);
        }
        if (change.event == registry_event::gone || change.event == registry_event::restarted) {
            forwarding.connections.drop(change.backend.address);
            forwarding.reachability.forget(change.backend.service, change.backend.id);
            rate_limits->forget(change.backend.id);
        }
        if (change.event == registry_event::restarted) {
            evacuation->on_restart(change.backend.id);
            forwarding.picker.forget(change.backend.id);
        }
        if (change.event == registry_event::gone || change.event == registry_event::restarted) {
            forwarding.prefill.forget(backend_hash(change.backend.id));
            forwarding.pace.forget(backend_hash(change.backend.id));
            forwarding.server_loads.forget(change.backend.id);
        }
    });
    forwarding.on_generation_change = [this] { peers->on_load_change(); };
    connect_quarantine();
    forwarding.on_registry_change = [this] {
        state.report_changes(update_source::server, monotonic_now());
    };
}

void gateway::parts::connect_quarantine() {
    forwarding.quarantine.on_evidence([this](const crash_evidence& it) { quarantine->note(it); });
    forwarding.quarantine.on_part_answer([this](const part_answer& it) { quarantine->note(it); });
    forwarding.quarantine.on_change(
        [this](const request_digest& it) { persister->note_change(it); });
    forwarding.quarantine.set_server_name_lookup([this](std::uint64_t life) {
        const registered_backend* known =
            forwarding.registry.find_if([life](const registered_backend& it) {
                return incarnation_key(it.id.text(), it.started_ms) == life;
            });
        return known != nullptr ? known->id.text() : std::string();
    });
}

void gateway::parts::apply_configuration(const routing_configuration& configuration) const {
    callers->set_limits(configuration.caller_limits);
    membership->members().update_self(0, configuration.version);
    store_updates->announce_configuration();
}

/// The gateway also serves a platform whose bounds are shorter than its propagation times allow
/// for. The log line explains why callers may then reach servers that are gone.
void gateway::parts::check_bounds() const {
    const auto compare = [](std::string_view name, record_topic topic,
                            std::optional<milliseconds> bound) {
        const milliseconds max_propagation = max_propagation_time(topic);
        if (bound && max_propagation > *bound) {
            log_event(events::bound_too_short, "bound={} bound_ms={} longest_ms={}", name,
                      bound->count(), max_propagation.count());
        }
    };
    compare("leaving", record_topic::backend_entries, settings.leaving_bound);
    compare("configuration", record_topic::operator_documents, settings.configuration_bound);
    compare("cordon", record_topic::operator_documents, settings.cordon_bound);
}

bool gateway::parts::start() {
    std::string why;
    forwarding.admission = settings.admission;
    forwarding.memory_pressure = settings.memory_pressure;
    const double memory_mb = settings.memory_mb > 0.0 ? settings.memory_mb : default_memory_mb;
    // A freed body goes back to the system at once; by default the allocator raises this threshold
    // and keeps it.
    mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
    memory_budget::of(context.get_executor())
        .configure(clamped_cast<std::size_t>(memory_mb * 1024 * 1024),
                   settings.response_memory_share);
    response_guard::of(context.get_executor()).configure(settings.responses);
    forwarding.outbound_address = settings.outbound_address;
    forwarding.server_checks.set_local_address(settings.outbound_address);
    forwarding.cold_starts.set_rules(settings.cold_starts);
    const entry_timing usual;
    forwarding.registry.set_timing({settings.entry_heartbeat.value_or(usual.heartbeat),
                                    settings.leaving_bound.value_or(usual.leaving_bound)});
    const auto peer_address = links.listen(settings.peer_listen, why);
    if (!peer_address) {
        log_event(events::listen_failed, "address={} reason={}", settings.peer_listen, why);
        return false;
    }
    build(*peer_address);
    const auto bind = [this](auto method) {
        return [this, method](http_exchange& exchange) { return (this->*method)(exchange); };
    };
    if (!serve(settings.caller_listen, bind(&parts::handle_caller))) {
        return false;
    }
    callers = servers.back().get();
    if (!serve(settings.directory_listen, bind(&parts::handle_directory)) ||
        !serve(settings.ready_listen, bind(&parts::handle_ready)) ||
        (!settings.metrics_listen.empty() &&
         !serve(settings.metrics_listen, bind(&parts::handle_metrics)))) {
        return false;
    }
    check_bounds();
    membership->start();
    distributor->start();
    store_updates->start();
    store.start(*store_updates);
    peers->start();
    origins->start();
    tunnels->start();
    carried_tunnels->start();
    quarantine->start();
    persister->start();
    rate_limits->start();
    evacuation->start();
    asio::co_spawn(context, housekeeping(), log_exception);
    log_event(events::started, "callers={} peers={} failure_domain={} seeds={}",
              settings.caller_listen, *peer_address, settings.failure_domain,
              settings.seeds.size());
    return true;
}

asio::awaitable<void> gateway::parts::housekeeping() {
    bool was_ready = false;
    while (true) {
        forwarding.connections.expire(monotonic_now());
        forwarding.quarantine.expire(monotonic_now());
        forwarding.origins.expire(monotonic_now());
        forwarding.rate_limits.expire(monotonic_now());
        flush_log();
        if (!was_ready && state.ready()) {
            was_ready = true;
            log_event(events::ready, "configuration_version={} backends={}", state.version(),
                      forwarding.registry.all().size());
        }
        co_await pause_for(housekeeping_period);
    }
}

std::vector<std::string> gateway::parts::addresses_for(std::string_view near) {
    std::vector<std::string> near_addresses;
    std::vector<std::string> all;
    for (const member_facts& facts : membership->members().usable()) {
        if (facts.configuration_version == 0) {
            continue;
        }
        all.push_back(facts.caller_address);
        if (facts.failure_domain.text() == near) {
            near_addresses.push_back(facts.caller_address);
        }
    }
    std::vector<std::string>& chosen =
        near_addresses.size() >= min_near_addresses ? near_addresses : all;
    std::shuffle(chosen.begin(), chosen.end(), forwarding.random);
    chosen.resize(std::min(chosen.size(), max_addresses));
    return chosen;
}

asio::awaitable<void> gateway::parts::handle_directory(http_exchange& exchange) {
    std::string near;
    if (!contracts.directory.asks_for_addresses(exchange.request(), near)) {
        co_await exchange.respond_json(404, R"({"error":{"code":"not_found"}})");
        co_return;
    }
    const std::vector<std::string> addresses = addresses_for(near);
    if (addresses.empty()) {
        co_await exchange.respond_json(503, R"({"error":{"code":"not_ready"}})");
        co_return;
    }
    co_await exchange.respond_json(
        200, contracts.directory.write_addresses(addresses, settings.directory_validity));
}

asio::awaitable<void> gateway::parts::handle_ready(http_exchange& exchange) {
    const bool known = contracts.directory.asks_whether_ready(exchange.request());
    const bool ready = state.ready() && !forwarding.leaving;
    const int status = !known ? 404 : ready ? 200 : 503;
    co_await exchange.respond_json(status, "{}");
}

asio::awaitable<void> gateway::parts::handle_metrics(http_exchange& exchange) const {
    const gateway_stats stats{state.version(),
                              forwarding.announced_configuration,
                              state.rejected_documents(),
                              distributor->provider().encoded(),
                              distributor->fetcher().pieces(),
                              store.calls(),
                              links.traffic(),
                              rate_limits->counts(),
                              response_guard::of(context.get_executor()).counts(),
                              memory_budget::of(context.get_executor()).reserved(),
                              memory_budget::of(context.get_executor()).refused_requests()};
    co_await exchange.respond(200, "text/plain; version=0.0.4",
                              exposition(forwarding, stats, monotonic_now()), {});
}

asio::awaitable<void> gateway::parts::handle_caller(http_exchange& exchange) const {
    const std::shared_ptr<forwarding_state> shared_state = shared_forwarding;
    forwarded_call call(*shared_state, exchange, monotonic_now());
    co_await call.run();
}

/// Doesn't affect requests in progress.
void gateway::parts::apply(const gateway_settings& changed) {
    settings.seeds = changed.seeds;
    settings.budget = changed.budget;
    settings.grace = changed.grace;
    settings.directory_validity = changed.directory_validity;
    forwarding.budget.set_rules(changed.budget);
    log_event(events::reloaded, "seeds={} grace_ms={} directory_validity_ms={} budget_ratio={}",
              settings.seeds.size(), settings.grace.count(), settings.directory_validity.count(),
              settings.budget.ratio);
}

asio::awaitable<void> gateway::parts::watch_settings() {
    while (true) {
        co_await pause_for(settings_period);
        if (const auto changed = reload(false)) {
            apply(*changed);
        }
    }
}

void gateway::parts::begin_drain() {
    if (!forwarding.leaving) {
        asio::co_spawn(context, drain(), log_exception);
    }
}

void gateway::parts::end_open_calls() const {
    for (forwarded_call* call : forwarding.open_calls) {
        call->end_before_shutdown(monotonic_now());
    }
}

/// Leaves the directory and reports not ready at once, serves until old directory answers have
/// expired and open requests have ended, and ends before the grace period does.
asio::awaitable<void> gateway::parts::drain() {
    forwarding.leaving = true;
    membership->members().begin_leaving();
    log_event(events::stopping, "open_requests={}", forwarding.counters.open);
    const time_point began_at = monotonic_now();
    const time_point directory_expired_at =
        began_at + max_cache_factor * settings.directory_validity;
    const time_point end = began_at + settings.grace - grace_margin;
    forwarding.shutdown_deadline = end - answer_margin;
    while (monotonic_now() < end &&
           (forwarding.counters.open > 0 || forwarding.counters.open_tunnels > 0 ||
            monotonic_now() < directory_expired_at)) {
        co_await pause_for(drain_poll_period);
        if (monotonic_now() >= forwarding.shutdown_deadline) {
            end_open_calls();
        }
    }
    if (forwarding.counters.open > 0) {
        // Nothing may have run since the shutdown deadline, if the process was suspended.
        end_open_calls();
        co_await pause_for(drain_poll_period);
    }
    log_event(events::stopped, "open_requests={}", forwarding.counters.open);
    flush_log();
    context.stop();
}

int gateway::run(std::function<std::optional<gateway_settings>(bool)> reload) {
    if (!parts_->start()) {
        return exit_code_unavailable;
    }
    parts_->reload = std::move(reload);
    asio::co_spawn(parts_->context, parts_->watch_settings(), log_exception);
    asio::io_context& context = parts_->context;
    asio::signal_set end(context, SIGTERM, SIGINT);
    end.async_wait([this](auto error, auto) {
        if (!error) {
            parts_->begin_drain();
        }
    });
    asio::signal_set hangup(context, SIGHUP);
    std::function<void()> wait_for_hangup = [&] {
        hangup.async_wait([&](auto error, auto) {
            if (!error) {
                if (const auto changed = parts_->reload(true)) {
                    parts_->apply(*changed);
                }
                wait_for_hangup();
            }
        });
    };
    wait_for_hangup();
    context.run();
    return exit_code_ok;
}

} // namespace bamboostream
