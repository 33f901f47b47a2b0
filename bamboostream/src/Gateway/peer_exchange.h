#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Control/quarantine_exchange.h"
#include "bamboostream/src/Control/rate_limit_exchange.h"
#include "bamboostream/src/Control/server_state_exchange.h"
#include "bamboostream/src/Evacuation/evacuation_service.h"
#include "bamboostream/src/Gateway/owner_scheduler.h"
#include "bamboostream/src/Gateway/store_update_exchange.h"
#include "bamboostream/src/Gateway/stream_origin_exchange.h"
#include "bamboostream/src/Links/peer_links.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

namespace bamboostream {

/// What this instance knows of the backend servers, without those that are cut off from it.
server_state_exchange::server_view view_of_servers(const forwarding_state& forwarding);

/// The key whose owner issues the permits of a server that names a limit: the service for engines,
/// since its owner chooses engines for all instances, and otherwise one of a fixed number of keys.
rate_limit_exchange::key_function issuer_key(const forwarding_state& forwarding);

/// Handles the messages between instances of the gateway: reports of work, generations that move,
/// configurations, quarantine evidence and, through `store_update_exchange`, what the store
/// contains. Lives on one thread.
class peer_exchange final : public evacuation_peers {
public:
    peer_exchange(boost::asio::io_context& context, peer_links& links,
                  membership_service& membership, forwarding_state& forwarding,
                  store_update_exchange& store_updates, configuration_distributor& distributor,
                  owner_scheduler& scheduler, quarantine_exchange& quarantine,
                  server_state_exchange& server_states, stream_origin_exchange& origins,
                  rate_limit_exchange& rate_limits);

    void start();
    /// Handles a frame from another instance. Returns the reply, or null when there is none.
    boost::asio::awaitable<std::unique_ptr<wire::FrameT>>
    handle(std::unique_ptr<wire::FrameT> frame);

    /// Called when the work of this instance at engines has changed.
    void on_load_change() { load_due_.cancel(); }

    bool coordinates(const service_id& service) const override;
    boost::asio::awaitable<std::vector<move_candidate>>
    collect_movable(backend_id backend) override;
    boost::asio::awaitable<bool> expect_stop(std::string instance, backend_id backend,
                                             std::string generation, milliseconds within) override;
    void cancel_stop(const std::string& instance, const std::string& generation) override;
    void send_move_notice(const std::string& instance, const std::string& generation,
                          const move_notice& notice) override;

private:
    boost::asio::awaitable<void> load_loop();
    std::unique_ptr<wire::FrameT> answer_movable(const wire::FrameT& frame);

    boost::asio::io_context& context_;
    peer_links& links_;
    membership_service& membership_;
    forwarding_state& forwarding_;
    store_update_exchange& store_updates_;
    configuration_distributor& distributor_;
    owner_scheduler& owner_scheduler_;
    quarantine_exchange& quarantine_;
    server_state_exchange& server_states_;
    stream_origin_exchange& origins_;
    rate_limit_exchange& rate_limits_;
    boost::asio::steady_timer load_due_;
};

} // namespace bamboostream
