#include "bamboostream/src/Entry/instance.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Core/settings.h"
#include "bamboostream/src/Entry/completion_handler.h"
#include "bamboostream/src/Entry/operator_handler.h"
#include "bamboostream/src/Entry/service_handler.h"
#include "bamboostream/src/Http/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Added to the validity of directory responses, so that one sent just before the shutdown began
/// can still be used.
constexpr milliseconds directory_validity_margin{1'000};
constexpr milliseconds drain_poll_period{50};
/// Time for the last ledger records and progress reports to be sent before the process exits.
constexpr milliseconds final_flush_time{600};
constexpr milliseconds self_update_period{200};
constexpr double open_requests_at_full_load = 500.0;

using work_guard = asio::executor_work_guard<asio::io_context::executor_type>;

class open_request_guard {
public:
    explicit open_request_guard(std::atomic<int>& count) : count_(count) { ++count_; }
    ~open_request_guard() { --count_; }
    open_request_guard(const open_request_guard&) = delete;
    open_request_guard& operator=(const open_request_guard&) = delete;

private:
    std::atomic<int>& count_;
};

} // namespace

struct instance::parts {
    explicit parts(instance_settings settings)
        : core(std::move(settings)), operators(core, [this] { begin_drain(); }) {}

    instance_core core;
    operator_handler operators;
    std::vector<std::unique_ptr<asio::io_context>> traffic;
    std::unique_ptr<http_server> callers_server;
    std::unique_ptr<http_server> operators_server;
    std::atomic<bool> draining{false};

    bool start();
    bool listen(std::string& caller, std::string& operator_address, std::string& peer);
    void build_services(const member_facts& self);
    void begin_drain();
    void announce(const std::string& caller, const std::string& operator_address,
                  const std::string& peer) const;
    asio::awaitable<void> drain();
    asio::awaitable<void> update_self();
    asio::awaitable<void> handle_caller(http_exchange& exchange);
    asio::awaitable<void> serve_caller(http_exchange& exchange);
    asio::awaitable<void> serve_directory(http_exchange& exchange);
    asio::awaitable<std::unique_ptr<wire::FrameT>>
    handle_frame(std::unique_ptr<wire::FrameT> frame) const;
};

instance::instance(instance_settings settings)
    : parts_(std::make_unique<parts>(std::move(settings))) {}

instance::~instance() = default;

asio::awaitable<std::unique_ptr<wire::FrameT>>
instance::parts::handle_frame(std::unique_ptr<wire::FrameT> frame) const {
    switch (frame->message.type) {
    case wire::Message::Probe:
        co_return co_await core.membership->handle_probe(*frame->message.AsProbe(), frame->sender);
    case wire::Message::AdmitRequest:
        co_return co_await core.scheduling->handle_admit(*frame->message.AsAdmitRequest());
    case wire::Message::Progress:
        core.scheduling->handle_progress(*frame->message.AsProgress());
        co_return nullptr;
    case wire::Message::HomeRequest:
        co_return core.homes->handle(*frame->message.AsHomeRequest(), frame->sender);
    case wire::Message::LedgerQuery:
        co_return co_await core.claims->handle_query(*frame->message.AsLedgerQuery());
    case wire::Message::ConfigurationRequest:
        co_return core.configuration->handle_request(*frame->message.AsConfigurationRequest());
    case wire::Message::HarmReport:
        core.quarantine->hear(*frame->message.AsHarmReport());
        co_return nullptr;
    case wire::Message::HarmRequest:
        co_return core.quarantine->answer(*frame->message.AsHarmRequest());
    case wire::Message::TrialRequest:
        co_return core.quarantine->answer(*frame->message.AsTrialRequest(), frame->sender);
    case wire::Message::ServerCheckRequest:
        co_return co_await core.quarantine->answer(*frame->message.AsServerCheckRequest());
    default:
        co_return nullptr;
    }
}

