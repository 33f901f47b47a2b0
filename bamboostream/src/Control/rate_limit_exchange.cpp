#include "bamboostream/src/Control/rate_limit_exchange.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/digest.h"
#include "bamboostream/src/Core/log_exception.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// The owner of a server's permits, and a standby in another failure domain.
constexpr std::size_t issuers_per_server = 2;
/// An issuer answers in about 2 ms. A refused caller must be told within 50 ms, and there are two
/// issuers to ask.
constexpr milliseconds answer_timeout{20};
/// An issuer that didn't answer is asked again after this time.
constexpr milliseconds unresponsive_pause{500};
/// Time until a server whose issuers don't answer is considered again.
constexpr milliseconds unanswered_pause{100};
constexpr milliseconds repeat_period{1'000};
/// Limits in one message; the rest follows in later ones, which begin at a random limit.
constexpr std::size_t max_repeated = 500;

std::unique_ptr<wire::RateLimitEntryT> to_wire(const server_rate_limit& state, time_point now) {
    auto out = std::make_unique<wire::RateLimitEntryT>();
    out->backend = state.server.text();
    out->started_ms = state.started_ms;
    out->limited = state.per_second.has_value();
    out->per_second = state.per_second.value_or(0.0);
    out->age_ms = age_to_wire(now - state.seen_at);
    return out;
}

server_rate_limit from_wire(const wire::RateLimitEntryT& entry, time_point now) {
    server_rate_limit out;
    out.server = backend_id(entry.backend);
    out.started_ms = entry.started_ms;
    if (entry.limited && entry.per_second >= 0.0) {
        out.per_second = entry.per_second;
    }
    out.seen_at = now - milliseconds(entry.age_ms);
    return out;
}

std::size_t rank_class(int priority) {
    return priority > 0 ? 1 : 0;
}

} // namespace

rate_limit_exchange::rate_limit_exchange(asio::io_context& context, peer_links& links,
                                         membership_service& membership,
                                         const backend_registry& servers,
                                         server_rate_limits& limits, permit_issuer& issuer,
                                         key_function key)
    : context_(context), links_(links), membership_(membership), servers_(servers), limits_(limits),
      issuer_(issuer), key_(std::move(key)), random_(stable_hash(random_id())) {
    limits_.on_change([this](const server_rate_limit& state, rate_limit_change change,
                             bool seen_here) { announce(state, change, seen_here); });
}

void rate_limit_exchange::start() {
    asio::co_spawn(context_, repeat_loop(), log_exception);
}

std::vector<std::string> rate_limit_exchange::issuers(const registered_backend& server) const {
    return membership_.owners(key_(server), issuers_per_server);
}

issuer_role rate_limit_exchange::own_role(const registered_backend& server) const {
    const std::vector<std::string> order = issuers(server);
    const auto own = std::find(order.begin(), order.end(), membership_.own_address());
    return own == order.end()     ? issuer_role::none
           : own == order.begin() ? issuer_role::owner
                                  : issuer_role::standby;
}

permit_terms rate_limit_exchange::terms_for(const registered_backend& server, int priority) const {
    return {server.id, limits_.find(server.id).value_or(0.0), own_role(server), priority};
}

/// A limit that ends is followed at once by requests, so its waits are dropped.
void rate_limit_exchange::announce(const server_rate_limit& state, rate_limit_change change,
                                   bool seen_here) {
    if (change != rate_limit_change::changed) {
        ask_again_at_.erase(state.server);
    }
    const registered_backend* server = servers_.find(state.server);
    if (server == nullptr) {
        return;
    }
    if (change == rate_limit_change::ended) {
        issuer_.forget(state.server);
    } else if (own_role(*server) != issuer_role::none) {
        // Permits accrue from now on.
        issuer_.check(terms_for(*server, 0), monotonic_now());
    }
    if (!seen_here) {
        return;
    }
    wire::RateLimitReportT report;
    report.entries.push_back(to_wire(state, monotonic_now()));
    if (change != rate_limit_change::changed) {
        links_.send_to_each(membership_.usable_peers(), make_frame(std::move(report)));
        return;
    }
    std::vector<std::string> recipients = issuers(*server);
    std::erase(recipients, membership_.own_address());
    links_.send_to_each(recipients, make_frame(std::move(report)));
}

void rate_limit_exchange::note_roles(std::span<const server_rate_limit> known, time_point now) {
    for (const server_rate_limit& state : known) {
        const registered_backend* server = servers_.find(state.server);
        if (server != nullptr && state.per_second) {
            issuer_.check(terms_for(*server, 0), now);
        }
    }
}

asio::awaitable<void> rate_limit_exchange::repeat_loop() {
    while (true) {
        co_await pause_for(repeat_period);
        std::vector<server_rate_limit> known = limits_.all();
        note_roles(known, monotonic_now());
        const std::vector<std::string>& peers = membership_.usable_peers();
        if (known.empty() || peers.empty()) {
            continue;
        }
        const auto draw = [this](std::size_t count) {
            return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
        };
        if (known.size() > max_repeated) {
            std::rotate(known.begin(),
                        known.begin() + static_cast<std::ptrdiff_t>(draw(known.size())),
                        known.end());
            known.resize(max_repeated);
        }
        wire::RateLimitReportT report;
        for (const server_rate_limit& state : known) {
            report.entries.push_back(to_wire(state, monotonic_now()));
        }
        links_.send(peers[draw(peers.size())], make_frame(std::move(report)));
    }
}

