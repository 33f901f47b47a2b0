#pragma once

#include "bamboostream/src/Entry/instance_core.h"
#include "bamboostream/src/Http/http_server.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

namespace bamboostream {

/// Handles requests to the operator port: configuration, status, drain, report data, the console,
/// and the endpoints that all ports have in common.
///
/// `handle` and `handle_common` run on traffic threads; state of the services is read on the
/// control thread.
class operator_handler {
public:
    /// `drain` starts a graceful shutdown; it may be called repeatedly and from any thread.
    operator_handler(instance_core& core, std::function<void()> drain);
    boost::asio::awaitable<void> handle(http_exchange& exchange);
    /// Handles `/healthz`, `/readyz` and `/metrics`. Returns false, without a response, for any
    /// other path.
    boost::asio::awaitable<bool> handle_common(http_exchange& exchange);

private:
    boost::asio::awaitable<void> show_configuration(http_exchange& exchange);
    boost::asio::awaitable<void> submit_configuration(http_exchange& exchange);
    boost::asio::awaitable<void> validate_configuration(http_exchange& exchange) const;
    boost::asio::awaitable<void> show_history(http_exchange& exchange);
    boost::asio::awaitable<void> show_status(http_exchange& exchange);
    boost::asio::awaitable<void> show_burn(http_exchange& exchange);
    /// Metrics of the state that belongs to the control thread, in the Prometheus text format.
    boost::asio::awaitable<std::string> control_metrics();

    instance_core& core_;
    std::function<void()> drain_;
};

} // namespace bamboostream
