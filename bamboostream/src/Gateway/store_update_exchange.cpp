#include "bamboostream/src/Gateway/store_update_exchange.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Gateway/peer_frames.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <limits>
#include <map>

// The announcements between instances. The lists that an instance requests when it has missed some
// are in store_update_lists.cpp.

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// After a start an instance knows its peers once a seed has answered a probe.
constexpr milliseconds discovery_time{150};
/// For this long after its start an instance that isn't in the reading order waits to be told of a
/// configuration.
constexpr milliseconds peer_wait_at_start{700};
/// Interval at which an instance that reads the store announces how old its view is, unless an
/// answer of the store caused an announcement before. Changes are announced at once.
constexpr milliseconds announcement_period{300};
/// Answers within this time are announced together. While entries change ten times per second, each
/// would go to all instances otherwise.
constexpr milliseconds announcement_batch_time{200};
/// More changes at once aren't announced individually: after a start or an outage these are all
/// servers, and whatever is queued behind them on a link would wait until they are sent.
constexpr std::size_t max_announced_changes = 512;
/// Interval at which the age of the view is checked.
constexpr milliseconds view_check_period{100};
/// With many instances, one in each failure domain relays a reader's announcements: two readers
/// that send to each of 294 others five times per second send 3,000 frames per second. Each reader
/// uses a relay of its own, so that a relay that is frozen or cut off stops the announcements of
/// one reader only.
constexpr std::size_t relays_per_domain = 2;

/// Adds the delay of an announcement to an age that it reports.
std::uint32_t increase_age(std::uint32_t age_ms, milliseconds by) {
    constexpr std::uint32_t unknown = std::numeric_limits<std::uint32_t>::max();
    return age_ms == unknown ? unknown : age_to_wire(milliseconds(age_ms) + by);
}

} // namespace

store_update_exchange::store_update_exchange(asio::io_context& context, peer_links& links,
                                             membership_service& membership,
                                             forwarding_state& forwarding, deployment_state& state,
                                             store_follower& store, store_read_policy& read_policy,
                                             configuration_distributor& distributor)
    : context_(context), links_(links), membership_(membership), forwarding_(forwarding),
      state_(state), store_(store), read_policy_(read_policy), distributor_(distributor),
      due_(context) {}

void store_update_exchange::start() {
    started_at_ = monotonic_now();
    asio::co_spawn(context_, announce_loop(), log_exception);
    asio::co_spawn(context_, catch_up_loop(), log_exception);
    asio::co_spawn(context_, view_age_loop(), log_exception);
}

std::vector<std::string> store_update_exchange::reading_order() const {
    return membership_.owners("store", store_read_policy::order_length);
}

bool store_update_exchange::must_read(record_topic topic, time_point now) const {
    return read_policy_.must_read(topic, reading_order(), membership_.own_address(), now);
}

bool store_update_exchange::has_topic_from_peers(record_topic topic) const {
    return topic == record_topic::operator_documents && state_.version() > 0 &&
           state_.cordons().position > 0;
}

/// Otherwise, when all instances start together, each would read the whole configuration at the
/// same moment, which keeps the store and the links of small instances busy while callers wait.
/// From another instance it comes compressed, and only the designated readers ask the store.
bool store_update_exchange::awaits_peers(record_topic topic, time_point now) const {
    if (topic != record_topic::operator_documents) {
        return false;
    }
    const duration since = now - started_at_;
    if (since < discovery_time) {
        return true;
    }
    if (membership_.usable_peers().empty() || role() != store_read_role::other) {
        return false;
    }
    return since < peer_wait_at_start || distributor_.is_fetching(now);
}

milliseconds store_update_exchange::read_wait(record_topic topic, time_point now) const {
    return read_policy_.read_wait(topic, reading_order(), membership_.own_address(), now);
}

bool store_update_exchange::must_read_configuration(time_point now) {
    return distributor_.must_read_from_store(now);
}

store_read_role store_update_exchange::role() const {
    return store_read_policy::role_of(reading_order(), membership_.own_address());
}

void store_update_exchange::on_store_answer() {
    if (monotonic_now() - announced_at_ >= announcement_batch_time) {
        due_.cancel();
    }
}

void store_update_exchange::announce_change(const registry_change& change) {
    pending_changes_.push_back(change);
    due_.cancel();
}

void store_update_exchange::announce_departures(std::span<const backend_id> read) {
    for (const backend_id& id : read) {
        const bool is_pending =
            std::any_of(pending_changes_.begin(), pending_changes_.end(),
                        [&id](const registry_change& change) { return change.backend.id == id; });
        const registered_backend* known = forwarding_.registry.find(id);
        if (is_pending || (known != nullptr && !known->leaving)) {
            continue;
        }
        registered_backend gone;
        gone.id = id;
        announce_change(known != nullptr ? registry_change{registry_event::leaving, *known}
                                         : registry_change{registry_event::gone, gone});
    }
}

void store_update_exchange::announce_cordons() {
    due_.cancel();
}

void store_update_exchange::announce_configuration() {
    due_.cancel();
}

