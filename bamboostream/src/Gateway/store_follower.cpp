#include "bamboostream/src/Gateway/store_follower.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <numeric>
#include <span>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Pause between two reads: entries of backend servers come in groups, and reading a few at once
/// saves calls. It adds to the time until a leaving server is noticed.
constexpr milliseconds pause_between_reads{60};

std::string_view name_of(record_topic topic) {
    return topic == record_topic::operator_documents ? "operator_documents" : "backend_entries";
}

} // namespace

std::string_view to_string(read_reason reason) {
    constexpr std::array<std::string_view, static_cast<std::size_t>(read_reason::count_)> names = {
        "none", "start", "duty", "old_views", "missed_changes", "configuration"};
    return names.at(static_cast<std::size_t>(reason));
}

void store_follower::start(read_coordinator& coordinator) {
    coordinator_ = &coordinator;
    asio::co_spawn(context_, follow(documents_), log_exception);
    asio::co_spawn(context_, follow(entries_), log_exception);
}

std::optional<time_point> store_follower::failing_since() const {
    if (documents_.failing_since && entries_.failing_since) {
        return std::min(*documents_.failing_since, *entries_.failing_since);
    }
    return documents_.failing_since ? documents_.failing_since : entries_.failing_since;
}

duration store_follower::own_view_age(record_topic topic, time_point now) const {
    const topic_position& position =
        topic == record_topic::operator_documents ? documents_ : entries_;
    return position.own_view.age(now);
}

read_reason store_follower::reason_to_read(const topic_position& position) const {
    const time_point now = monotonic_now();
    if (!position.ever_read && !coordinator_->has_topic_from_peers(position.topic)) {
        return coordinator_->awaits_peers(position.topic, now) ? read_reason::none
                                                               : read_reason::start;
    }
    if (coordinator_->must_read(position.topic, now)) {
        return coordinator_->role() == store_read_role::reader ? read_reason::duty
                                                               : read_reason::stale_views;
    }
    if (position.topic == record_topic::backend_entries) {
        return entries_reread_requested_ ? read_reason::missed_changes : read_reason::none;
    }
    return coordinator_->must_read_configuration(now) ? read_reason::configuration
                                                      : read_reason::none;
}

void store_follower::set_reason(topic_position& position, read_reason reason) {
    if (position.reason == reason) {
        return;
    }
    position.reason = reason;
    log_event(events::store_reading, "topic={} reason={} calls={}", name_of(position.topic),
              to_string(reason), std::accumulate(calls_.begin(), calls_.end(), std::uint64_t{0}));
}

asio::awaitable<void> store_follower::follow(topic_position& position) {
    int failures = 0;
    while (true) {
        const read_reason reason = reason_to_read(position);
        set_reason(position, reason);
        if (reason == read_reason::none) {
            // Meanwhile the peers announce changes, so the position here becomes outdated.
            position.next.reset();
            failures = 0;
            on_store_answer(position, true, {});
            co_await pause_for(recheck_period);
            continue;
        }
        ++calls_[static_cast<std::size_t>(reason)];
        position.reading = true;
        const bool answered = co_await advance(position);
        position.reading = false;
        position.ever_read = position.ever_read || answered;
        failures = answered ? 0 : failures + 1;
        co_await pause_for(
            answered ? pause_between_reads
                     : store_read_policy::failure_backoff(coordinator_->role(), failures));
    }
}

asio::awaitable<bool> store_follower::advance(topic_position& position) {
    store_failure why;
    const bool all = !position.next;
    const std::int64_t known_before = state_.position(position.topic);
    // Not a conditional expression: g++ 12 destroys the result of a co_await in one twice.
    std::optional<record_page> page;
    if (all) {
        page = co_await store_.newest(position.topic, why);
    } else {
        const milliseconds wait = coordinator_->read_wait(position.topic, monotonic_now());
        page = co_await store_.read(position.topic, *position.next, wait, why);
    }
    const bool answered = page || why.code == store_error::gap;
    on_store_answer(position, answered, why);
    if (page) {
        apply_page(position, *page, all, known_before);
        coordinator_->on_store_answer();
    } else if (why.code == store_error::gap) {
        position.next.reset();
    }
    co_return answered;
}

/// Peers may have announced later records while the page was in transit. Applying the whole page
/// would bring back a server whose removal is known, so records that are already known are skipped:
/// the beginning of a page of consecutive records, or the whole of a page with the newest records
/// of all keys. A store whose own position has gone back is believed.
void store_follower::apply_page(topic_position& position, const record_page& page, bool all,
                                std::int64_t known_before) {
    const time_point now = monotonic_now();
    const std::int64_t first = position.next.value_or(page.next);
    position.next = page.next;
    position.own_view.known(now);
    state_.update_view(position.topic, now, now);
    const bool documents = position.topic == record_topic::operator_documents;
    if (documents) {
        // Configurations are ordered by their version, whatever the order of their arrival.
        state_.apply_records(position.topic, page.records, all, now);
    }
    const std::int64_t known = state_.position(position.topic);
    if (page.next < known && (!all || known_before <= page.next)) {
        return;
    }
    std::span<const keyed_record> fresh = page.records;
    if (!all) {
        const auto count = static_cast<std::int64_t>(fresh.size());
        fresh = fresh.subspan(
            static_cast<std::size_t>(std::clamp<std::int64_t>(known - first, 0, count)));
    }
    if (documents) {
        state_.apply_cordon_records(fresh, all, page.next);
        return;
    }
    state_.entries().set_position(page.next);
    state_.apply_records(position.topic, fresh, all, now);
    state_.confirm_entries(now);
    entries_reread_requested_ = false;
}

void store_follower::on_store_answer(topic_position& position, bool answered,
                                     const store_failure& why) {
    const time_point now = monotonic_now();
    if (answered && position.failing_since) {
        log_event(events::store_available, "topic={} away_ms={:.0f}", name_of(position.topic),
                  to_milliseconds(now - *position.failing_since));
        position.failing_since.reset();
    } else if (!answered && !position.failing_since) {
        log_event(events::store_unavailable, "topic={} reason={}", name_of(position.topic),
                  why.text);
        position.failing_since = now;
    }
}

} // namespace bamboostream
