#include "bamboostream/src/Gateway/store_follower.h"

#include "bamboostream/src/Control/periodic.h"
#include "bamboostream/src/Core/event_log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// How long one read waits for a record. A connection that has gone silent shows after this, and a
/// configuration must be in force two seconds after it was accepted.
constexpr milliseconds read_wait{1'200};
/// Between two reads: entries of backend servers come ten a second, and taking a few at once saves
/// calls. It adds to the time in which a leaving server is noticed, of which there are 1.5 s.
constexpr milliseconds pause_between_reads{60};
/// How often an instance that needs not read looks whether that still holds.
constexpr milliseconds rest_pause{100};

std::string_view name_of(record_topic topic) {
    return topic == record_topic::operator_documents ? "operator_documents" : "backend_entries";
}

} // namespace

void store_follower::start(std::function<bool()> is_reader) {
    is_reader_ = std::move(is_reader);
    asio::co_spawn(context_, follow(documents_), asio::detached);
    asio::co_spawn(context_, follow(entries_), asio::detached);
}

std::optional<time_point> store_follower::failing_since() const {
    if (documents_.failing_since && entries_.failing_since) {
        return std::min(*documents_.failing_since, *entries_.failing_since);
    }
    return documents_.failing_since ? documents_.failing_since : entries_.failing_since;
}

view_age& store_follower::shared_view(record_topic topic) {
    return topic == record_topic::operator_documents ? forwarding_.documents_view
                                                     : forwarding_.entries_view;
}

duration store_follower::own_age(record_topic topic, time_point now) const {
    const topic_position& position =
        topic == record_topic::operator_documents ? documents_ : entries_;
    return position.own_view.age(now);
}

bool store_follower::fresh() const {
    return !failing_since();
}

/// Somebody else reads, and what has been read there is known here.
bool store_follower::may_rest(const topic_position& position) const {
    const time_point now = monotonic_now();
    if (duty_.must_read(is_reader_(), now)) {
        return false;
    }
    const bool entries = position.topic == record_topic::backend_entries;
    return entries ? !entries_wanted_ : duty_.told_version() <= state_.version();
}

asio::awaitable<void> store_follower::follow(topic_position& position) {
    bool read_before = false;
    int failures = 0;
    while (true) {
        if (read_before && may_rest(position)) {
            // What comes meanwhile is told by others; the position here is out of date.
            position.next.reset();
            note_answer(position, true, {});
            co_await pause_for(rest_pause);
            continue;
        }
        const bool answered = co_await advance(position);
        read_before = read_before || answered;
        failures = answered ? 0 : failures + 1;
        co_await pause_for(answered ? pause_between_reads
                                    : store_duty::pause_after_failure(is_reader_(), failures));
    }
}

asio::awaitable<bool> store_follower::advance(topic_position& position) {
    store_failure why;
    const bool all = !position.next;
    // Not a conditional expression: g++ 12 destroys the result of a co_await in one twice.
    std::optional<record_page> page;
    if (all) {
        page = co_await store_.newest(position.topic, why);
    } else {
        page = co_await store_.read(position.topic, *position.next, read_wait, why);
    }
    const bool answered = page || why.code == store_error::gap;
    if (page) {
        position.own_view.known(monotonic_now());
        shared_view(position.topic).known(monotonic_now());
    }
    note_answer(position, answered, why);
    if (page) {
        position.next = page->next;
        state_.take_records(position.topic, page->records, all, monotonic_now());
        if (position.topic == record_topic::backend_entries) {
            state_.entries().caught_up(page->next);
            entries_wanted_ = false;
        }
    } else if (why.code == store_error::gap) {
        position.next.reset();
    }
    co_return answered;
}

void store_follower::note_answer(topic_position& position, bool answered,
                                 const store_failure& why) {
    const time_point now = monotonic_now();
    if (position.topic == record_topic::backend_entries) {
        backend_registry& registry = forwarding_.registry;
        answered ? registry.store_answered(now) : registry.store_failed(now);
    }
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
