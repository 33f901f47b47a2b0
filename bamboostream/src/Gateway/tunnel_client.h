#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Forwarding/forwarding_state.h"
#include "bamboostream/src/Forwarding/tunnel_dialer.h"
#include "bamboostream/src/Routing/carrier_selector.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bamboostream {

namespace internal {
struct tunnel_search;
}

/// Opens tunnels through the instances that reach a backend server, and finds out when direct
/// connections work again. Lives on one thread.
class tunnel_client final : public tunnel_dialer {
public:
    tunnel_client(boost::asio::io_context& context, membership_service& membership,
                  forwarding_state& forwarding, std::uint64_t seed)
        : context_(context), membership_(membership), forwarding_(forwarding),
          selector_(membership.own_failure_domain().text(), seed), wake_(context) {}

    void start();
    boost::asio::awaitable<std::shared_ptr<http_connection>> open(registered_backend server,
                                                                  std::string request_id,
                                                                  time_point until,
                                                                  tunnel_failure& why) override;
    void start_checks() override { wake_.cancel(); }

private:
    using search_ptr = std::shared_ptr<internal::tunnel_search>;

    /// The other usable instances, weighted by their capacity.
    std::span<const carrier_candidate> candidates();
    /// Asks further instances until one of them opens a tunnel, none is left or the time is over.
    boost::asio::awaitable<void> run(search_ptr search);
    /// Asks one instance. A tunnel that is opened after the search has ended is closed.
    boost::asio::awaitable<void> ask(search_ptr search, carrier_candidate carrier,
                                     std::string known);
    void wake_searches(const service_id& service);
    boost::asio::awaitable<void> check_loop();

    boost::asio::io_context& context_;
    membership_service& membership_;
    forwarding_state& forwarding_;
    carrier_selector selector_;
    std::set<search_ptr> searches_;
    std::vector<carrier_candidate> candidates_;
    /// The revision of the members that `candidates_` is made from.
    std::optional<std::uint64_t> candidates_revision_;
    boost::asio::steady_timer wake_;
};

} // namespace bamboostream
