#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Control/frames.h"
#include "bamboostream/src/Core/log_exception.h"
#include "bamboostream/src/Gateway/peer_frames.h"
#include "bamboostream/src/Gateway/store_update_exchange.h"

#include <limits>

// The lists of backend servers and cordons that an instance requests from another one when its own
// view has grown old.

namespace bamboostream {

namespace asio = boost::asio;

namespace {

/// Interval at which an instance checks whether it lags behind its peers.
constexpr milliseconds catch_up_period{300};
constexpr milliseconds peer_timeout{500};
/// A backend takes about 100 bytes; a page keeps a link of 10 Mbit/s busy for 20 ms.
constexpr std::size_t backends_per_page = 256;

} // namespace

asio::awaitable<void> store_update_exchange::catch_up_loop() {
    while (true) {
        const std::vector<std::string> peers = membership_.usable_peers();
        if (!peers.empty()) {
            std::uniform_int_distribution<std::size_t> any(0, peers.size() - 1);
            const std::string& peer = peers[any(random_)];
            if (is_stale(record_topic::backend_entries, monotonic_now())) {
                co_await fetch_backends(peer);
            }
            if (is_stale(record_topic::operator_documents, monotonic_now())) {
                distributor_.query_peer(peer);
                co_await fetch_cordons(peer);
            }
        }
        co_await pause_for(catch_up_period);
    }
}

asio::awaitable<std::optional<wire::BackendListT>>
store_update_exchange::fetch_backend_page(std::string peer, std::string after) {
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

asio::awaitable<void> store_update_exchange::fetch_cordons(std::string peer) {
    wire::BackendListRequestT request;
    request.paged = true;
    request.documents_only = true;
    link_failure why;
    const auto reply = co_await links_.call(peer, make_frame(request), peer_timeout, why);
    if (reply && reply->message.type == wire::Message::BackendList) {
        apply_documents_view(*reply->message.AsBackendList(), monotonic_now());
    }
}

void store_update_exchange::apply_documents_view(const wire::BackendListT& list, time_point now) {
    state_.apply_peer_cordons(cordons_from_wire(list.cordoned, list.documents_sequence));
    const auto as_of = time_from_age(list.documents_age_ms, now);
    const auto position = static_cast<std::int64_t>(list.documents_sequence);
    if (as_of && position > 0 && position <= state_.cordons().position &&
        list.configuration_version <= state_.version()) {
        state_.update_view(record_topic::operator_documents, *as_of, now);
    }
}

/// Requests the list in pages: as a single answer with a timeout, the list of a large deployment
/// never arrives over a slow link, and probes wait behind it.
///
/// The pages are from different moments. The list is complete up to the position of its first page;
/// changes beyond that which later pages contain are announced again by the changes that follow.
asio::awaitable<void> store_update_exchange::fetch_backends(std::string peer) {
    if (listing_backends_) {
        co_return;
    }
    listing_backends_ = true;
    std::vector<peer_backend> entries;
    std::optional<wire::BackendListT> first;
    time_point first_page_at{};
    std::string after;
    bool more = true;
    while (more) {
        auto page = co_await fetch_backend_page(peer, after);
        if (!page) {
            break;
        }
        const time_point now = monotonic_now();
        for (const auto& fact : page->entries) {
            entries.push_back(
                {from_wire(*fact, now), fact->lapsed, milliseconds(fact->removal_in_ms)});
        }
        more = page->more && !page->entries.empty();
        after = page->entries.empty() ? std::string() : page->entries.back()->id;
        if (!first) {
            apply_documents_view(*page, now);
            // The age refers to the moment in which the page was written.
            page->entries.clear();
            first = std::move(page);
            first_page_at = now;
        }
    }
    listing_backends_ = false;
    if (!first || more) {
        co_return;
    }
    const auto position = static_cast<std::int64_t>(first->sequence);
    const time_point now = monotonic_now();
    state_.apply_peer_backends(entries, position, now);
    const auto as_of = time_from_age(first->age_ms, first_page_at);
    if (as_of && position <= state_.entries().position()) {
        state_.update_view(record_topic::backend_entries, *as_of, now);
        state_.confirm_entries(*as_of);
    }
}

std::unique_ptr<wire::FrameT>
store_update_exchange::answer_backends(const wire::BackendListRequestT& request) const {
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
    const std::size_t max_entries =
        request.paged ? backends_per_page : std::numeric_limits<std::size_t>::max();
    const auto page = forwarding_.registry.page_after(backend_id(request.after), max_entries);
    for (const registered_backend& backend : page) {
        list.entries.push_back(to_wire(backend, now));
        list.entries.back()->lapsed = forwarding_.registry.has_lapsed(backend.id);
        list.entries.back()->removal_in_ms = static_cast<std::uint32_t>(
            forwarding_.registry.time_to_removal(backend.id, now).count());
    }
    list.more = page.size() == max_entries;
    return make_reply(std::move(list));
}

} // namespace bamboostream
