#include "bamboostream/src/Control/server_state_exchange.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

void server_state_exchange::remember(const backend_id& server, process_state state) {
    if (state == process_state::ended) {
        ended_.insert(server);
    } else if (state == process_state::running) {
        ended_.erase(server);
    }
    std::erase_if(ended_, [this](const backend_id& it) { return !view_.find(it); });
}

/// Servers that have ended would refuse the connection whatever the network does. Without them, a
/// request that has crashed all servers but one could not be blamed for the last one.
asio::awaitable<bool> server_state_exchange::reaches_another(backend_id server) {
    std::vector<server_address> others = view_.others(server);
    std::erase_if(others, [this](const server_address& it) { return ended_.contains(it.id); });
    if (others.empty()) {
        co_return true;
    }
    std::shuffle(others.begin(), others.end(), random_);
    others.resize(std::min(others.size(), max_control_servers));
    for (const server_address& other : others) {
        const process_state control = co_await checks_.check_now(other.address);
        if (control == process_state::running) {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<process_state> server_state_exchange::check_here(backend_id server) {
    const auto address = view_.find(server);
    if (!address) {
        co_return process_state::unknown;
    }
    process_state state = co_await checks_.check_now(*address);
    if (state == process_state::ended && !co_await reaches_another(server)) {
        state = process_state::unknown;
    }
    remember(server, state);
    co_return state;
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
        asio::co_spawn(context_, ask(peer, server, about), asio::detached);
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
        here = co_await checks_.check(server, std::move(address));
    }
    own->state = here;
    if (!reachable || here == process_state::ended) {
        here = co_await check_here(server);
        co_await ask_others(server, own);
        own->state = combine_findings(here, own->answers);
    }
    remember(server, own->state);
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
