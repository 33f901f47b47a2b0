#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bamboostream {

/// What the forwarder needs to know of a caller's request; method, path, body and all other fields
/// pass through as they came.
struct forward_request {
    /// The caller's id of this attempt; every attempt has another.
    std::string id;
    std::string host;
    /// The caller's key; empty when it sent none.
    std::string key;
    /// How long the caller waits; nothing when it didn't say.
    std::optional<milliseconds> caller_timeout;
    std::int64_t prompt_tokens = 0;
    /// The most the generation may put out; zero when the caller didn't say.
    std::int64_t max_output_tokens = 0;
    /// What the caller expects, the most when it expects nothing.
    std::int64_t expected_output_tokens = 0;
    /// The caller has this event already and wants the next.
    std::optional<std::uint64_t> resume_after;
};

/// The memory of a generation that goes on at another engine.
struct generation_copy {
    /// The engine that named the handle, "ip:port".
    std::string holder;
    std::string handle;
};

/// What is set anew in each send of a request to a backend server.
struct attempt_parameters {
    backend_id expected;
    std::string address;
    /// Nothing when requests carry no keys.
    std::optional<workspace_id> workspace;
    milliseconds time_left{0};
    std::optional<std::uint64_t> resume_after;
    std::optional<generation_copy> copy;
};

/// What the head of a backend server's answer says.
struct response_info {
    int status = 0;
    /// The server says that it has not run the request and won't.
    bool not_run = false;
    /// Another start of a server has the address.
    bool wrong_server = false;
    /// The answer belongs to this request and is the server's own. A success without this is the
    /// late answer of another request, or noise.
    bool authentic = false;
};

} // namespace bamboostream