/// Changes are announced at once: the generations of a leaving engine have about 2 s to move.
asio::awaitable<void> store_update_exchange::announce_loop() {
    while (true) {
        co_await wait_on(due_, monotonic_now() + announcement_period);
        announce();
    }
}

void store_update_exchange::announce() {
    const std::int64_t previous = std::exchange(announced_position_, state_.entries().position());
    const std::vector<registry_change> changes = std::exchange(pending_changes_, {});
    const time_point now = monotonic_now();
    // Without the store, the instance that discovers that an engine is leaving announces it.
    const bool discovered_change = !changes.empty() && forwarding_.registry.store_away();
    const bool reads = store_.has_fresh_own_view(record_topic::backend_entries, now) ||
                       store_.has_fresh_own_view(record_topic::operator_documents, now);
    if (!(reads && role() != store_read_role::other) && !discovered_change) {
        return;
    }
    announced_at_ = now;
    wire::StoreNewsT news;
    news.fresh = store_.has_fresh_own_view(record_topic::backend_entries, now);
    news.configuration_version = state_.version();
    news.previous = static_cast<std::uint64_t>(previous);
    news.sequence = static_cast<std::uint64_t>(announced_position_);
    news.entries_age_ms = age_to_wire(store_.own_view_age(record_topic::backend_entries, now));
    news.documents_age_ms = age_to_wire(store_.own_view_age(record_topic::operator_documents, now));
    if (changes.size() > max_announced_changes) {
        // Announces more changes than the message contains: an instance that knows less requests
        // the list in pages.
        news.previous = news.sequence;
    }
    for (const registry_change& change : changes) {
        if (changes.size() > max_announced_changes && change.event != registry_event::leaving) {
            continue;
        }
        auto fact = to_wire(change.backend, now);
        fact->gone = change.event == registry_event::gone;
        fact->lapsed = change.event == registry_event::lapsed;
        news.changed.push_back(std::move(fact));
    }
    news.documents_sequence = static_cast<std::uint64_t>(state_.cordons().position);
    news.cordoned = to_wire(state_.cordons().domains);
    news.told_at_ms = time_since_boot().count();
    broadcast(std::move(news));
}

void store_update_exchange::broadcast(wire::StoreNewsT news) {
    if (!membership_.needs_relays()) {
        links_.send_to_each(membership_.usable_peers(), make_frame(std::move(news)));
        return;
    }
    const std::string& here = membership_.own_failure_domain().text();
    links_.send_to_each(membership_.usable_peers_in(here), make_frame(wire::StoreNewsT(news)));
    const std::vector<std::string> order = reading_order();
    const bool first = !order.empty() && order.front() == membership_.own_address();
    std::vector<std::string> relays;
    for (const std::string& domain : membership_.failure_domains()) {
        const auto candidates = membership_.owners_in(domain, "relay", relays_per_domain);
        if (domain != here) {
            relays.push_back(first ? candidates.front() : candidates.back());
        }
    }
    news.pass_on = true;
    links_.send_to_each(relays, make_frame(std::move(news)));
}

/// The ages are relayed unchanged: the receiver determines by the announcer's clock how long the
/// announcement was in transit.
void store_update_exchange::relay(const std::string& sender, std::int64_t stamp,
                                  wire::StoreNewsT news) {
    news.pass_on = false;
    news.teller = sender;
    news.teller_stamp = stamp;
    links_.send_to_each(membership_.usable_peers_in(membership_.own_failure_domain().text()),
                        make_frame(std::move(news)));
}

/// Records what the announcing instance knew at the time of its announcement, provided that this
/// instance now knows as much.
void store_update_exchange::update_views(const wire::StoreNewsT& news, time_point now) {
    const auto entries_as_of = time_from_age(news.entries_age_ms, now);
    const auto documents_as_of = time_from_age(news.documents_age_ms, now);
    if (entries_as_of && static_cast<std::int64_t>(news.sequence) <= state_.entries().position()) {
        state_.update_view(record_topic::backend_entries, *entries_as_of, now);
    }
    const auto documents_position = static_cast<std::int64_t>(news.documents_sequence);
    if (documents_as_of && news.configuration_version <= state_.version() &&
        documents_position > 0 && documents_position <= state_.cordons().position) {
        state_.update_view(record_topic::operator_documents, *documents_as_of, now);
    }
}

asio::awaitable<void> store_update_exchange::view_age_loop() {
    while (true) {
        co_await pause_for(view_check_period);
        const time_point now = monotonic_now();
        state_.update_outage(now);
        forwarding_.registry.expire(now);
        state_.report_changes(update_source::grace, now);
        update_staleness(record_topic::backend_entries, entries_stale_, now);
        update_staleness(record_topic::operator_documents, documents_stale_, now);
    }
}

void store_update_exchange::update_staleness(record_topic topic, bool& stale,
                                             time_point now) const {
    const bool entries = topic == record_topic::backend_entries;
    const duration age =
        entries ? forwarding_.entries_view.age(now) : forwarding_.documents_view.age(now);
    if (stale != (age > read_timing_of(topic).fallback_view_age)) {
        stale = !stale;
        log_event(stale ? events::view_stale : events::view_fresh, "topic={} age_ms={}",
                  entries ? "backend_entries" : "operator_documents", age_to_wire(age));
    }
}

