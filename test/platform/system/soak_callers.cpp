#include "bamboostream/src/Control/async_wait.h"
#include "test/platform/system/soak_fixture.h"

#include <algorithm>

namespace bamboostream::test {

namespace {

/// How often a caller takes its stream up before it gives it up.
constexpr int max_take_ups = 6;
constexpr milliseconds take_up_pause{60};
/// From this time after the beginning of a partition, first tries at the instance count.
constexpr milliseconds contact_time{1'000};
constexpr milliseconds harmful_interval{150};

} // namespace

bool soak_test::is_in_touch(std::size_t i) const {
    const time_point disturbed = std::max(cut_off_until_[i], rejected_until_[i]);
    return is_up_to_date(i) && monotonic_now() >= disturbed + catch_up_time;
}

bool soak_test::is_up_to_date(std::size_t i) const {
    return !stopping_[i] && monotonic_now() >= disturbed_until_[i] + catch_up_time;
}

soak_test::try_kind soak_test::first_try_kind(std::size_t i) const {
    const time_point now = monotonic_now();
    if (!is_up_to_date(i) || now < rejected_until_[i] + catch_up_time) {
        return try_kind::not_counted;
    }
    const auto counts = [now](const domain_cut& cut) {
        return now >= cut.from + contact_time && now < cut.until;
    };
    if (counts(domain_cut_[i])) {
        return try_kind::cut_off;
    }
    const bool cut_now = std::any_of(domain_cut_.begin(), domain_cut_.end(), counts);
    return cut_now && now >= cut_off_until_[i] + catch_up_time ? try_kind::other
                                                               : try_kind::not_counted;
}

asio::awaitable<void> soak_test::take_up(std::string stream, received_stream received,
                                         std::size_t at) {
    int events = received.events;
    const std::string version = received.version;
    for (int i = 0; i < max_take_ups && !received.complete && !stop_; ++i) {
        co_await pause_for(take_up_pause);
        at = (at + 1) % instances_.size();
        const auto connection = std::make_shared<http_connection>(context_.get_executor());
        http_failure why;
        if (!co_await connection->connect(instances_[at]->ip + ":8740", milliseconds(500), why)) {
            continue;
        }
        const bool counts = is_in_touch(at) && version_serves(version);
        soak_request request{random_id(), "/r/x", true, stream, events};
        instance_of_request_[request.id] = at;
        received = co_await send_audited(*connection, audit_, std::move(request));
        events += received.events;
        if (counts && is_in_touch(at) && version_serves(version)) {
            audit_.stream_taken_up(received.complete || received.events > 0);
        }
    }
}

asio::awaitable<void> soak_test::run_caller(int caller) {
    std::shared_ptr<http_connection> connection;
    std::size_t at = static_cast<std::size_t>(caller);
    ++callers_;
    while (!stop_) {
        if (!connection || !connection->reusable()) {
            connection = std::make_shared<http_connection>(context_.get_executor());
            http_failure why;
            at = (at + 1) % instances_.size();
            if (!co_await connection->connect(instances_[at]->ip + ":8740", milliseconds(500),
                                              why)) {
                connection.reset();
                co_await pause_for(milliseconds(20));
                continue;
            }
        }
        const bool resumable = caller % 3 == 1;
        const bool stream = resumable || caller % 3 == 0;
        const std::string call_path = caller % 2 == 0 ? "/a/x" : "/b/x";
        const std::string path = resumable ? "/r/x" : stream ? "/s/x" : call_path;
        const std::string id = random_id();
        instance_of_request_[id] = at;
        const bool counts = resumable && is_in_touch(at);
        const try_kind kind = first_try_kind(at);
        soak_request request{id, path, stream};
        const received_stream received =
            co_await send_audited(*connection, audit_, std::move(request));
        if (counts && is_in_touch(at)) {
            audit_.stream_asked(received.events > 0);
        }
        if (kind != try_kind::not_counted && kind == first_try_kind(at)) {
            audit_.first_try_ended(monotonic_now(), kind == try_kind::cut_off,
                                   received.status == 200);
        }
        if (resumable && received.events > 0 && !received.complete) {
            co_await take_up(id, received, at);
        }
        co_await pause_for(milliseconds(5));
    }
    --callers_;
}

asio::awaitable<void> soak_test::send_harmful(std::string path, std::string part) {
    ++harmful_senders_;
    while (!stop_harmful_) {
        const std::size_t at =
            std::uniform_int_distribution<std::size_t>(0, instances_.size() - 1)(random_);
        http_connection connection(context_.get_executor());
        http_failure why;
        if (co_await connection.connect(instances_[at]->ip + ":8740", milliseconds(500), why)) {
            soak_request request{random_id(), path, false};
            if (!part.empty()) {
                request.path += request.id;
            }
            request.harmful_part = part;
            instance_of_request_[request.id] = at;
            co_await send_audited(connection, audit_, std::move(request));
            connection.close();
        }
        co_await pause_for(harmful_interval);
    }
    --harmful_senders_;
}

void soak_test::stop_harmful_requests() {
    stop_harmful_ = true;
    while (harmful_senders_ > 0) {
        run_until(monotonic_now() + harmful_interval);
    }
}

void soak_test::stop_callers() {
    stop_ = true;
    wait_until([this] { return callers_ == 0; });
}

} // namespace bamboostream::test
