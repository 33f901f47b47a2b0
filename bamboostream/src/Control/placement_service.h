#pragma once

#include "bamboostream/src/Contracts/engine.h"
#include "bamboostream/src/Contracts/log_service.h"
#include "bamboostream/src/Control/configuration_service.h"
#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Placement/lease_table.h"
#include "bamboostream/src/Placement/placement_plan.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <string>
#include <vector>

namespace bamboostream {

/// Reconciles the engines of each pool with the configuration. The pool's owner acquires the pool's
/// lease through the log, reads the state of the engines and sends one order at a time. It acts
/// only while the lease is valid with a safety margin by its own monotonic clock. Runs on the
/// control thread.
class placement_service {
public:
    /// Periods, timeouts and limits of the service.
    struct timing {
        milliseconds lease{6'000};
        /// How long before the end of the lease its holder stops acting.
        milliseconds safety_margin{2'000};
        milliseconds round_period{500};
        milliseconds order_timeout{1'000};
        milliseconds poll_wait{1'000};
    };

    placement_service(boost::asio::io_context& context, log_service& log,
                      configuration_service& configuration, membership_service& membership,
                      timing times);
    void start();
    /// True if this instance holds the pool's lease and may act on it at `now`.
    bool may_act(std::string_view pool, time_point now) const;

private:
    struct pool_state {
        /// Until when this instance may act, by its own monotonic clock.
        time_point act_until{};
        bool held = false;
        time_point won_at{};
        time_point last_load{};
    };

    boost::asio::awaitable<void> tail_loop();
    boost::asio::awaitable<void> reconcile_loop();
    boost::asio::awaitable<void> reconcile_pool(std::string pool, pool_settings wanted);
    boost::asio::awaitable<bool> acquire_lease(std::string pool);
    boost::asio::awaitable<std::vector<engine_state>> read_engine_states(std::string pool);
    boost::asio::awaitable<void> send_order(std::string pool, planned_order planned);

    boost::asio::io_context& context_;
    log_service& log_;
    configuration_service& configuration_;
    membership_service& membership_;
    timing times_;
    lease_table leases_;
    std::map<std::string, pool_state, std::less<>> pools_;
};

} // namespace bamboostream
