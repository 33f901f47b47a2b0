#include "bamboostream/src/Gateway/store_news.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/event_log.h"
#include "bamboostream/src/Gateway/peer_frames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <limits>
#include <map>

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// How often an instance looks whether it lags behind its peers.
constexpr milliseconds catch_up_period{300};
constexpr milliseconds peer_timeout{500};
/// After a start an instance knows others once a seed has answered a probe.
constexpr milliseconds first_contact{150};
/// So long after its start an instance that isn't among those that read for all waits to hear of a
/// configuration.
constexpr milliseconds handing_on_at_start{700};
/// Some 100 bytes each; a page keeps a link of 10 Mbit/s busy for 20 ms.
constexpr std::size_t backends_a_page = 256;
/// How often an instance that reads the store tells the others how old its view is, when no answer
/// of the store has made it tell before; changes go out at once.
constexpr milliseconds news_period{300};
/// Answers within this time are told together. While entries change ten times a second each would
/// go to all instances otherwise.
constexpr milliseconds news_gather{200};
/// More changes at once aren't told one by one: after a start or an outage these are all servers,
/// and what comes behind them on a link would wait for as long as they take.
constexpr std::size_t most_changes_told = 512;
/// How often the age of the view is looked at.
constexpr milliseconds watch_period{100};
/// With many instances, one in each failure domain passes a reader's tellings on: two readers that
/// tell each of 294 others five times a second send 3,000 frames a second. Each reader has a relay
/// of its own there, so that one that is frozen or cut off takes away the word of one reader only.
constexpr std::size_t relays_a_domain = 2;

/// A telling that left later than it says is that much older.
std::uint32_t older(std::uint32_t age_ms, milliseconds by) {
    constexpr std::uint32_t unknown = std::numeric_limits<std::uint32_t>::max();
    return age_ms == unknown ? unknown : age_to_wire(milliseconds(age_ms) + by);
}

} // namespace

store_news::store_news(asio::io_context& context, link_hub& links, membership_service& membership,
                       forwarding_state& forwarding, deployment_state& state, store_follower& store,
                       store_duty& duty, configuration_spread& spread)
    : context_(context), links_(links), membership_(membership), forwarding_(forwarding),
      state_(state), store_(store), duty_(duty), spread_(spread), due_(context) {}

void store_news::start() {
    started_at_ = monotonic_now();
    asio::co_spawn(context_, tell_loop(), asio::detached);
    asio::co_spawn(context_, catch_up_loop(), asio::detached);
    asio::co_spawn(context_, watch_loop(), asio::detached);
}

std::vector<std::string> store_news::reading_order() const {
    return membership_.owners("store", store_duty::order_length);
}

bool store_news::must_read(record_topic topic, time_point now) const {
    return duty_.must_read(topic, reading_order(), membership_.own_address(), now);
}

bool store_news::has_from_others(record_topic topic) const {
    return topic == record_topic::operator_documents && state_.version() > 0 &&
           state_.cordons().position > 0;
}

/// A start of all would have every instance read the configuration at the same moment, whole, which
/// keeps the links of small ones and the store busy while callers wait. From another instance it
/// comes compressed, and only those that read for all ask the store.
bool store_news::awaits_others(record_topic topic, time_point now) const {
    if (topic != record_topic::operator_documents) {
        return false;
    }
    const duration since = now - started_at_;
    if (since < first_contact) {
        return true;
    }
    if (membership_.usable_peers().empty() || role() != reading_role::other) {
        return false;
    }
    return since < handing_on_at_start || spread_.is_receiving(now);
}

milliseconds store_news::read_wait(record_topic topic, time_point now) const {
    return duty_.read_wait(topic, reading_order(), membership_.own_address(), now);
}

bool store_news::must_read_configuration(time_point now) {
    return spread_.must_read_store(now);
}

reading_role store_news::role() const {
    return store_duty::role_of(reading_order(), membership_.own_address());
}

void store_news::note_answer() {
    if (monotonic_now() - told_at_ >= news_gather) {
        due_.cancel();
    }
}

void store_news::note_change(const registry_change& change) {
    untold_.push_back(change);
    due_.cancel();
}

void store_news::note_cordons() {
    due_.cancel();
}

void store_news::note_configuration() {
    due_.cancel();
}

