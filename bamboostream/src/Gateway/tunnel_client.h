#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Forwarding/forwarding_state.h"
#include "bamboostream/src/Forwarding/tunnel_dialer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboostream {

/// Opens tunnels through the instances that reach a backend server, and finds out when direct
/// connections work again. Lives on one thread.
class tunnel_client final : public tunnel_dialer {
public:
    tunnel_client(boost::asio::io_context& context, membership_service& membership,
                  forwarding_state& forwarding)
        : context_(context), membership_(membership), forwarding_(forwarding), wake_(context) {}

    void start();
    boost::asio::awaitable<std::shared_ptr<http_connection>> open(registered_backend server,
                                                                  std::string request_id,
                                                                  time_point until,
                                                                  tunnel_failure& why) override;
    void start_checks() override { wake_.cancel(); }

private:
    /// What is known of another instance as a carrier.
    struct carrier_state {
        time_point excluded_until{};
        time_point last_connected{};
    };
    /// The instances to ask for a tunnel to the server, the best one first: those that have carried
    /// one lately, then those of the own failure domain, in random order.
    std::vector<std::string> carriers_for(const backend_id& server, time_point now);
    void expire(time_point now);
    boost::asio::awaitable<void> check_loop();

    boost::asio::io_context& context_;
    membership_service& membership_;
    forwarding_state& forwarding_;
    std::unordered_map<std::string, carrier_state> carriers_;
    /// Instances that did not connect to a server, and until when they are not asked for it again.
    std::map<std::pair<std::string, backend_id>, time_point> failed_until_;
    boost::asio::steady_timer wake_;
};

} // namespace bamboostream
