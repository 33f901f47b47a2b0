#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Forwarding/backend_contract.h"
#include "bamboostream/src/Gateway/deployment_contract.h"
#include "bamboostream/src/Http/response_limits.h"
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

/// The settings of a gateway.
struct gateway_settings {
    /// Address for callers.
    std::string caller_listen;
    /// Address for directory requests, with which callers ask which addresses to use. May be the
    /// same as `caller_listen`.
    std::string directory_listen;
    /// Address for the platform's readiness check.
    std::string ready_listen;
    /// Address for other instances.
    std::string peer_listen;
    /// Address for metrics; empty to serve none.
    std::string metrics_listen;
    /// IP address from which connections to backend servers are made, on a machine that has
    /// several; empty to let the system choose.
    std::string outbound_address;
    std::string failure_domain;
    /// CPU capacity of this instance in thousandths of a core; zero when the platform doesn't
    /// report it.
    std::uint32_t capacity = 0;
    /// Speed of this instance's link in Mbit/s; zero when the platform doesn't report it.
    double link_mbps = 0.0;
    /// Memory of this instance in MB; zero when the platform doesn't report it.
    double memory_mb = 0.0;
    /// Share of that memory for responses that are kept until they are complete.
    double response_memory_share = 0.03125;
    response_limits responses;
    /// Addresses at which to look for other instances.
    std::vector<std::string> seeds;
    window_budget_rules budget;
    admission_rules admission;
    /// The memory of engines is short at times: running generations go before new ones, and
    /// workspaces get fair shares of it.
    bool memory_pressure = false;
    /// Empty when the platform sets no bound.
    std::optional<cold_start_rules> cold_starts;
    /// Time between the termination signal and the kill.
    milliseconds grace{8'000};
    /// Maximum times from the moment the store contains a change until it must be in effect: no
    /// request may reach a server that leaves, a configuration must be in force, no request may
    /// reach a failure domain that is out of service. Empty when the platform doesn't set them.
    std::optional<milliseconds> leaving_bound;
    std::optional<milliseconds> configuration_bound;
    std::optional<milliseconds> cordon_bound;
    /// Interval at which backend servers renew their entries; empty when the platform doesn't say.
    std::optional<milliseconds> entry_heartbeat;
    /// How long callers may keep a directory answer.
    milliseconds directory_validity{2'000};
};

/// The wire format of a deployment's directory and readiness check.
class directory_codec {
public:
    virtual ~directory_codec() = default;
    /// Whether the request asks for addresses. If so, `near` is set to the caller's failure domain.
    virtual bool asks_for_addresses(const http_request& request, std::string& near) const = 0;
    virtual bool asks_whether_ready(const http_request& request) const = 0;
    virtual std::string write_addresses(const std::vector<std::string>& addresses,
                                        milliseconds valid_for) const = 0;
};

/// The interfaces that a deployment provides to the gateway.
struct gateway_contracts {
    const request_codec& requests;
    const record_codec& records;
    const directory_codec& directory;
    record_store& store;
    persistent_records& persistent;
    generation_mover& mover;
};

/// An instance that forwards callers' requests to backend servers, on a platform that keeps the
/// configuration and the entries of backend servers in a store. Everything runs on one thread.
class gateway {
public:
    gateway(boost::asio::io_context& context, gateway_settings settings,
            gateway_contracts contracts);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Serves until a signal ends it and returns the exit code. `reload` is called on SIGHUP (with
    /// true) and periodically, as settings may change without a signal; it returns settings that
    /// have changed. Listening addresses and the failure domain keep their initial values.
    int run(std::function<std::optional<gateway_settings>(bool signalled)> reload);

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace bamboostream