/// A change goes out at once: a leaving engine's generations have some 2 s to move.
asio::awaitable<void> store_news::tell_loop() {
    while (true) {
        co_await wait_on(due_, monotonic_now() + news_period);
        tell();
    }
}

void store_news::tell() {
    const std::int64_t previous = std::exchange(told_position_, state_.entries().position());
    const std::vector<registry_change> changes = std::exchange(untold_, {});
    const time_point now = monotonic_now();
    // Without the store, whoever found out that an engine leaves tells it.
    const bool found_out = !changes.empty() && forwarding_.registry.store_away();
    const bool reads = store_.reads_well(record_topic::backend_entries, now) ||
                       store_.reads_well(record_topic::operator_documents, now);
    if (!(reads && role() != reading_role::other) && !found_out) {
        return;
    }
    told_at_ = now;
    wire::StoreNewsT news;
    news.fresh = store_.reads_well(record_topic::backend_entries, now);
    news.configuration_version = state_.version();
    news.previous = static_cast<std::uint64_t>(previous);
    news.sequence = static_cast<std::uint64_t>(told_position_);
    news.entries_age_ms = age_to_wire(store_.own_age(record_topic::backend_entries, now));
    news.documents_age_ms = age_to_wire(store_.own_age(record_topic::operator_documents, now));
    if (changes.size() > most_changes_told) {
        // Says that there is more than it tells: whoever knows less asks for the list, by pages.
        news.previous = news.sequence;
    }
    for (const registry_change& change : changes) {
        if (changes.size() > most_changes_told && change.event != registry_event::leaving) {
            continue;
        }
        auto fact = to_wire(change.backend, now);
        fact->gone = change.event == registry_event::gone;
        fact->lapsed = change.event == registry_event::lapsed;
        news.changed.push_back(std::move(fact));
    }
    news.documents_sequence = static_cast<std::uint64_t>(state_.cordons().position);
    news.cordoned = to_wire(state_.cordons().domains);
    news.told_at_ms = machine_now().count();
    send_to_all(std::move(news));
}

void store_news::send_to_all(wire::StoreNewsT news) {
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
        const auto candidates = membership_.owners_in(domain, "relay", relays_a_domain);
        if (domain != here) {
            relays.push_back(first ? candidates.front() : candidates.back());
        }
    }
    news.pass_on = true;
    links_.send_to_each(relays, make_frame(std::move(news)));
}

/// The ages stay as they were told: whoever hears it finds out by the teller's clock how long it
/// was under way.
void store_news::pass_on(const std::string& sender, std::int64_t stamp, wire::StoreNewsT news) {
    news.pass_on = false;
    news.teller = sender;
    news.teller_stamp = stamp;
    links_.send_to_each(membership_.usable_peers_in(membership_.own_failure_domain().text()),
                        make_frame(std::move(news)));
}

/// What another instance knew some time ago is known here now that it has been told.
void store_news::note_ages(const wire::StoreNewsT& news, time_point now) {
    const auto entries_as_of = moment_of(news.entries_age_ms, now);
    const auto documents_as_of = moment_of(news.documents_age_ms, now);
    if (entries_as_of && static_cast<std::int64_t>(news.sequence) <= state_.entries().position()) {
        state_.note_view(record_topic::backend_entries, *entries_as_of, now);
    }
    const auto documents_position = static_cast<std::int64_t>(news.documents_sequence);
    if (documents_as_of && news.configuration_version <= state_.version() &&
        documents_position > 0 && documents_position <= state_.cordons().position) {
        state_.note_view(record_topic::operator_documents, *documents_as_of, now);
    }
}

asio::awaitable<void> store_news::watch_loop() {
    while (true) {
        co_await pause_for(watch_period);
        const time_point now = monotonic_now();
        state_.watch_outage(now);
        forwarding_.registry.expire(now);
        state_.report_changes(fact_source::grace, now);
        watch_topic(record_topic::backend_entries, entries_stale_, now);
        watch_topic(record_topic::operator_documents, documents_stale_, now);
    }
}

