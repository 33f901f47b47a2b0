#include "bamboostream/src/Control/server_state_exchange.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/log_exception.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Number of instances asked. If most of a group of instances have lost their links to the servers,
/// it is still likely that one of these has not.
constexpr std::size_t max_witnesses = 5;
/// A witness answers within some 30 ms; one that gets no answer itself takes 0.1 s.
constexpr milliseconds answer_timeout{150};
/// Number of other servers to which connections are tried before the own network counts as broken.
constexpr std::size_t max_control_servers = 6;
/// How long after its start a verification is shared: requests on one server lose their connections
/// within a few milliseconds of each other. The process may end after the witnesses have answered.
constexpr milliseconds sharing_time{20};
/// Interval at which refusing servers are examined when no request reaches a server.
constexpr milliseconds examination_period{100};

} // namespace

process_state combine_findings(process_state own, std::span<const process_state> others) {
    const auto found = [others](process_state state) {
        return std::find(others.begin(), others.end(), state) != others.end();
    };
    if (own == process_state::running || found(process_state::running)) {
        return process_state::running;
    }
    if (found(process_state::ended)) {
        return process_state::ended;
    }
    return others.empty() ? own : process_state::unknown;
}

void server_state_exchange::record_refusal(const server_address& server) {
    refusing_.on_refused(server, view_.start_of(server.id).value_or(0), monotonic_now());
    if (!std::exchange(examining_, true)) {
        asio::co_spawn(context_, examine_again(), log_exception);
    }
}

void server_state_exchange::record(const server_address& server, process_state state) {
    if (state == process_state::running) {
        refusing_.on_running(server.id);
    } else if (state == process_state::ended) {
        record_refusal(server);
        refusing_.on_ended(server.id);
    }
}

void server_state_exchange::await_end(const backend_id& server, std::function<void()> listener) {
    refusing_.await_end(server, std::move(listener));
}

void server_state_exchange::note_reached(const backend_id& server) {
    if (!refusing_.empty()) {
        refusing_.on_reached(server, monotonic_now());
        wake_up_.cancel();
    }
}