bool instance::parts::listen(std::string& caller, std::string& operator_address,
                             std::string& peer) {
    core.links =
        std::make_unique<peer_links>(core.control, [this](std::unique_ptr<wire::FrameT> frame) {
            return handle_frame(std::move(frame));
        });
    std::vector<asio::io_context*> contexts;
    for (const auto& context : traffic) {
        contexts.push_back(context.get());
    }
    http_limits limits;
    limits.body_bytes = static_cast<std::size_t>(core.settings.body_limit);
    callers_server = std::make_unique<http_server>(
        contexts, limits, [this](http_exchange& exchange) { return handle_caller(exchange); });
    operators_server = std::make_unique<http_server>(
        contexts, limits, [this](http_exchange& exchange) { return operators.handle(exchange); });
    std::string why;
    const auto fail = [&](const std::string& address) {
        log_event(events::listen_failed, "address={} reason={}", address, why);
        return false;
    };
    const auto peers = core.links->listen(core.settings.peer_listen, why);
    if (!peers) {
        return fail(core.settings.peer_listen);
    }
    const auto callers = callers_server->listen(core.settings.caller_listen, why);
    if (!callers) {
        return fail(core.settings.caller_listen);
    }
    const auto bound_operator_address =
        operators_server->listen(core.settings.operator_listen, why);
    if (!bound_operator_address) {
        return fail(core.settings.operator_listen);
    }
    caller = *callers;
    operator_address = *bound_operator_address;
    peer = *peers;
    return true;
}

void instance::parts::build_services(const member_facts& self) {
    const instance_settings& s = core.settings;
    core.links->set_identity(self.id);
    const auto executor = core.control.get_executor();
    core.log = std::make_unique<http_log_service>(executor, s.log_address, s.log_timeout);
    const auto seed = stable_hash(random_id());
    core.membership = std::make_unique<membership_service>(
        core.control, *core.links,
        std::make_unique<http_instance_list>(executor, s.platform_address, s.log_timeout), self,
        membership_service::timing{}, seed);
    configuration_service::timing configuration_times;
    configuration_times.snapshot_period = s.snapshot_period;
    core.configuration = std::make_unique<configuration_service>(
        core.control, *core.log, *core.membership, *core.links, configuration_times);
    core.scheduling = std::make_unique<scheduling_service>(core.control, *core.configuration,
                                                           *core.membership, *core.links, seed);
    core.homes = std::make_unique<home_service>(*core.membership, *core.links);
    claim_service::timing claim_times;
    claim_times.window = s.ledger_window;
    core.claims = std::make_unique<claim_service>(core.control, *core.log, *core.membership,
                                                  *core.links, claim_times);
    core.placement =
        std::make_unique<placement_service>(core.control, *core.log, *core.configuration,
                                            *core.membership, placement_service::timing{});
    core.quarantine =
        std::make_unique<quarantine_service>(core.control, *core.links, *core.membership);
    core.services = service_picker(seed);
}

void instance::parts::announce(const std::string& caller, const std::string& operator_address,
                               const std::string& peer) const {
    if (core.settings.announce_file.empty()) {
        return;
    }
    const std::string temporary = core.settings.announce_file + ".new";
    std::ofstream(temporary) << caller << '\n' << operator_address << '\n' << peer << '\n';
    std::rename(temporary.c_str(), core.settings.announce_file.c_str());
}

bool instance::parts::start() {
    for (std::int64_t i = 0; i < core.settings.threads; ++i) {
        traffic.push_back(std::make_unique<asio::io_context>(1));
    }
    std::string caller;
    std::string operator_address;
    std::string peer;
    if (!listen(caller, operator_address, peer)) {
        return false;
    }
    core.start_stamp = wall_now();
    member_facts self;
    self.id = {peer, core.start_stamp};
    self.caller_address = caller;
    self.operator_address = operator_address;
    self.failure_domain = failure_domain_id(core.settings.failure_domain);
    build_services(self);
    core.scheduling->start();
    core.membership->start();
    core.configuration->start();
    core.claims->start();
    core.placement->start();
    core.quarantine->start();
    asio::co_spawn(core.control, update_self(), log_exception);
    log_event(events::started, "callers={} operators={} peers={} failure_domain={}", caller,
              operator_address, peer, core.settings.failure_domain);
    announce(caller, operator_address, peer);
    return true;
}

