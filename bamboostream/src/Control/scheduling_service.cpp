#include "bamboostream/src/Control/scheduling_service.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/log_exception.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <set>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

constexpr milliseconds dispatch_period{5};
/// Ends are reported promptly. Token counts are reported less often, since they cost bytes for each
/// open stream.
constexpr milliseconds ends_period{10};
constexpr int periods_per_token_report = 25;
/// How long a scheduler holds a request before it answers "still waiting", and how long the
/// requesting instance waits for any answer before it asks the next candidate.
constexpr milliseconds request_hold_time{700};
constexpr milliseconds answer_timeout{1'100};
/// A scheduler that did not answer is skipped for this long.
constexpr seconds skip_duration{2};
/// After a request, the local scheduler of a pool counts as in use for this long.
constexpr seconds local_use_duration{3};
constexpr std::size_t max_undelivered = 50'000;
constexpr std::size_t schedulers_per_pool = 2;

std::string pool_role(std::string_view pool) {
    return "pool:" + std::string(pool);
}

} // namespace

scheduling_service::scheduling_service(asio::io_context& context,
                                       configuration_service& configuration,
                                       membership_service& membership, peer_links& links,
                                       std::uint64_t seed)
    : context_(context), configuration_(configuration), membership_(membership), links_(links),
      seed_(seed) {}

void scheduling_service::start() {
    membership_.set_watch_filter([this](std::string_view pool) {
        const auto known = pools_.find(pool);
        const bool used = known != pools_.end() && monotonic_now() < known->second.used_until;
        const auto owners = membership_.owners(pool_role(pool), schedulers_per_pool);
        return used ||
               std::find(owners.begin(), owners.end(), membership_.own_address()) != owners.end();
    });
    membership_.on_status([this](const backend_facts& backend, const engine_status& status) {
        if (backend.kind == backend_kind::engine && status.load.capacity_tokens > 0) {
            pool_scheduler& scheduler = *find_or_create(backend.group).scheduler;
            scheduler.add_engine(backend.id, backend.failure_domain);
            const bool may_get_work = membership_.backends().may_get_work(backend.id.text());
            scheduler.set_engine_usable(backend.id.text(), may_get_work && !is_cordoned(backend));
            scheduler.on_report(backend.id.text(), status.load, monotonic_now());
        }
    });
    membership_.on_backend_change([this](const backend_change& change) {
        if (change.now.kind != backend_kind::engine) {
            return;
        }
        const auto known = pools_.find(change.now.group);
        if (known != pools_.end()) {
            known->second.scheduler->set_engine_usable(change.now.id.text(),
                                                       takes_work(change.now));
        }
    });
    configuration_.on_change([this] { reconfigure(); });
    asio::co_spawn(context_, dispatch_loop(), log_exception);
    asio::co_spawn(context_, progress_loop(), log_exception);
}

void scheduling_service::configure(const std::string& name, pool_scheduler& scheduler) const {
    const auto document = configuration_.document();
    const auto pool = document->pools.find(name);
    if (pool != document->pools.end()) {
        scheduler.set_objective(pool->second.goal);
    }
    for (const auto& [workspace, settings] : document->workspaces) {
        scheduler.set_workspace(workspace,
                                {settings.weight, settings.max_running, settings.max_waiting});
    }
}

void scheduling_service::reconfigure() {
    for (auto& [name, pool] : pools_) {
        configure(name, *pool.scheduler);
        for (const backend_facts& backend : membership_.backends().group(name)) {
            pool.scheduler->set_engine_usable(backend.id.text(), takes_work(backend));
        }
    }
}

bool scheduling_service::is_cordoned(const backend_facts& backend) const {
    return configuration_.document()->is_cordoned(backend.failure_domain);
}

bool scheduling_service::takes_work(const backend_facts& backend) const {
    return backend.state == backend_state::live && !is_cordoned(backend);
}

scheduling_service::local_pool& scheduling_service::find_or_create(const std::string& name) {
    local_pool& pool = pools_[name];
    if (!pool.scheduler) {
        const auto document = configuration_.document();
        const auto settings = document->pools.find(name);
        const bool known = settings != document->pools.end();
        pool.scheduler = std::make_unique<pool_scheduler>(
            known ? settings->second.model : name,
            known ? settings->second.goal : objective::stall_time, seed_++);
        configure(name, *pool.scheduler);
        for (const backend_facts& backend : membership_.backends().group(name)) {
            pool.scheduler->add_engine(backend.id, backend.failure_domain);
            pool.scheduler->set_engine_usable(backend.id.text(), takes_work(backend));
        }
    }
    return pool;
}

const pool_scheduler* scheduling_service::find(std::string_view pool) const {
    const auto known = pools_.find(pool);
    return known == pools_.end() ? nullptr : known->second.scheduler.get();
}

