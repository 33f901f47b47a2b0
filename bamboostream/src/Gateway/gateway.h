#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Forwarding/backend_contract.h"
#include "bamboostream/src/Gateway/deployment_contract.h"
#include "bamboostream/src/Limits/cold_start_limit.h"
#include "bamboostream/src/Limits/engine_admission.h"
#include "bamboostream/src/Routing/window_budget.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// What a gateway is told at its start.
struct gateway_settings {
    /// Where callers connect.
    std::string caller_listen;
    /// Where callers ask which addresses to use; may be the callers' own address.
    std::string directory_listen;
    /// Where the platform asks whether this instance is ready.
    std::string ready_listen;
    /// Where other instances connect.
    std::string peer_listen;
    /// Where metrics are served; empty for nowhere.
    std::string metrics_listen;
    std::string failure_domain;
    /// Thousandths of a core that this instance has; zero when the platform doesn't say.
    std::uint32_t capacity = 0;
    /// Speed of this instance's link in Mbit/s; zero when the platform doesn't say.
    double link_mbps = 0.0;
    /// Addresses at which other instances may be found.
    std::vector<std::string> seeds;
    window_budget_rules budget;
    admission_rules admission;
    /// Nothing when the platform sets no bound.
    std::optional<cold_start_rules> cold_starts;
    /// Between the signal to end and the kill.
    milliseconds grace{8'000};
    /// From the store's word that a server leaves until no request may reach it, from that of a
    /// configuration until it must hold, and from that of a failure domain out of service until no
    /// request may reach it there; nothing when the platform doesn't say.
    std::optional<milliseconds> leaving_bound;
    std::optional<milliseconds> configuration_bound;
    std::optional<milliseconds> cordon_bound;
    /// How long callers may keep a directory answer.
    milliseconds directory_validity{2'000};
};

/// How the directory and the readiness check look on the wire of a deployment.
class directory_codec {
public:
    virtual ~directory_codec() = default;
    /// Whether the request asks for addresses; `near` is the caller's failure domain then.
    virtual bool asks_for_addresses(const http_request& request, std::string& near) const = 0;
    virtual bool asks_whether_ready(const http_request& request) const = 0;
    virtual std::string write_addresses(const std::vector<std::string>& addresses,
                                        milliseconds valid_for) const = 0;
};

/// Everything that a deployment brings to the gateway.
struct gateway_contracts {
    const request_codec& requests;
    const record_codec& records;
    const directory_codec& directory;
    record_store& store;
    persistent_records& kept;
    generation_mover& mover;
};

/// An instance that forwards callers' requests to backend servers on a platform which keeps its
/// configuration and the backend servers' entries in a store. One thread does everything.
class gateway {
public:
    gateway(boost::asio::io_context& context, gateway_settings settings,
            gateway_contracts contracts);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Serves until a signal ends it. `reload` is called on SIGHUP (with true) and now and then, as
    /// settings may change without a signal; it returns settings that have changed. Addresses to
    /// listen at and the failure domain stay as they were at the start. The result is an exit code.
    int run(std::function<std::optional<gateway_settings>(bool signalled)> reload);

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace bamboostream