/// Periodically updates the load and configuration version that this instance reports to others.
asio::awaitable<void> instance::parts::update_self() {
    bool was_ready = false;
    while (true) {
        const double busy = core.open_requests.load() / open_requests_at_full_load;
        core.membership->members().update_self(
            static_cast<std::uint16_t>(std::min(busy, 1.0) * 1000.0),
            core.configuration->version());
        if (!was_ready && core.configuration->version() > 0) {
            was_ready = true;
            log_event(events::ready, "configuration_version={}", core.configuration->version());
        }
        co_await pause_for(self_update_period);
    }
}

void instance::parts::begin_drain() {
    if (!draining.exchange(true)) {
        asio::co_spawn(core.control, drain(), log_exception);
    }
}

/// Shuts down gracefully. Leaves the directory at once, accepts requests until all directory
/// responses that list this instance have expired, then refuses new ones and waits for the open
/// ones for at most `instance_settings::drain_limit`.
asio::awaitable<void> instance::parts::drain() {
    log_event(events::stopping, "open_requests={}", core.open_requests.load());
    core.leaving = true;
    core.membership->members().begin_leaving();
    co_await pause_for(directory_validity + directory_validity_margin);
    core.refusing_new_work = true;
    const time_point until = monotonic_now() + core.settings.drain_limit;
    while (core.open_requests.load() > 0 && monotonic_now() < until) {
        co_await pause_for(drain_poll_period);
    }
    co_await pause_for(final_flush_time);
    log_event(events::stopped, "open_requests={}", core.open_requests.load());
    for (const auto& context : traffic) {
        context->stop();
    }
    core.control.stop();
}

asio::awaitable<void> instance::parts::serve_directory(http_exchange& exchange) {
    const std::string near =
        exchange.request().parameter("near").value_or(core.settings.failure_domain);
    const directory_answer answer = co_await core.on_control(
        [&]() -> asio::awaitable<directory_answer> { co_return core.membership->directory(near); });
    boost::json::array entries;
    for (const directory_entry& entry : answer.entries) {
        entries.push_back(boost::json::object{{"address", entry.address},
                                              {"failure_domain", entry.failure_domain.text()}});
    }
    std::string body = boost::json::serialize(boost::json::object{
        {"entries", std::move(entries)}, {"valid_for_ms", answer.valid_for.count()}});
    co_await exchange.respond_json(200, std::move(body));
}

asio::awaitable<void> instance::parts::serve_caller(http_exchange& exchange) {
    const http_request& request = exchange.request();
    const std::vector<std::string> path = split_path(request.path);
    const bool post = request.method == "POST";
    if (request.path == "/v1/entries") {
        co_await serve_directory(exchange);
    } else if (request.path == "/v1/completions" && post) {
        completion_handler handler(core, exchange);
        co_await handler.run();
    } else if (path.size() == 3 && path[1] == "streams" && request.method == "GET") {
        co_await resume_stream(core, exchange, path[2]);
    } else if (path.size() == 4 && path[1] == "services" && post) {
        service_handler handler(core, exchange, path[2], path[3]);
        co_await handler.run();
    } else if (!co_await operators.handle_common(exchange)) {
        const error_answer problem = make_error(404, "not_found", "no such resource or method");
        co_await respond_error(exchange, problem);
    }
}

asio::awaitable<void> instance::parts::handle_caller(http_exchange& exchange) {
    const open_request_guard guard(core.open_requests);
    co_await serve_caller(exchange);
}

int instance::run() {
    if (!parts_->start()) {
        return exit_code_unavailable;
    }
    asio::signal_set signals(parts_->core.control, SIGTERM, SIGINT);
    signals.async_wait([this](auto error, auto) {
        if (!error) {
            parts_->begin_drain();
        }
    });
    std::vector<work_guard> guards;
    std::vector<std::jthread> threads;
    for (const auto& context : parts_->traffic) {
        guards.push_back(asio::make_work_guard(*context));
        threads.emplace_back([&context] { context->run(); });
    }
    parts_->core.control.run();
    for (const auto& context : parts_->traffic) {
        context->stop();
    }
    return exit_code_ok;
}

} // namespace bamboostream