bool scheduling_service::owns(std::string_view pool) const {
    const auto owners = membership_.owners(pool_role(pool), 1);
    return !owners.empty() && owners.front() == membership_.own_address();
}

std::vector<std::string> scheduling_service::candidates(std::string_view pool) const {
    std::vector<std::string> out;
    for (const std::string& owner : membership_.owners(pool_role(pool), schedulers_per_pool)) {
        const auto silent = unresponsive_until_.find(owner);
        if (silent == unresponsive_until_.end() || silent->second < monotonic_now()) {
            out.push_back(owner);
        }
    }
    return out;
}

asio::awaitable<scheduling_decision> scheduling_service::acquire(std::string pool,
                                                                 scheduling_request request) {
    while (true) {
        const std::vector<std::string> reachable_schedulers = candidates(pool);
        // A leaving instance owns no pool, but still places the requests that it has accepted.
        const bool alone = reachable_schedulers.empty();
        if (alone || reachable_schedulers.front() == membership_.own_address()) {
            pool_scheduler& scheduler = *find_or_create(pool).scheduler;
            const auto instances = static_cast<double>(membership_.members().usable().size());
            scheduler.set_capacity_share(alone ? 1.0 / std::max(instances, 1.0) : 1.0);
            auto decision = co_await request_local(pool, request, monotonic_now() + answer_timeout);
            if (decision) {
                co_return *decision;
            }
            continue;
        }
        bool answered = false;
        auto decision =
            co_await request_remote(reachable_schedulers.front(), pool, request, answered);
        if (decision) {
            co_return *decision;
        }
        if (!answered) {
            unresponsive_until_[reachable_schedulers.front()] = monotonic_now() + skip_duration;
        }
    }
}

asio::awaitable<std::optional<scheduling_decision>>
scheduling_service::request_local(std::string pool, scheduling_request request, time_point until) {
    const std::uint64_t id = request.id;
    const auto late = undelivered_.find(id);
    if (late != undelivered_.end()) {
        const scheduling_decision decision = late->second;
        undelivered_.erase(late);
        co_return decision;
    }
    local_pool& own = find_or_create(pool);
    own.used_until = monotonic_now() + local_use_duration;
    if (auto decided = own.scheduler->submit(request, monotonic_now())) {
        co_return decided;
    }
    auto waiting = std::make_shared<waiter>(context_);
    waiters_[id] = waiting;
    for (const scheduling_decision& decision : own.scheduler->dispatch(monotonic_now())) {
        deliver(decision);
    }
    if (!waiting->decision) {
        co_await wait_on(waiting->decided, until);
    }
    const auto current = waiters_.find(id);
    if (current != waiters_.end() && current->second == waiting) {
        waiters_.erase(current);
    }
    co_return waiting->decision;
}

asio::awaitable<std::optional<scheduling_decision>>
scheduling_service::request_remote(std::string owner, std::string pool,
                                   const scheduling_request& request, bool& answered) {
    wire::AdmitRequestT message;
    message.request = request.id;
    message.pool = pool;
    message.workspace = request.workspace;
    message.priority = static_cast<std::uint8_t>(request.priority);
    message.kind = request.kind;
    message.prompt_tokens = request.prompt_tokens;
    message.max_tokens = request.max_tokens;
    message.prefix = request.prefix;
    const auto left =
        std::chrono::duration_cast<milliseconds>(request.start_by - monotonic_now()).count();
    message.deadline_in_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0));
    message.avoid = request.avoid;
    link_failure why;
    const auto reply =
        co_await links_.call(owner, make_frame(std::move(message)), answer_timeout, why);
    answered = reply && reply->message.type == wire::Message::AdmitReply;
    if (!answered) {
        co_return std::nullopt;
    }
    const wire::AdmitReplyT& decided = *reply->message.AsAdmitReply();
    if (decided.waiting) {
        co_return std::nullopt;
    }
    scheduling_decision decision;
    decision.id = request.id;
    decision.granted = decided.granted;
    decision.backend = backend_id(decided.backend);
    decision.retry_after = milliseconds(decided.come_back_in_ms);
    decision.reason = static_cast<refusal_reason>(std::min<int>(decided.reason, 3));
    co_return decision;
}

