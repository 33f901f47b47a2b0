#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Http/http_server.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboostream {

/// What a request of a route may be put through when its fate is unknown.
enum class repeat_policy : std::uint8_t {
    /// Runs at most once; a lost answer stays lost.
    once,
    /// May run again on another backend server.
    repeatable,
    /// A stream of events that another backend server can take up after any event.
    resumable,
};

/// One of the services that a route's requests are spread over.
struct weighted_service {
    service_id service;
    /// Share of the requests relative to the other services of the route.
    double weight = 1.0;
};

/// How requests of one path prefix are served.
struct route_rule {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    repeat_policy repeats = repeat_policy::once;
    /// The answer is a stream of events.
    bool streaming = false;
    /// No workspace key is asked for.
    bool anonymous = false;
    /// Time after which the caller gets its final answer.
    milliseconds timeout{0};
    /// Time within which an answer, or a stream's first event, is worth its whole.
    milliseconds objective{0};
    /// Longest pause between two events of a stream that is in time; zero when there is none.
    milliseconds pause_objective{0};
    /// Rank; 0 is the most urgent.
    int priority = 0;
    /// Most backend servers that one request may be sent to.
    int max_attempts = 1;
    std::vector<weighted_service> services;
};

/// What the engines of a service can do.
struct engine_rule {
    /// Requests that run at once.
    int slots = 1;
    /// Tokens of cache memory that running and cached requests share.
    std::int64_t memory_tokens = 0;
    /// Bytes of cache memory a token.
    double bytes_per_token = 0.0;
    /// Speed of the link over which memory moves, in bits a microsecond (Mbit/s).
    double link_mbps = 0.0;
    /// Running generations can move to another engine.
    bool moves = false;
    /// Tokens in one event of a stream.
    int tokens_per_event = 1;
};

/// One service and how its backend servers are to be treated.
struct service_rule {
    service_id id;
    std::string health_path;
    /// Connections one backend server accepts from all instances together.
    int max_connections = 0;
    /// Requests a second that a backend server bears while it is cold; zero for no bound.
    double cold_per_second = 0.0;
    std::optional<engine_rule> engine;
};

/// A workspace and the keys that stand for it.
struct workspace_rule {
    workspace_id id;
    std::vector<std::string> keys;
    /// Goes before the route's priority.
    std::optional<int> priority;
};

/// Everything that the operator says about requests: one version, whole.
struct routing_configuration {
    std::int64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<service_rule> services;
    /// Absent when requests carry no keys.
    std::optional<std::vector<workspace_rule>> workspaces;
    /// What a caller may send and how long it may take.
    http_limits caller_limits;
};

} // namespace bamboostream
