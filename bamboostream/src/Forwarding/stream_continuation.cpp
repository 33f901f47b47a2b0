#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Forwarding/forwarded_call.h"
#include "bamboostream/src/Forwarding/request_identity.h"

#include <algorithm>

// Where the stream of a forwarded request may go on: its origin, and its take-up by the caller.

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// The origin of a stream is kept for this many timeouts after its first event: one for the stream
/// and one for its caller's return, at most for `max_origin_time`.
constexpr int kept_timeouts = 2;
constexpr std::chrono::minutes max_origin_time{5};

} // namespace

/// Either field without the other is a mistake: a run from the start would repeat events, and one
/// that goes on at any server would join events of two software versions.
std::optional<forwarded_call::rejection> forwarded_call::check_resumption() const {
    if (request_.malformed_resume_after ||
        request_.resume_after.has_value() == request_.resumes.empty()) {
        return rejection{400, "malformed_resumption", std::nullopt};
    }
    return std::nullopt;
}

bool forwarded_call::takes_stream_up() const {
    return route_->repeats == repeat_policy::resumable && request_.resume_after.has_value();
}

asio::awaitable<std::optional<forwarded_call::rejection>> forwarded_call::find_origin() {
    const request_digest stream =
        stream_digest_of(exchange_.request(), workspace_, request_.resumes);
    if (state_.origin_registry != nullptr) {
        origin_ = co_await state_.origin_registry->find(stream);
    } else if (const auto known = state_.origins.find(stream, monotonic_now())) {
        origin_ = known->origin;
    }
    log_event(events::stream_taken_up,
              "request={} resumes={} route={} service={} software_version={} after_event={}",
              request_.id, request_.resumes, route_->name,
              origin_ ? origin_->service.text() : "unknown",
              printable(origin_ ? origin_->version : software_version()), *request_.resume_after);
    if (!origin_) {
        origin_.emplace();
        record_not_continued(continuation_refusal::origin_unknown, nullptr);
        co_return rejection{503, "stream_unknown", refusal_cause::stream_unknown};
    }
    const bool routed =
        std::any_of(route_->services.begin(), route_->services.end(), [this](const auto& it) {
            return it.service == origin_->service && it.weight > 0.0;
        });
    service_ = routed ? routes_->find_service(origin_->service) : nullptr;
    if (service_ == nullptr) {
        record_not_continued(continuation_refusal::service_not_routed, nullptr);
        co_return rejection{503, "service_not_routed", refusal_cause::version_unavailable};
    }
    ++state_.counters.streams_taken_up;
    co_return std::nullopt;
}

void forwarded_call::share_origin() {
    if (route_->repeats != repeat_policy::resumable || origin_->version.empty()) {
        return;
    }
    shared_stream_ = stream_digest_of(exchange_.request(), workspace_,
                                      request_.resumes.empty() ? request_.id : request_.resumes);
    const duration keep = std::min<duration>(
        kept_timeouts *
            std::max(request_.caller_timeout.value_or(route_->timeout), route_->timeout),
        max_origin_time);
    if (state_.origin_registry != nullptr) {
        state_.origin_registry->record(*shared_stream_, *origin_, keep);
    } else {
        state_.origins.record(*shared_stream_, *origin_, monotonic_now() + keep);
    }
}

/// The server's entry may have changed since the request was sent. Nothing is known then of the
/// software that wrote the event.
stream_origin forwarded_call::observe_origin() const {
    const registered_backend* known = state_.registry.find(sent_to_.id);
    const bool unchanged = known == nullptr || known->version == sent_to_.version;
    return {service_->id, unchanged ? sent_to_.version : software_version()};
}

bool forwarded_call::fits_origin(const registered_backend& server) const {
    return !origin_ || origin_->allows(server);
}

void forwarded_call::record_not_continued(continuation_refusal cause,
                                          const registered_backend* server) const {
    state_.counters.count(cause);
    log_event(events::stream_not_continued,
              "request={} route={} cause={} service={} software_version={} events={} backend={} "
              "backend_version={}",
              request_.id, route_->name, to_string(cause), origin_->service.text(),
              printable(origin_->version), splitter_.events(),
              server != nullptr ? server->id.text() : "none",
              server != nullptr ? printable(server->version) : "none");
}

void forwarded_call::record_no_server() const {
    if (origin_) {
        record_not_continued(origin_->version.empty() ? continuation_refusal::origin_unknown
                                                      : continuation_refusal::version_unavailable,
                             nullptr);
    }
}

} // namespace bamboostream
