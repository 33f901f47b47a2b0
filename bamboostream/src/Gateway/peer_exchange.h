#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Control/quarantine_exchange.h"
#include "bamboostream/src/Evacuation/evacuation_service.h"
#include "bamboostream/src/Gateway/pool_owner.h"
#include "bamboostream/src/Gateway/store_news.h"
#include "bamboostream/src/Links/peer_links.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

namespace bamboostream {

/// What instances of the gateway tell each other: work under way, generations that move, and, by
/// `store_news`, what the store says. Lives on one thread.
class peer_exchange final : public evacuation_peers {
public:
    peer_exchange(boost::asio::io_context& context, peer_links& links,
                  membership_service& membership, forwarding_state& forwarding, store_news& news,
                  configuration_spread& spread, pool_owner& owner, quarantine_exchange& quarantine);

    void start();
    /// Answers a frame of another instance.
    boost::asio::awaitable<std::unique_ptr<wire::FrameT>>
    handle(std::unique_ptr<wire::FrameT> frame);

    /// The work of this instance at engines has changed.
    void note_load() { load_due_.cancel(); }

    bool drives(const service_id& service) const override;
    boost::asio::awaitable<std::vector<move_candidate>> gather(backend_id backend) override;
    void tell(const std::string& instance, const std::string& generation,
              const move_notice& notice) override;

private:
    boost::asio::awaitable<void> load_loop();
    std::unique_ptr<wire::FrameT> answer_movable(const backend_id& backend);

    boost::asio::io_context& context_;
    peer_links& links_;
    membership_service& membership_;
    forwarding_state& forwarding_;
    store_news& news_;
    configuration_spread& spread_;
    pool_owner& owner_;
    quarantine_exchange& quarantine_;
    boost::asio::steady_timer load_due_;
};

} // namespace bamboostream