void store_news::watch_topic(record_topic topic, bool& stale, time_point now) const {
    const bool entries = topic == record_topic::backend_entries;
    const duration age =
        entries ? forwarding_.entries_view.age(now) : forwarding_.documents_view.age(now);
    if (stale != (age > times_of(topic).read_by_all)) {
        stale = !stale;
        log_event(stale ? events::view_stale : events::view_fresh, "topic={} age_ms={}",
                  entries ? "backend_entries" : "operator_documents", age_to_wire(age));
    }
}

bool store_news::is_stale(record_topic topic, time_point now) const {
    const view_age& view = topic == record_topic::backend_entries ? forwarding_.entries_view
                                                                  : forwarding_.documents_view;
    return view.age(now) > times_of(topic).longest_view;
}

void store_news::hear(const std::string& sender, std::int64_t stamp, const wire::StoreNewsT& news) {
    if (news.pass_on) {
        pass_on(sender, stamp, news);
    }
    const bool relayed = !news.teller.empty();
    const std::string& teller = relayed ? news.teller : sender;
    if (news.told_at_ms <= 0) {
        take(sender, news, monotonic_now());
        return;
    }
    const milliseconds late = delays_.beyond_least(teller, relayed ? news.teller_stamp : stamp,
                                                   milliseconds(news.told_at_ms), machine_now());
    wire::StoreNewsT aged = news;
    aged.entries_age_ms = older(news.entries_age_ms, late);
    aged.documents_age_ms = older(news.documents_age_ms, late);
    take(sender, aged, monotonic_now());
}