/// What concerns another process of the server than the one known here is left out: if it is a
/// later one, its own responses tell.
void rate_limit_exchange::hear(const wire::RateLimitReportT& report) {
    const time_point now = monotonic_now();
    for (const auto& entry : report.entries) {
        const server_rate_limit reported = from_wire(*entry, now);
        const registered_backend* server = servers_.find(reported.server);
        if (server != nullptr && server->started_ms == reported.started_ms) {
            limits_.merge(reported);
        }
    }
}

duration rate_limit_exchange::expected_wait(const registered_backend& server, int priority,
                                            time_point now) {
    if (!limits_.find(server.id)) {
        return {};
    }
    if (own_role(server) == issuer_role::owner) {
        return issuer_.check(terms_for(server, priority), now).wait;
    }
    const auto found = ask_again_at_.find(server.id);
    return found == ask_again_at_.end()
               ? duration{}
               : std::max(duration{}, found->second.at(rank_class(priority)) - now);
}

bool rate_limit_exchange::take_own(const registered_backend& server, int priority, time_point now) {
    return issuer_.issue(terms_for(server, priority), now).granted;
}

bool rate_limit_exchange::is_unresponsive(const std::string& issuer, time_point now) const {
    const auto found = unresponsive_until_.find(issuer);
    return found != unresponsive_until_.end() && now < found->second;
}

void rate_limit_exchange::set_wait(const backend_id& server, int priority, time_point until) {
    ask_again_at_[server].at(rank_class(priority)) = until;
}

asio::awaitable<std::unique_ptr<wire::RatePermitReplyT>>
rate_limit_exchange::ask(std::string issuer, registered_backend server, int priority) {
    wire::RatePermitRequestT request;
    if (const server_rate_limit* known = limits_.find_record(server.id)) {
        request.entry = to_wire(*known, monotonic_now());
    }
    request.priority = static_cast<std::uint8_t>(std::clamp(priority, 0, 255));
    link_failure why;
    const auto reply =
        co_await links_.call(issuer, make_frame(std::move(request)), answer_timeout, why);
    if (!reply || reply->message.type != wire::Message::RatePermitReply) {
        const time_point now = monotonic_now();
        std::erase_if(unresponsive_until_, [now](const auto& item) { return now >= item.second; });
        unresponsive_until_[issuer] = now + unresponsive_pause;
        co_return nullptr;
    }
    co_return std::make_unique<wire::RatePermitReplyT>(
        std::move(*reply->message.AsRatePermitReply()));
}

asio::awaitable<bool> rate_limit_exchange::acquire(registered_backend server, int priority) {
    for (const std::string& issuer : issuers(server)) {
        if (issuer == membership_.own_address()) {
            // A server whose limit has ended needs no permit, as in `answer`.
            const bool granted =
                !limits_.find(server.id) ||
                issuer_.issue(terms_for(server, priority), monotonic_now()).granted;
            ++(granted ? counts_.granted : counts_.denied);
            co_return granted;
        }
        if (is_unresponsive(issuer, monotonic_now())) {
            continue;
        }
        const auto reply = co_await ask(issuer, server, priority);
        if (!reply || !reply->issues) {
            continue;
        }
        if (reply->entry) {
            limits_.merge(from_wire(*reply->entry, monotonic_now()));
        }
        if (reply->granted || !limits_.find(server.id)) {
            ++counts_.granted;
            co_return true;
        }
        set_wait(server.id, priority, monotonic_now() + milliseconds(reply->wait_ms));
        ++counts_.denied;
        co_return false;
    }
    set_wait(server.id, priority, monotonic_now() + unanswered_pause);
    ++counts_.unanswered;
    co_return false;
}

std::unique_ptr<wire::FrameT> rate_limit_exchange::answer(const wire::RatePermitRequestT& request) {
    const time_point now = monotonic_now();
    wire::RatePermitReplyT reply;
    const server_rate_limit asked =
        request.entry ? from_wire(*request.entry, now) : server_rate_limit{};
    const registered_backend* server = servers_.find(asked.server);
    if (server == nullptr || server->started_ms != asked.started_ms) {
        return make_reply(std::move(reply));
    }
    limits_.merge(asked);
    const permit_terms terms = terms_for(*server, request.priority);
    reply.issues = terms.role != issuer_role::none;
    if (request.unpermitted) {
        issuer_.record_unpermitted_send(terms, now);
        return nullptr;
    }
    if (const server_rate_limit* known = limits_.find_record(asked.server)) {
        reply.entry = to_wire(*known, now);
    }
    if (reply.issues && limits_.find(asked.server)) {
        const permit_decision decision = issuer_.issue(terms, now);
        reply.granted = decision.granted;
        reply.wait_ms = age_to_wire(decision.wait);
    } else if (reply.issues) {
        reply.granted = true;
    }
    return make_reply(std::move(reply));
}

void rate_limit_exchange::record_unpermitted_send(const registered_backend& server,
                                                  time_point now) {
    const server_rate_limit* known = limits_.find_record(server.id);
    const std::vector<std::string> order = issuers(server);
    if (known == nullptr || !known->per_second || order.empty()) {
        return;
    }
    ++counts_.unpermitted;
    if (order.front() == membership_.own_address()) {
        issuer_.record_unpermitted_send(terms_for(server, 0), now);
        return;
    }
    wire::RatePermitRequestT request;
    request.entry = to_wire(*known, now);
    request.unpermitted = true;
    links_.send(order.front(), make_frame(std::move(request)));
}

void rate_limit_exchange::forget(const backend_id& server) {
    limits_.forget(server);
    issuer_.forget(server);
    ask_again_at_.erase(server);
}

} // namespace bamboostream