asio::awaitable<std::unique_ptr<wire::FrameT>>
scheduling_service::handle_admit(const wire::AdmitRequestT& message) {
    const time_point now = monotonic_now();
    scheduling_request request;
    request.id = message.request;
    request.workspace = message.workspace;
    request.priority = static_cast<priority_level>(std::min<int>(message.priority, 2));
    request.kind = message.kind;
    request.prompt_tokens = message.prompt_tokens;
    request.max_tokens = message.max_tokens;
    request.prefix = message.prefix;
    request.start_by = now + milliseconds(message.deadline_in_ms);
    request.avoid = message.avoid;
    wire::AdmitReplyT reply;
    reply.waiting = true;
    if (configuration_.document()->pools.contains(message.pool)) {
        find_or_create(message.pool).scheduler->set_capacity_share(1.0);
        const auto decision =
            co_await request_local(message.pool, request, now + request_hold_time);
        if (decision) {
            reply.waiting = false;
            reply.granted = decision->granted;
            reply.backend = decision->backend.text();
            reply.come_back_in_ms = static_cast<std::uint32_t>(decision->retry_after.count());
            reply.reason = static_cast<std::uint8_t>(decision->reason);
        }
    }
    co_return make_reply(std::move(reply));
}

void scheduling_service::deliver(const scheduling_decision& decision) {
    const auto waiting = waiters_.find(decision.id);
    if (waiting != waiters_.end()) {
        waiting->second->decision = decision;
        waiting->second->decided.cancel();
    } else if (undelivered_.size() < max_undelivered) {
        undelivered_[decision.id] = decision;
    }
}

asio::awaitable<void> scheduling_service::dispatch_loop() {
    while (true) {
        co_await pause_for(dispatch_period);
        for (auto& [name, pool] : pools_) {
            for (const scheduling_decision& decision : pool.scheduler->dispatch(monotonic_now())) {
                deliver(decision);
            }
        }
        if (undelivered_.size() >= max_undelivered) {
            undelivered_.clear();
        }
    }
}

void scheduling_service::stream_started(streamed_generation generation) {
    const std::uint64_t id = generation.facts.id;
    streams_[id] = std::move(generation);
}

void scheduling_service::stream_ended(std::uint64_t place, generation_end end) {
    const auto found = streams_.find(place);
    if (found != streams_.end()) {
        found->second.progress->finished = end == generation_end::finished ? 1 : 2;
    }
}

void scheduling_service::report_progress(bool all) {
    std::map<std::string, std::map<std::string, wire::ProgressT>> reports;
    std::vector<std::uint64_t> ended;
    for (auto& [id, stream] : streams_) {
        const std::uint32_t end = stream.progress->finished;
        const std::uint32_t tokens = stream.progress->tokens;
        const bool first_token = tokens > 0 && stream.reported_tokens == 0;
        if (end == 0 && !all && !first_token) {
            continue;
        }
        stream.reported_tokens = tokens;
        const std::vector<std::string> to = candidates(stream.pool);
        const std::string owner = to.empty() ? membership_.own_address() : to.front();
        wire::ProgressT& report = reports[owner][stream.pool];
        report.pool = stream.pool;
        if (stream.reported_to != owner) {
            auto fact = std::make_unique<wire::RunningFactT>();
            fact->request = id;
            fact->workspace = stream.facts.workspace;
            fact->backend = stream.facts.backend;
            fact->kind = stream.facts.kind;
            fact->prompt_tokens = stream.facts.prompt_tokens;
            fact->tokens = tokens;
            report.introduced.push_back(std::move(fact));
            stream.reported_to = owner;
        }
        report.entries.push_back(wire::ProgressEntry(id, tokens, static_cast<std::uint8_t>(end)));
        if (end != 0) {
            ended.push_back(id);
        }
    }
    for (const std::uint64_t id : ended) {
        streams_.erase(id);
    }
    for (auto& [owner, pools] : reports) {
        for (auto& [pool, report] : pools) {
            if (owner == membership_.own_address()) {
                handle_progress(report);
            } else {
                links_.send(owner, make_frame(std::move(report)));
            }
        }
    }
}

void scheduling_service::handle_progress(const wire::ProgressT& progress) {
    if (!configuration_.document()->pools.contains(progress.pool)) {
        return;
    }
    const time_point now = monotonic_now();
    pool_scheduler& scheduler = *find_or_create(progress.pool).scheduler;
    for (const auto& fact : progress.introduced) {
        scheduler.on_progress({fact->request, fact->workspace, fact->backend, fact->kind,
                               fact->prompt_tokens, fact->tokens},
                              now);
    }
    for (const wire::ProgressEntry& entry : progress.entries) {
        if (entry.end() == 0) {
            generation_progress facts;
            facts.id = entry.request();
            facts.tokens = entry.tokens();
            scheduler.on_progress(facts, now);
        } else {
            scheduler.on_finished(
                entry.request(), entry.tokens(),
                entry.end() == 1 ? generation_end::finished : generation_end::cut_off, now);
        }
    }
}

asio::awaitable<void> scheduling_service::progress_loop() {
    int period = 0;
    while (true) {
        co_await pause_for(ends_period);
        report_progress(++period % periods_per_token_report == 0);
    }
}

} // namespace bamboostream
