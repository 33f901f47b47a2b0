#include "bamboostream/src/Control/quarantine_service.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/digest.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

constexpr milliseconds expiry_period{500};
/// A trial takes about as long as a short call.
constexpr milliseconds min_trial_wait{500};

/// Backend servers are identified by their addresses.
server_state_exchange::server_view view_of_servers(membership_service& membership) {
    server_state_exchange::server_view out;
    out.find = [&membership](const backend_id& id) -> std::optional<std::string> {
        return membership.backends().find(id.text()) ? std::optional(id.text()) : std::nullopt;
    };
    out.others = [&membership](const backend_id& except) {
        std::vector<server_address> others;
        for (const backend_facts& it : membership.backends().all()) {
            if (it.id != except && it.state != backend_state::down) {
                others.push_back({it.id, it.id.text()});
            }
        }
        return others;
    };
    out.start_of = [&membership](const backend_id& id) -> std::optional<std::int64_t> {
        const auto known = membership.backends().find(id.text());
        return known ? std::optional<std::int64_t>(known->start_stamp) : std::nullopt;
    };
    return out;
}

} // namespace

quarantine_service::quarantine_service(asio::io_context& context, peer_links& links,
                                       membership_service& membership)
    : context_(context), membership_(membership),
      server_states_(context, links, membership, checks_, view_of_servers(membership),
                     stable_hash(random_id())),
      exchange_(context, links, membership, registry_) {
    registry_.on_evidence([this](const crash_evidence& it) { exchange_.note(it); });
    registry_.set_server_name_lookup([this](std::uint64_t life) {
        for (const backend_facts& it : membership_.backends().all()) {
            if (incarnation_key(it.id.text(), it.start_stamp) == life) {
                return it.id.text();
            }
        }
        return std::string();
    });
}

void quarantine_service::start() {
    exchange_.start();
    asio::co_spawn(context_, expiry_loop(), log_exception);
}

asio::awaitable<void> quarantine_service::expiry_loop() {
    while (true) {
        registry_.expire(monotonic_now());
        co_await pause_for(expiry_period);
    }
}

milliseconds quarantine_service::held_for(const request_digest& request) const {
    const time_point now = monotonic_now();
    const suspect_state* held = registry_.decisions().find_suspect(request);
    if (held != nullptr && held->verdict != quarantine_verdict::confirmed) {
        return std::max(min_trial_wait,
                        std::chrono::duration_cast<milliseconds>(held->trial_due - now));
    }
    return std::chrono::duration_cast<milliseconds>(registry_.held_for(request, now));
}

asio::awaitable<trial_result> quarantine_service::await_trial(request_digest request,
                                                              time_point deadline) {
    trial_arbiter* const arbiter = &exchange_.trials();
    request_digest trial_of;
    co_return co_await bamboostream::await_trial(
        registry_, arbiter, request, deadline, [] { return false; }, trial_of);
}

wall_time quarantine_service::start_stamp_of(const backend_id& server) const {
    const auto known = membership_.backends().find(server.text());
    return known ? known->start_stamp : 0;
}

std::unique_ptr<wire::FrameT> quarantine_service::answer(const wire::HarmRequestT& request) const {
    return exchange_.answer(request);
}

std::unique_ptr<wire::FrameT> quarantine_service::answer(const wire::TrialRequestT& request,
                                                         std::string_view sender) {
    return exchange_.trials().answer(request, sender);
}

void quarantine_service::note_answer(const request_digest& request) {
    registry_.note_answer(request, monotonic_now());
}

asio::awaitable<void> quarantine_service::examine(lost_attempt run) {
    const time_point lost_at = monotonic_now();
    const auto known = membership_.backends().find(run.server.text());
    const bool leaving = !known || known->state == backend_state::leaving;
    const process_state process = co_await server_states_.verify(run.server, run.server.text());
    const bool restarted = run.start_stamp != 0 && start_stamp_of(run.server) > run.start_stamp;
    log_event(events::backend_connection_lost,
              "digest={} backend={} process={} restarted={} leaving={} answer_begun={}",
              run.request.text(), run.server.text(), to_string(process), restarted, leaving,
              run.answering);
    crash_evidence evidence;
    evidence.request = run.request;
    evidence.server = incarnation_key(run.server.text(), run.start_stamp);
    evidence.caller = stable_hash(run.workspace);
    evidence.at = lost_at;
    evidence.answering = run.answering;
    evidence.on_trial = run.on_trial;
    evidence.attempts = attempt_bit(run.attempt_id);
    if (leaving) {
        co_return;
    }
    if (process == process_state::ended || restarted) {
        registry_.add_local_evidence(evidence, monotonic_now());
        co_return;
    }
    if (process == process_state::running) {
        co_return;
    }
    server_states_.await_end(run.server, [this, evidence, server = run.server] {
        log_event(events::backend_end_found, "digest={} backend={} after_ms={:.0f}",
                  evidence.request.text(), server.text(),
                  to_milliseconds(monotonic_now() - evidence.at));
        registry_.add_local_evidence(evidence, monotonic_now());
    });
}

} // namespace bamboostream
