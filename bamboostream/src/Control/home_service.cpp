#include "bamboostream/src/Control/home_service.h"

#include "bamboostream/src/Control/frames.h"

namespace bamboostream {

namespace asio = boost::asio;

namespace {

constexpr milliseconds home_timeout{400};
constexpr std::size_t homes_per_key = 2;
/// Longer than any caller waits before a retry.
constexpr std::chrono::minutes entry_lifetime{10};
constexpr seconds expiry_period{5};
constexpr std::size_t max_entries = 500'000;

std::string entry_key(const std::string& workspace, const std::string& key) {
    return workspace + '\x1f' + key;
}

} // namespace

home_service::home_service(membership_service& membership, peer_links& links)
    : membership_(membership), links_(links) {}

std::vector<std::string> home_service::homes(const std::string& workspace,
                                             const std::string& key) const {
    return membership_.owners("home:" + entry_key(workspace, key), homes_per_key);
}

bool home_service::holder_alive(const entry& e) const {
    const auto holder = membership_.members().find(e.sender);
    return holder && holder->state != liveness::gone;
}

void home_service::expire(time_point now) {
    if (now - last_expiry_ < expiry_period && entries_.size() < max_entries) {
        return;
    }
    last_expiry_ = now;
    std::erase_if(entries_, [now](const auto& item) {
        return now - item.second.updated_at > entry_lifetime;
    });
}

home_answer home_service::decide(const wire::HomeRequestT& request, const std::string& sender,
                                 time_point now) {
    expire(now);
    const std::string name = entry_key(request.workspace, request.key);
    const auto found = entries_.find(name);
    if (request.release) {
        if (found != entries_.end() && found->second.claimant == request.claimant) {
            entries_.erase(found);
        }
        return {};
    }
    const bool held = found != entries_.end() && found->second.claimant != request.claimant;
    // A claimant whose instance failed before it had a stream will never have one.
    const bool stale = held && found->second.handle.empty() && !holder_alive(found->second);
    if (held && !stale && !request.take_over) {
        return {false, found->second.handle, found->second.claimant};
    }
    entry& e = entries_[name];
    e.claimant = request.claimant;
    e.sender = sender;
    e.updated_at = now;
    if (!request.handle.empty() || stale) {
        e.handle = request.handle;
    }
    return {true, e.handle, e.claimant};
}

std::unique_ptr<wire::FrameT> home_service::handle(const wire::HomeRequestT& request,
                                                   const std::string& sender) {
    const home_answer answer = decide(request, sender, monotonic_now());
    wire::HomeReplyT reply;
    reply.first = answer.first;
    reply.handle = answer.handle;
    reply.claimant = answer.claimant;
    return make_reply(std::move(reply));
}

asio::awaitable<home_answer> home_service::claim(std::string workspace, std::string key,
                                                 std::string claimant) {
    wire::HomeRequestT request;
    request.workspace = workspace;
    request.key = key;
    request.claimant = claimant;
    home_answer result;
    // The first home decides; the second also records the claim, so that it can answer if the first
    // one fails.
    for (const std::string& home : homes(workspace, key)) {
        home_answer answer;
        if (home == membership_.own_address()) {
            answer = decide(request, home, monotonic_now());
        } else {
            link_failure why;
            const auto reply = co_await links_.call(home, make_frame(request), home_timeout, why);
            if (!reply || reply->message.type != wire::Message::HomeReply) {
                continue;
            }
            const wire::HomeReplyT& reply_body = *reply->message.AsHomeReply();
            answer = {reply_body.first, reply_body.handle, reply_body.claimant};
        }
        if (!answer.first) {
            co_return answer;
        }
        result = answer;
    }
    co_return result;
}

void home_service::notify_homes(const wire::HomeRequestT& request) {
    for (const std::string& home : homes(request.workspace, request.key)) {
        if (home == membership_.own_address()) {
            decide(request, home, monotonic_now());
        } else {
            links_.send(home, make_frame(request));
        }
    }
}

void home_service::publish(const std::string& workspace, const std::string& key,
                           const std::string& claimant, const std::string& handle) {
    wire::HomeRequestT request;
    request.workspace = workspace;
    request.key = key;
    request.claimant = claimant;
    request.handle = handle;
    notify_homes(request);
}

void home_service::release(const std::string& workspace, const std::string& key,
                           const std::string& claimant) {
    wire::HomeRequestT request;
    request.workspace = workspace;
    request.key = key;
    request.claimant = claimant;
    request.release = true;
    notify_homes(request);
}

void home_service::take_over(const std::string& workspace, const std::string& key,
                             const std::string& claimant) {
    wire::HomeRequestT request;
    request.workspace = workspace;
    request.key = key;
    request.claimant = claimant;
    request.take_over = true;
    notify_homes(request);
}

} // namespace bamboostream
