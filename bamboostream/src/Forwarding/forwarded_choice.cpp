#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Forwarding/forwarded_call.h"

#include <algorithm>

// The choice of the backend server for an attempt of a forwarded request, and the work that the
// request is expected to be for it.

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Estimate of prompt and output tokens for requests that don't state their size.
constexpr std::int64_t default_memory_tokens = 1'000;
/// Servers that are asked for a permit before only those without a limit are considered. Each takes
/// some 2 ms.
constexpr int max_permits_asked = 4;

} // namespace

backend_work forwarded_call::expected_work() const {
    if (!service_->engine) {
        return {1, 0, 0};
    }
    const std::int64_t tokens = request_.prompt_tokens + request_.expected_output_tokens;
    return {1, tokens > 0 ? tokens : default_memory_tokens, request_.prompt_tokens};
}

void forwarded_call::register_work(const backend_id& id) {
    unregister_work();
    work_backend_ = id;
    work_key_ = make_share_key(service_->id, workspace_);
    update_work(expected_work());
}

void forwarded_call::update_work(const backend_work& work) {
    const bool must_notify = work.unread_tokens != registered_work_.unread_tokens;
    state_.loads.subtract(work_backend_, registered_work_);
    state_.shares.add(work_key_, work.memory_tokens - registered_work_.memory_tokens);
    registered_work_ = work;
    state_.loads.add(work_backend_, registered_work_);
    if (must_notify && state_.on_generation_change) {
        state_.on_generation_change();
    }
}

void forwarded_call::unregister_work() {
    if (work_backend_.empty()) {
        return;
    }
    const bool must_notify = registered_work_.memory_tokens > 0;
    state_.loads.subtract(work_backend_, registered_work_);
    state_.shares.add(work_key_, -registered_work_.memory_tokens);
    registered_work_ = {};
    work_backend_ = {};
    if (must_notify && state_.on_generation_change) {
        state_.on_generation_change();
    }
}

asio::awaitable<std::optional<forwarded_call::destination>> forwarded_call::choose() {
    if (service_->engine && !stream_started_) {
        co_return co_await choose_engine_for_generation();
    }
    placement_request wanted;
    wanted.preferred_domain = state_.local_failure_domain;
    wanted.server_memory_tokens = service_->engine ? service_->engine->memory_tokens : 0;
    std::vector<backend_id> avoid = avoid_;
    rate_limited_ = false;
    for (int asked = 0; asked <= max_permits_asked && !caller_left_; ++asked) {
        const time_point now = monotonic_now();
        wanted.avoid = avoid;
        const registered_backend* found = state_.picker.pick(
            candidates(asked < max_permits_asked, now), state_.loads, wanted, now);
        if (found == nullptr) {
            break;
        }
        const registered_backend chosen = *found;
        const bool limited = is_rate_limited(state_, chosen.id);
        if (!limited || co_await acquire_permit(state_, chosen, priority_)) {
            rate_limited_ = false;
            record_send(state_, chosen, monotonic_now());
            co_return destination{chosen, {}, {}, limited};
        }
        avoid.push_back(chosen.id);
        rate_limited_ = true;
    }
    if (rate_limited_) {
        const auto servers = state_.registry.usable(service_->id);
        const auto limited = std::find_if(servers.begin(), servers.end(), [this](const auto* it) {
            return is_rate_limited(state_, it->id);
        });
        record_rate_limited(limited != servers.end() ? *limited : nullptr);
    } else {
        record_no_server();
    }
    co_return std::nullopt;
}

std::vector<const registered_backend*> forwarded_call::candidates(bool with_limited,
                                                                  time_point now) {
    const sender_role role = service_->engine ? own_role(state_, service_->id) : sender_role::peer;
    auto servers = servers_with_capacity(state_, service_->id, role, now);
    std::erase_if(servers,
                  [this](const registered_backend* server) { return !fits_origin(*server); });
    const std::size_t with_capacity = servers.size();
    if (state_.rate_limits.any()) {
        std::erase_if(servers, [&](const registered_backend* server) {
            return with_limited ? expected_permit_wait(state_, *server, priority_, now) > duration{}
                                : is_rate_limited(state_, server->id);
        });
    }
    rate_limited_ = rate_limited_ || servers.size() < with_capacity;
    return servers;
}

void forwarded_call::record_rate_limited(const registered_backend* server) {
    overload_duration_ = state_.overloads[service_->id].record_refusal(monotonic_now());
    state_.counters.count(admission_result::rate_limited);
    log_event(events::request_refused,
              "request={} reason={} route={} workspace={} backend={} per_second={}", request_.id,
              to_string(admission_result::rate_limited), route_->name,
              workspace_ ? workspace_->text() : "none", server ? server->id.text() : "none",
              rate_text(server ? state_.rate_limits.find(server->id) : std::nullopt));
}

asio::awaitable<std::optional<forwarded_call::destination>>
forwarded_call::choose_engine_for_generation() {
    engine_request wanted;
    wanted.service = service_->id;
    wanted.work = expected_work();
    wanted.engine_memory_tokens = service_->engine->memory_tokens;
    wanted.version = origin_ ? origin_->version : software_version();
    wanted.priority = priority_;
    wanted.objective = route_->objective;
    if (state_.server_loads.reports_host_load(service_->id)) {
        wanted.pause_objective = route_->pause_objective;
    }
    if (state_.is_contended(service_->id)) {
        wanted.workspace = workspace_;
    }
    wanted.avoid = avoid_;
    wanted.preferred_domain = state_.local_failure_domain;
    rate_limited_ = false;
    memory_reserved_ = false;
    for (int asked = 0; asked < max_permits_asked && !caller_left_; ++asked) {
        std::optional<engine_choice> choice;
        if (state_.scheduler != nullptr) {
            choice = co_await state_.scheduler->choose(wanted);
        }
        if (!choice) {
            choice = choose_engine(state_, wanted, own_role(state_, service_->id), monotonic_now());
        }
        if (!choice->engine) {
            break;
        }
        if (choice->result != admission_result::admit) {
            admission_refused_ = true;
            rate_limited_ = choice->result == admission_result::rate_limited;
            memory_reserved_ = choice->result == admission_result::memory_reserved;
            overload_duration_ = choice->overload;
            state_.counters.count(choice->result);
            log_admission_refusal(*choice);
            co_return std::nullopt;
        }
        // The instance that chose may not know yet that the engine names a limit.
        const bool limited = is_rate_limited(state_, choice->engine->id);
        if (choice->has_permit || !limited ||
            co_await acquire_permit(state_, *choice->engine, priority_)) {
            rate_limited_ = false;
            co_return destination{*choice->engine, std::nullopt, choice->work, limited};
        }
        rate_limited_ = true;
        wanted.avoid.push_back(choice->engine->id);
    }
    if (rate_limited_) {
        record_rate_limited(nullptr);
    } else {
        record_no_server();
    }
    co_return std::nullopt;
}

void forwarded_call::log_admission_refusal(const engine_choice& choice) const {
    log_event(events::request_refused,
              "request={} reason={} route={} workspace={} backend={} memory_tokens={} "
              "unread_tokens={} of={}",
              request_.id, to_string(choice.result), route_->name,
              workspace_ ? workspace_->text() : "none", choice.engine->id.text(),
              choice.work.memory_tokens, choice.work.unread_tokens,
              service_->engine->memory_tokens);
}

} // namespace bamboostream