bool store_update_exchange::is_stale(record_topic topic, time_point now) const {
    const view_age& view = topic == record_topic::backend_entries ? forwarding_.entries_view
                                                                  : forwarding_.documents_view;
    return view.age(now) > read_timing_of(topic).max_view_age;
}

void store_update_exchange::hear(const std::string& sender, std::int64_t stamp,
                                 const wire::StoreNewsT& news) {
    if (news.pass_on) {
        relay(sender, stamp, news);
    }
    const bool relayed = !news.teller.empty();
    const std::string& announcer = relayed ? news.teller : sender;
    wire::StoreNewsT aged = news;
    if (news.told_at_ms > 0) {
        const milliseconds transit_time =
            delays_.excess_over_min(announcer, relayed ? news.teller_stamp : stamp,
                                    milliseconds(news.told_at_ms), time_since_boot());
        aged.entries_age_ms = increase_age(news.entries_age_ms, transit_time);
        aged.documents_age_ms = increase_age(news.documents_age_ms, transit_time);
    }
    const time_point now = monotonic_now();
    apply_update(sender, aged, now);
    confirm_entries(aged.entries_age_ms, static_cast<std::int64_t>(aged.sequence), now);
}

/// Only once the changes up to `position` have been applied: those among them were not in the store
/// when the view was last confirmed.
void store_update_exchange::confirm_entries(std::uint32_t age_ms, std::int64_t position,
                                            time_point now) {
    const auto as_of = time_from_age(age_ms, now);
    if (as_of && position <= state_.entries().position()) {
        state_.confirm_entries(*as_of);
    }
}

void store_update_exchange::apply_update(const std::string& sender, const wire::StoreNewsT& news,
                                         time_point now) {
    const std::string& announcer = news.teller.empty() ? sender : news.teller;
    if (const auto as_of = time_from_age(news.entries_age_ms, now)) {
        read_policy_.record_view(announcer, record_topic::backend_entries, *as_of);
    }
    // An instance of the previous release announces configurations only. Its announcements must not
    // keep this instance from reading the operator's cordons.
    const auto documents_as_of = time_from_age(news.documents_age_ms, now);
    if (documents_as_of && news.documents_sequence > 0) {
        read_policy_.record_view(announcer, record_topic::operator_documents, *documents_as_of);
    }
    state_.apply_peer_cordons(cordons_from_wire(news.cordoned, news.documents_sequence));
    distributor_.on_version_announced(sender, news.configuration_version);
    if (announcer != sender) {
        distributor_.on_version_announced(announcer, news.configuration_version);
    }
    // A report that a server is leaving is accepted from any instance, because leaving is never
    // revoked.
    for (const auto& fact : news.changed) {
        if (fact->leaving) {
            forwarding_.registry.mark_leaving(backend_id(fact->id), fact->started_ms);
        }
    }
    state_.report_changes(update_source::announcement, now);
    const auto action = state_.entries().evaluate(static_cast<std::int64_t>(news.previous),
                                                  static_cast<std::int64_t>(news.sequence));
    update_views(news, now);
    switch (action) {
    case change_cursor::change_action::known:
        apply_removals(news, now);
        return;
    case change_cursor::change_action::resync:
        recover_missed_changes(sender, now);
        return;
    case change_cursor::change_action::apply:
        break;
    }
    for (const auto& fact : news.changed) {
        if (fact->gone) {
            forwarding_.registry.forget(backend_id(fact->id));
        } else if (fact->lapsed) {
            forwarding_.registry.remove(backend_id(fact->id), now);
        } else {
            forwarding_.registry.update(from_wire(*fact, now), now);
        }
    }
    state_.report_changes(update_source::announcement, now);
}

/// Called when an announcement was missed. An instance that follows the store itself finds the
/// changes there.
void store_update_exchange::recover_missed_changes(const std::string& announcer, time_point now) {
    if (store_.has_fresh_own_view(record_topic::backend_entries, now)) {
        return;
    }
    if (store_.failing_since()) {
        asio::co_spawn(context_, fetch_backends(announcer), log_exception);
    } else {
        store_.request_entries_reread();
    }
}

void store_update_exchange::apply_removals(const wire::StoreNewsT& news, time_point now) {
    if (!state_.entries().accepts_removal(static_cast<std::int64_t>(news.sequence))) {
        return;
    }
    std::map<std::string, const wire::BackendFactT*> last;
    for (const auto& fact : news.changed) {
        last[fact->id] = fact.get();
    }
    for (const auto& [id, fact] : last) {
        if (fact->gone) {
            forwarding_.registry.forget(backend_id(id));
        } else if (fact->lapsed) {
            forwarding_.registry.remove(backend_id(id), now);
        }
    }
    state_.report_changes(update_source::announcement, now);
}

} // namespace bamboostream