/// Servers that have ended would refuse the connection whatever the network does. Without them, a
/// request that has crashed all servers but one could not be blamed for the last one.
asio::awaitable<bool> server_state_exchange::reaches_another(backend_id server) {
    std::vector<server_address> others = view_.others(server);
    std::erase_if(others, [this](const server_address& it) { return refusing_.has_ended(it.id); });
    if (others.empty()) {
        co_return true;
    }
    std::shuffle(others.begin(), others.end(), random_);
    others.resize(std::min(others.size(), max_control_servers));
    for (const server_address& other : others) {
        if (refusing_.is_network_proven(server, monotonic_now())) {
            co_await pause_for(refusing_servers::partition_spread);
            co_return true;
        }
        const process_state control = co_await checks_.check_now(other.address);
        if (control == process_state::running) {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<process_state> server_state_exchange::check_here(backend_id server) {
    const bool listed = view_.start_of(server).has_value();
    const std::string address =
        view_.find(server).value_or(listed ? std::string() : refusing_.address_of(server));
    if (address.empty()) {
        co_return process_state::unknown;
    }
    process_state state = co_await checks_.check_now(address);
    if (state == process_state::ended) {
        record_refusal({server, address});
        if (!refusing_.has_ended(server)) {
            // A partition that ends now may have ended for the other server first.
            state = co_await reaches_another(server) ? co_await checks_.check_now(address)
                                                     : process_state::unknown;
        }
    }
    record({server, address}, state);
    co_return state;
}

asio::awaitable<void> server_state_exchange::recheck(bool network_works) {
    std::vector<refusing_servers::open_question> open = refusing_.open_questions();
    std::erase_if(open, [this, network_works, now = monotonic_now()](const auto& it) {
        return !network_works && !refusing_.is_network_proven(it.server.id, now);
    });
    if (!network_works && !open.empty()) {
        co_await pause_for(refusing_servers::partition_spread);
    }
    for (const refusing_servers::open_question& it : open) {
        if (!refusing_.has_ended(it.server.id)) {
            record(it.server, co_await checks_.check_now(it.server.address));
        }
    }
}

void server_state_exchange::confirm_restarts() {
    for (const refusing_servers::open_question& it : refusing_.open_questions()) {
        const std::optional<std::int64_t> start = view_.start_of(it.server.id);
        if (start && *start > it.started) {
            refusing_.confirm_end(it.server.id);
        }
    }
}

asio::awaitable<void> server_state_exchange::confirm(backend_id server) {
    const auto about = std::make_shared<verification>(context_);
    co_await ask_others(server, about);
    const process_state own =
        refusing_.has_ended(server) ? process_state::ended : process_state::unknown;
    const process_state found = combine_findings(own, about->answers);
    if (found == process_state::running) {
        refusing_.on_running(server);
    } else if (found == process_state::ended) {
        refusing_.confirm_end(server);
    }
}

asio::awaitable<void> server_state_exchange::examine_again() {
    while (true) {
        co_await wait_on(wake_up_, monotonic_now() + examination_period);
        refusing_.expire([this](const backend_id& it) { return view_.start_of(it).has_value(); },
                         monotonic_now());
        const std::vector<refusing_servers::open_question> open = refusing_.open_questions();
        if (open.empty()) {
            break;
        }
        confirm_restarts();
        co_await recheck(co_await reaches_another(open.front().server.id));
        for (const refusing_servers::open_question& it : open) {
            if (it.has_listeners && refusing_.may_ask_others(it.server.id, monotonic_now())) {
                asio::co_spawn(context_, confirm(it.server.id), log_exception);
            }
        }
    }
    examining_ = false;
}

std::vector<std::string> server_state_exchange::choose_witnesses() {
    struct candidate {
        std::size_t rank = 0;
        std::string address;
    };
    std::vector<member_facts> members = membership_.members().usable();
    std::shuffle(members.begin(), members.end(), random_);
    // Network failures often concern a whole failure domain.
    std::map<failure_domain_id, std::size_t> chosen{{membership_.own_failure_domain(), 1}};
    std::vector<candidate> candidates;
    for (const member_facts& member : members) {
        if (member.id.address != membership_.own_address()) {
            candidates.push_back({chosen[member.failure_domain]++, member.id.address});
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const candidate& a, const candidate& b) { return a.rank < b.rank; });
    candidates.resize(std::min(candidates.size(), max_witnesses));
    std::vector<std::string> out;
    for (candidate& it : candidates) {
        out.push_back(std::move(it.address));
    }
    return out;
}

asio::awaitable<void> server_state_exchange::ask(std::string peer, backend_id server,
                                                 verification_ptr about) {
    wire::ServerCheckRequestT request;
    request.backend = server.text();
    link_failure why;
    const auto reply =
        co_await links_.call(std::move(peer), make_frame(request), answer_timeout, why);
    if (reply && reply->message.type == wire::Message::ServerCheckReply) {
        const wire::ServerState state = reply->message.AsServerCheckReply()->state;
        about->answers.push_back(state == wire::ServerState::running ? process_state::running
                                 : state == wire::ServerState::ended ? process_state::ended
                                                                     : process_state::unknown);
    }
    --about->outstanding;
    about->answered.cancel();
}

asio::awaitable<void> server_state_exchange::ask_others(backend_id server, verification_ptr about) {
    const std::vector<std::string> witnesses = choose_witnesses();
    about->outstanding = witnesses.size();
    for (const std::string& peer : witnesses) {
        asio::co_spawn(context_, ask(peer, server, about), log_exception);
    }
    const auto running = [&about] {
        return std::find(about->answers.begin(), about->answers.end(), process_state::running) !=
               about->answers.end();
    };
    const time_point limit = monotonic_now() + answer_timeout;
    while (about->outstanding > 0 && !running() && monotonic_now() < limit) {
        co_await wait_on(about->answered, limit);
    }
}

asio::awaitable<process_state> server_state_exchange::verify(backend_id server,
                                                             std::string address) {
    std::erase_if(verifications_, [now = monotonic_now()](const auto& item) {
        return now >= item.second->started + sharing_time;
    });
    if (const auto found = verifications_.find(server); found != verifications_.end()) {
        const verification_ptr other = found->second;
        if (!other->complete) {
            boost::system::error_code cancelled;
            co_await other->done.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
        }
        co_return other->state;
    }
    const auto own = std::make_shared<verification>(context_);
    verifications_[server] = own;
    const bool reachable = view_.find(server).has_value();
    process_state here = process_state::unknown;
    if (reachable) {
        here = co_await checks_.check(server, address);
    }
    own->state = here;
    if (!reachable || here == process_state::ended) {
        record_refusal({server, address});
        here = co_await check_here(server);
        co_await ask_others(server, own);
        own->state = combine_findings(here, own->answers);
    }
    record({server, std::move(address)}, own->state);
    if (own->state == process_state::ended) {
        refusing_.confirm_end(server);
    }
    own->complete = true;
    own->done.cancel();
    co_return own->state;
}

asio::awaitable<std::unique_ptr<wire::FrameT>>
server_state_exchange::answer(const wire::ServerCheckRequestT& request) {
    const process_state state = co_await check_here(backend_id(request.backend));
    wire::ServerCheckReplyT reply;
    reply.state = state == process_state::running ? wire::ServerState::running
                  : state == process_state::ended ? wire::ServerState::ended
                                                  : wire::ServerState::unknown;
    co_return make_reply(reply);
}

} // namespace bamboostream
