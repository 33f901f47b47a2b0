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

/// Brings the engines of each pool to what the configuration wants. The pool's owner takes the
/// pool's lease on the log, reads the engines' true state and sends one order after the other, only
/// well inside the lease by its own monotonic clock.
class placement_service {
public:
    struct timing {
        milliseconds lease{6'000};
        /// Time before the lease's end at which the holder stops to act.
        milliseconds reserve{2'000};
        milliseconds round{500};
        milliseconds order_timeout{1'000};
        milliseconds poll_wait{1'000};
    };

    placement_service(boost::asio::io_context& context, log_service& log,
                      configuration_service& configuration, membership_service& membership,
                      timing times);
    void start();
    /// Whether this instance holds a pool's lease and may act on it now.
    bool may_act(std::string_view pool, time_point now) const;

private:
    struct pool_state {
        /// Until when this instance may act, by its own clock.
        time_point act_until{};
        bool held = false;
        time_point won_at{};
        time_point last_load{};
    };

    boost::asio::awaitable<void> tail_loop();
    boost::asio::awaitable<void> round_loop();
    boost::asio::awaitable<void> serve_pool(std::string pool, pool_settings wanted);
    boost::asio::awaitable<bool> hold_lease(std::string pool);
    boost::asio::awaitable<std::vector<engine_state>> true_state(std::string pool);
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
