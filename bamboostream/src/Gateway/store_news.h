#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Gateway/configuration_spread.h"
#include "bamboostream/src/Gateway/store_follower.h"
#include "bamboostream/src/Gateway/telling_delay.h"
#include "bamboostream/src/Links/peer_links.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bamboostream::wire {
struct BackendListRequestT;
struct BackendListT;
struct StoreNewsT;
} // namespace bamboostream::wire

namespace bamboostream {

/// What instances tell each other of the platform's store: that there is a newer configuration,
/// backend servers, and how old the view of these is. Lives on one thread. See also `store_duty`.
class store_news final : public reading_plan {
public:
    store_news(boost::asio::io_context& context, peer_links& links, membership_service& membership,
               forwarding_state& forwarding, deployment_state& state, store_follower& store,
               store_duty& duty, configuration_spread& spread);

    void start();

    bool must_read(record_topic topic, time_point now) const override;
    bool has_from_others(record_topic topic) const override;
    bool awaits_others(record_topic topic, time_point now) const override;
    milliseconds read_wait(record_topic topic, time_point now) const override;
    bool must_read_configuration(time_point now) override;
    reading_role role() const override;
    /// The others are told how fresh this instance's view is.
    void note_answer() override;
    /// A change of the registry or the configuration, which the others are told when this instance
    /// reads for them.
    void note_change(const registry_change& change);
    void note_configuration();
    void note_cordons();

    /// Takes the telling of another instance, in the life that began at `stamp`, and passes it on
    /// when asked to.
    void hear(const std::string& sender, std::int64_t stamp, const wire::StoreNewsT& news);
    std::unique_ptr<wire::FrameT> answer_backends(const wire::BackendListRequestT& request) const;

private:
    /// Those that read the store for all, first choice first.
    std::vector<std::string> reading_order() const;
    boost::asio::awaitable<void> tell_loop();
    void tell();
    /// Sends to all others: directly, or with many of them by one in each other failure domain.
    void send_to_all(wire::StoreNewsT news);
    void pass_on(const std::string& sender, std::int64_t stamp, wire::StoreNewsT news);
    void take(const std::string& sender, const wire::StoreNewsT& news, time_point now);
    void note_ages(const wire::StoreNewsT& news, time_point now);
    /// Takes what a telling with no new record says of entries that have lapsed or are given up.
    void forget_removed(const wire::StoreNewsT& news, time_point now);
    void fill_gap(const std::string& teller, time_point now);

    /// Asks peers for what this instance has missed.
    boost::asio::awaitable<void> catch_up_loop();
    boost::asio::awaitable<void> ask_backends(std::string peer);
    /// Asks a peer which failure domains are cordoned.
    boost::asio::awaitable<void> ask_cordons(std::string peer);
    void take_documents_view(const wire::BackendListT& list, time_point now);
    boost::asio::awaitable<std::optional<wire::BackendListT>> ask_backend_page(std::string peer,
                                                                               std::string after);
    bool is_stale(record_topic topic, time_point now) const;

    /// Carries out what depends on the age of the view alone.
    boost::asio::awaitable<void> watch_loop();
    /// Logs when what is known of a topic has become old, and when it is known again.
    void watch_topic(record_topic topic, bool& stale, time_point now) const;

    boost::asio::io_context& context_;
    peer_links& links_;
    membership_service& membership_;
    forwarding_state& forwarding_;
    deployment_state& state_;
    store_follower& store_;
    store_duty& duty_;
    configuration_spread& spread_;
    /// Changes that the others have not been told of.
    std::vector<registry_change> untold_;
    std::int64_t told_position_ = 0;
    time_point started_at_{};
    time_point told_at_{};
    /// A peer has been asked for all its entries; more answers would only fill the links.
    bool asking_for_all_ = false;
    telling_delay delays_;
    bool entries_stale_ = true;
    bool documents_stale_ = true;
    boost::asio::steady_timer due_;
    std::mt19937_64 random_{1};
};

} // namespace bamboostream
