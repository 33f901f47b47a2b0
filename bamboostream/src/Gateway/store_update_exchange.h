#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Gateway/announcement_delay.h"
#include "bamboostream/src/Gateway/configuration_distributor.h"
#include "bamboostream/src/Gateway/store_follower.h"
#include "bamboostream/src/Links/peer_links.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace bamboostream::wire {
struct BackendListRequestT;
struct BackendListT;
struct StoreNewsT;
} // namespace bamboostream::wire

namespace bamboostream {

/// Exchanges between instances what the platform's store contains: the version of the newest
/// configuration, changes of backend servers, cordons, and how old the view of these is. Lives on
/// one thread. See also `store_read_policy`.
class store_update_exchange final : public read_coordinator {
public:
    store_update_exchange(boost::asio::io_context& context, peer_links& links,
                          membership_service& membership, forwarding_state& forwarding,
                          deployment_state& state, store_follower& store,
                          store_read_policy& read_policy, configuration_distributor& distributor);

    void start();

    bool must_read(record_topic topic, time_point now) const override;
    bool has_topic_from_peers(record_topic topic) const override;
    bool awaits_peers(record_topic topic, time_point now) const override;
    milliseconds read_wait(record_topic topic, time_point now) const override;
    bool must_read_configuration(time_point now) override;
    store_read_role role() const override;
    /// Announces how fresh this instance's view is.
    void on_store_answer() override;
    /// Announces a change of the registry, the configuration or the cordons, if this instance reads
    /// for the others.
    void announce_change(const registry_change& change);
    /// Announces the departures that were among records of the store, also those that were known
    /// here before: the position that is announced says that others know them as well, and they may
    /// have missed an earlier announcement.
    void announce_departures(std::span<const backend_id> read);
    void announce_configuration();
    void announce_cordons();

    /// Processes the announcement of another instance, whose incarnation began at `stamp`, and
    /// relays it if requested.
    void hear(const std::string& sender, std::int64_t stamp, const wire::StoreNewsT& news);
    std::unique_ptr<wire::FrameT> answer_backends(const wire::BackendListRequestT& request) const;

private:
    /// The readers and standbys of the store, in order of preference.
    std::vector<std::string> reading_order() const;
    boost::asio::awaitable<void> announce_loop();
    void announce();
    /// Sends to all other instances: directly, or when there are many, through a relay in each
    /// other failure domain.
    void broadcast(wire::StoreNewsT news);
    void relay(const std::string& sender, std::int64_t stamp, wire::StoreNewsT news);
    void apply_update(const std::string& sender, const wire::StoreNewsT& news, time_point now);
    /// Records that the entries up to `position` were complete `age_ms` ago.
    void confirm_entries(std::uint32_t age_ms, std::int64_t position, time_point now);
    void update_views(const wire::StoreNewsT& news, time_point now);
    /// Applies removals of lapsed or dropped entries from an announcement without new records.
    void apply_removals(const wire::StoreNewsT& news, time_point now);
    void recover_missed_changes(const std::string& announcer, time_point now);

    /// Requests from peers what this instance has missed.
    boost::asio::awaitable<void> catch_up_loop();
    boost::asio::awaitable<void> fetch_backends(std::string peer);
    /// Asks a peer which failure domains are cordoned.
    boost::asio::awaitable<void> fetch_cordons(std::string peer);
    void apply_documents_view(const wire::BackendListT& list, time_point now);
    boost::asio::awaitable<std::optional<wire::BackendListT>> fetch_backend_page(std::string peer,
                                                                                 std::string after);
    bool is_stale(record_topic topic, time_point now) const;

    /// Performs the actions that depend only on the age of the view.
    boost::asio::awaitable<void> view_age_loop();
    /// Logs when the view of a topic becomes stale and when it is fresh again.
    void update_staleness(record_topic topic, bool& stale, time_point now) const;

    boost::asio::io_context& context_;
    peer_links& links_;
    membership_service& membership_;
    forwarding_state& forwarding_;
    deployment_state& state_;
    store_follower& store_;
    store_read_policy& read_policy_;
    configuration_distributor& distributor_;
    /// Changes that have not been announced yet.
    std::vector<registry_change> pending_changes_;
    std::int64_t announced_position_ = 0;
    time_point started_at_{};
    time_point announced_at_{};
    /// A peer has been asked for all its entries; further answers would only fill the links.
    bool listing_backends_ = false;
    announcement_delay delays_;
    bool entries_stale_ = true;
    bool documents_stale_ = true;
    boost::asio::steady_timer due_;
    std::mt19937_64 random_{1};
};

} // namespace bamboostream
