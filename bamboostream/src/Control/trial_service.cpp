#include "bamboostream/src/Control/trial_service.h"

#include "bamboostream/src/Control/frames.h"

namespace bamboostream {

namespace asio = boost::asio;

namespace {

constexpr milliseconds answer_timeout{300};
/// All callers that wait for one request share this interval.
constexpr milliseconds ask_interval{50};

wire::TrialRequestT make_request(const request_digest& request, duration lease, bool ended) {
    wire::TrialRequestT out;
    out.high = request.high;
    out.low = request.low;
    out.lease_ms = age_to_wire(lease);
    out.ended = ended;
    return out;
}

} // namespace

trial_service::trial_service(peer_links& links, const membership_service& membership,
                             quarantine_registry& quarantine)
    : links_(links), membership_(membership), quarantine_(quarantine) {}

bool trial_service::grant(const request_digest& request, std::string_view holder, duration lease) {
    const time_point now = monotonic_now();
    quarantine_.settle(now);
    const suspect_state* known = quarantine_.decisions().find_suspect(request);
    const bool due = known == nullptr ||
                     (known->verdict != quarantine_verdict::confirmed && now >= known->trial_due);
    return due && permits_.acquire(request, holder, lease, now);
}

asio::awaitable<bool> trial_service::acquire(request_digest request, duration lease) {
    const auto owners = membership_.owners(request.text(), 1);
    if (owners.empty() || owners.front() == membership_.own_address()) {
        co_return grant(request, membership_.own_address(), lease);
    }
    const time_point now = monotonic_now();
    std::erase_if(ask_again_at_, [now](const auto& it) { return it.second <= now; });
    if (!ask_again_at_.try_emplace(request, now + answer_timeout).second) {
        co_return false;
    }
    const std::string& owner = owners.front();
    link_failure why;
    const auto reply = co_await links_.call(owner, make_frame(make_request(request, lease, false)),
                                            answer_timeout, why);
    ask_again_at_[request] = monotonic_now() + ask_interval;
    if (!reply || reply->message.type != wire::Message::TrialReply) {
        // The owner may have granted the trial although its reply is lost.
        send_release(owner, request);
        co_return false;
    }
    const bool granted = reply->message.AsTrialReply()->granted;
    if (granted) {
        granted_by_[request] = owner;
    }
    co_return granted;
}

void trial_service::send_release(const std::string& owner, const request_digest& request) {
    links_.send(owner, make_frame(make_request(request, duration{}, true)));
}

void trial_service::release(const request_digest& request) {
    const auto granted = granted_by_.find(request);
    if (granted == granted_by_.end()) {
        permits_.release(request, membership_.own_address(), monotonic_now());
        return;
    }
    send_release(granted->second, request);
    granted_by_.erase(granted);
}

std::unique_ptr<wire::FrameT> trial_service::answer(const wire::TrialRequestT& request,
                                                    std::string_view sender) {
    const request_digest digest{request.high, request.low};
    if (request.ended) {
        permits_.release(digest, sender, monotonic_now());
        return nullptr;
    }
    wire::TrialReplyT reply;
    reply.granted = grant(digest, sender, milliseconds(request.lease_ms));
    return make_reply(reply);
}

} // namespace bamboostream
