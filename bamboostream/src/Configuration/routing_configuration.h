#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Http/http_server.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboostream {

/// Whether a request may be sent again after an attempt whose outcome is unknown.
enum class repeat_policy : std::uint8_t {
    /// Runs at most once; a lost response is not retried.
    once,
    /// May run again on another backend server.
    repeatable,
    /// A stream of events that another backend server can continue after any event.
    resumable,
};

/// One of the services that a route's requests are distributed over.
struct weighted_service {
    service_id service;
    /// Share of the requests relative to the other services of the route.
    double weight = 1.0;
};

/// How requests to one path prefix are served.
struct route_rule {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    repeat_policy repeats = repeat_policy::once;
    /// The response is a stream of events.
    bool streaming = false;
    /// No workspace key is required.
    bool anonymous = false;
    /// Time after which the caller gets its final response.
    milliseconds timeout{0};
    /// Latency objective of a response, or of the first event of a stream.
    milliseconds objective{0};
    /// Objective for the longest pause between two events of a stream; zero if there is none.
    milliseconds pause_objective{0};
    /// Priority; 0 is the most urgent.
    int priority = 0;
    /// Maximum number of backend servers that one request may be sent to.
    int max_attempts = 1;
    std::vector<weighted_service> services;
};

/// Capabilities of the engines of a service.
struct engine_rule {
    /// Number of requests that run concurrently.
    int slots = 1;
    /// Size in tokens of the KV cache that running and cached requests share.
    std::int64_t memory_tokens = 0;
    /// KV cache bytes per token.
    double bytes_per_token = 0.0;
    /// Bandwidth of the link over which KV cache contents move, in bits per microsecond (Mbit/s).
    double link_mbps = 0.0;
    /// Running generations can be migrated to another engine.
    bool moves = false;
    /// Number of tokens in one event of a stream.
    int tokens_per_event = 1;
};

/// One service and the limits of its backend servers.
struct service_rule {
    service_id id;
    std::string health_path;
    /// Maximum number of connections that one backend server accepts from all instances together.
    int max_connections = 0;
    /// Requests per second that a backend server can handle while it is cold; zero for no limit.
    double cold_per_second = 0.0;
    std::optional<engine_rule> engine;
};

/// A workspace and its API keys.
struct workspace_rule {
    workspace_id id;
    std::vector<std::string> keys;
    /// Overrides the route's priority.
    std::optional<int> priority;
};

/// One complete version of the operator's configuration of request handling.
struct routing_configuration {
    std::int64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<service_rule> services;
    /// Absent if requests carry no keys.
    std::optional<std::vector<workspace_rule>> workspaces;
    /// Size and time limits of callers' requests.
    http_limits caller_limits;
};

} // namespace bamboostream
