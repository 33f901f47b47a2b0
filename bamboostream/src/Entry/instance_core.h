#pragma once

#include "bamboostream/src/Control/claim_service.h"
#include "bamboostream/src/Control/configuration_service.h"
#include "bamboostream/src/Control/home_service.h"
#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Control/placement_service.h"
#include "bamboostream/src/Control/quarantine_service.h"
#include "bamboostream/src/Control/scheduling_service.h"
#include "bamboostream/src/Report/request_metrics.h"
#include "bamboostream/src/Routing/retry_budget.h"
#include "bamboostream/src/Routing/service_picker.h"
#include "bamboostream/src/Streams/resume_handle.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <string>

namespace bamboostream {

/// Start-up settings of an instance.
struct instance_settings {
    std::string caller_listen = "127.0.0.1:0";
    std::string operator_listen = "127.0.0.1:0";
    std::string peer_listen = "127.0.0.1:0";
    std::string log_address;
    std::string platform_address;
    std::string failure_domain = "default";
    std::string announce_file;
    std::int64_t threads = 2;
    milliseconds log_timeout{1'000};
    /// How long a graceful shutdown waits for open requests once new work is refused.
    milliseconds drain_limit{600'000};
    /// How long a generation continues after its caller has disconnected before it is cancelled.
    milliseconds away_limit{10'000};
    milliseconds ledger_window{600'000};
    milliseconds snapshot_period{60'000};
    std::int64_t body_limit = 1'048'576;
};

/// State of an instance that its request handlers share. The services belong to the control thread;
/// handlers, which run on traffic threads, access them through `on_control`.
struct instance_core {
    explicit instance_core(instance_settings s);

    /// Runs `operation`, a function that returns an awaitable, on the control thread and resumes
    /// the calling coroutine on its own executor.
    template <class Operation> auto on_control(Operation operation) {
        return boost::asio::co_spawn(control, std::move(operation), boost::asio::use_awaitable);
    }

    instance_settings settings;
    boost::asio::io_context control{1};
    std::unique_ptr<peer_links> links;
    std::unique_ptr<log_service> log;
    std::unique_ptr<membership_service> membership;
    std::unique_ptr<configuration_service> configuration;
    std::unique_ptr<scheduling_service> scheduling;
    std::unique_ptr<home_service> homes;
    std::unique_ptr<claim_service> claims;
    std::unique_ptr<placement_service> placement;
    std::unique_ptr<quarantine_service> quarantine;
    /// Load balancing among replicas of plain services. Control thread only.
    service_picker services{1};
    /// Limits the retries of all requests of this instance together. Control thread only.
    retry_budget retries;
    request_metrics metrics;
    wall_time start_stamp = 0;
    /// Set when a graceful shutdown begins; the instance is no longer listed in the directory.
    std::atomic<bool> leaving{false};
    /// Set during a graceful shutdown once all directory responses that list this instance have
    /// expired. New requests are refused from then on.
    std::atomic<bool> refusing_new_work{false};
    std::atomic<int> open_requests{0};
};

/// Returns a signer for resume handles that uses the resume keys of `document`.
handle_signer make_signer(const configuration_document& document);

} // namespace bamboostream