void store_news::take(const std::string& sender, const wire::StoreNewsT& news, time_point now) {
    const std::string& teller = news.teller.empty() ? sender : news.teller;
    if (const auto as_of = moment_of(news.entries_age_ms, now)) {
        duty_.hear(teller, record_topic::backend_entries, *as_of);
    }
    // An instance of the version before tells of configurations only: its word doesn't keep this
    // one from reading what the operator says of failure domains.
    const auto documents_as_of = moment_of(news.documents_age_ms, now);
    if (documents_as_of && news.documents_sequence > 0) {
        duty_.hear(teller, record_topic::operator_documents, *documents_as_of);
    }
    state_.take_cordons(cordons_from_wire(news.cordoned, news.documents_sequence));
    spread_.hear_version(sender, news.configuration_version);
    if (teller != sender) {
        spread_.hear_version(teller, news.configuration_version);
    }
    // Leaving is believed from anyone: it is never taken back.
    for (const auto& fact : news.changed) {
        if (fact->leaving) {
            forwarding_.registry.mark_leaving(backend_id(fact->id), fact->started_ms);
        }
    }
    state_.report_changes(fact_source::telling, now);
    const auto verdict = state_.entries().judge(static_cast<std::int64_t>(news.previous),
                                                static_cast<std::int64_t>(news.sequence));
    note_ages(news, now);
    switch (verdict) {
    case change_follower::verdict::known:
        forget_removed(news, now);
        return;
    case change_follower::verdict::ask_for_all:
        fill_gap(sender, now);
        return;
    case change_follower::verdict::apply:
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
    state_.report_changes(fact_source::telling, now);
}

/// A telling was missed. Who follows the store itself finds what it was about there.
void store_news::fill_gap(const std::string& teller, time_point now) {
    if (store_.reads_well(record_topic::backend_entries, now)) {
        return;
    }
    if (store_.failing_since()) {
        asio::co_spawn(context_, ask_backends(teller), asio::detached);
    } else {
        store_.read_entries_again();
    }
}

void store_news::forget_removed(const wire::StoreNewsT& news, time_point now) {
    if (!state_.entries().removal_holds(static_cast<std::int64_t>(news.sequence))) {
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
    state_.report_changes(fact_source::telling, now);
}

asio::awaitable<void> store_news::catch_up_loop() {
    while (true) {
        const std::vector<std::string> peers = membership_.usable_peers();
        if (!peers.empty()) {
            std::uniform_int_distribution<std::size_t> any(0, peers.size() - 1);
            const std::string& peer = peers[any(random_)];
            if (is_stale(record_topic::backend_entries, monotonic_now())) {
                co_await ask_backends(peer);
            }
            if (is_stale(record_topic::operator_documents, monotonic_now())) {
                spread_.ask_anybody(peer);
                co_await ask_cordons(peer);
            }
        }
        co_await pause_for(catch_up_period);
    }
}

asio::awaitable<std::optional<wire::BackendListT>> store_news::ask_backend_page(std::string peer,
                                                                                std::string after) {
    wire::BackendListRequestT request;
    request.paged = true;
    request.after = std::move(after);
    link_failure why;
    const auto reply = co_await links_.call(peer, make_frame(request), peer_timeout, why);
    if (!reply || reply->message.type != wire::Message::BackendList) {
        co_return std::nullopt;
    }
    co_return std::move(*reply->message.AsBackendList());
}

asio::awaitable<void> store_news::ask_cordons(std::string peer) {
    wire::BackendListRequestT request;
    request.paged = true;
    request.documents_only = true;
    link_failure why;
    const auto reply = co_await links_.call(peer, make_frame(request), peer_timeout, why);
    if (reply && reply->message.type == wire::Message::BackendList) {
        take_documents_view(*reply->message.AsBackendList(), monotonic_now());
    }
}

void store_news::take_documents_view(const wire::BackendListT& list, time_point now) {
    state_.take_cordons(cordons_from_wire(list.cordoned, list.documents_sequence));
    const auto as_of = moment_of(list.documents_age_ms, now);
    const auto position = static_cast<std::int64_t>(list.documents_sequence);
    if (as_of && position > 0 && position <= state_.cordons().position &&
        list.configuration_version <= state_.version()) {
        state_.note_view(record_topic::operator_documents, *as_of, now);
    }
}

/// Page by page: asked for in one answer with a time limit, the list of a large deployment never
/// comes over a small link, and a probe waits behind it.
///
/// The pages are not of one moment. The list is complete up to the position of its first page; what
/// later ones tell beyond that is told once more by the changes that follow.
asio::awaitable<void> store_news::ask_backends(std::string peer) {
    if (asking_for_all_) {
        co_return;
    }
    asking_for_all_ = true;
    std::vector<peer_backend> entries;
    std::optional<wire::BackendListT> first;
    time_point first_page_at{};
    std::string after;
    bool more = true;
    while (more) {
        auto page = co_await ask_backend_page(peer, after);
        if (!page) {
            break;
        }
        const time_point now = monotonic_now();
        for (const auto& fact : page->entries) {
            entries.push_back({from_wire(*fact, now), fact->lapsed});
        }
        more = page->more && !page->entries.empty();
        after = page->entries.empty() ? std::string() : page->entries.back()->id;
        if (!first) {
            take_documents_view(*page, now);
            // The age is of the moment in which the page was written.
            page->entries.clear();
            first = std::move(page);
            first_page_at = now;
        }
    }
    asking_for_all_ = false;
    if (!first || more) {
        co_return;
    }
    const auto position = static_cast<std::int64_t>(first->sequence);
    const time_point now = monotonic_now();
    state_.take_peer_backends(entries, position, now);
    const auto as_of = moment_of(first->age_ms, first_page_at);
    if (as_of && position <= state_.entries().position()) {
        state_.note_view(record_topic::backend_entries, *as_of, now);
    }
}

std::unique_ptr<wire::FrameT>
store_news::answer_backends(const wire::BackendListRequestT& request) const {
    wire::BackendListT list;
    const time_point now = monotonic_now();
    list.fresh = !is_stale(record_topic::backend_entries, now);
    list.age_ms = age_to_wire(forwarding_.entries_view.age(now));
    list.sequence = static_cast<std::uint64_t>(state_.entries().position());
    list.documents_sequence = static_cast<std::uint64_t>(state_.cordons().position);
    list.documents_age_ms = age_to_wire(forwarding_.documents_view.age(now));
    list.configuration_version = state_.version();
    list.cordoned = to_wire(state_.cordons().domains);
    if (request.documents_only) {
        return make_reply(std::move(list));
    }
    const std::size_t most =
        request.paged ? backends_a_page : std::numeric_limits<std::size_t>::max();
    const auto page = forwarding_.registry.page_after(backend_id(request.after), most);
    for (const registered_backend& backend : page) {
        list.entries.push_back(to_wire(backend, now));
        list.entries.back()->lapsed = forwarding_.registry.has_lapsed(backend.id);
    }
    list.more = page.size() == most;
    return make_reply(std::move(list));
}

} // namespace bamboostream
