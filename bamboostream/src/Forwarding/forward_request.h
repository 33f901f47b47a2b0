#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Core/prompt_part.h"
#include "bamboostream/src/Routing/server_load_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bamboostream {

/// The properties of a caller's request that the forwarder uses. Method, path, body and all other
/// header fields are forwarded unchanged.
struct forward_request {
    /// The caller's id for this attempt; different for every attempt.
    std::string id;
    std::string host;
    /// The caller's API key; empty if it sent none.
    std::string key;
    /// How long the caller waits for the response; nothing if it did not say.
    std::optional<milliseconds> caller_timeout;
    std::int64_t prompt_tokens = 0;
    /// Upper limit of the output; zero if the caller set none.
    std::int64_t max_output_tokens = 0;
    /// The caller's estimate; `max_output_tokens` if it gave none.
    std::int64_t expected_output_tokens = 0;
    /// Id of the last event that the caller received, when it resumes a stream.
    std::optional<std::uint64_t> resume_after;
    /// The caller sent an id of the last event that isn't a number.
    bool malformed_resume_after = false;
    /// Id of the attempt that brought the first event of the stream that the caller resumes; empty
    /// if it resumes none.
    std::string resumes;
    /// The parts of the prompt that other requests may have too, in order; empty if the caller
    /// named none.
    std::vector<prompt_part> shared_parts;
};

/// A copy of a generation's cache memory, from which another engine continues the generation.
struct generation_copy {
    /// The engine that issued the handle, as "ip:port".
    std::string holder;
    std::string handle;
};

/// The request properties that are set anew for each attempt at a backend server.
struct attempt_parameters {
    backend_id expected_backend;
    std::string address;
    /// Nothing if requests carry no keys.
    std::optional<workspace_id> workspace;
    milliseconds time_left{0};
    std::optional<std::uint64_t> resume_after;
    std::optional<generation_copy> copy;
};

/// What the forwarder learns from the head of a backend server's response that is known to be the
/// response to its request.
struct response_info {
    int status = 0;
    /// The server reports that it has not executed the request and will not.
    bool not_run = false;
    /// The address now belongs to another server, or to a later start of the same one.
    bool wrong_server = false;
    /// The response comes from the server itself. A success without this is garbage.
    bool authentic = false;
    /// The response names the request. Servers may leave that out of a refusal, and a process that
    /// has taken over the address of a crashed server doesn't know the request.
    bool names_request = false;
    /// The requests a second that the server takes from all instances together; nothing if the
    /// response names no limit.
    std::optional<double> rate_limit;
    /// The text of a limit that can't be read; empty otherwise.
    std::string malformed_rate_limit;
    /// The load that the server reports; nothing if the response doesn't say.
    std::optional<server_load> load;
    /// The text of a load that can't be read; empty otherwise.
    std::string malformed_load;
};

/// Which request a response names.
enum class response_subject : std::uint8_t {
    this_request,
    /// It names none.
    unnamed,
    another_request,
};

/// The head of a response on a connection on which the response to a request is due. What it says
/// can only be read as a statement about that request, if it is known to be one.
class parsed_response {
public:
    /// `named` is the id that the response names, if any. `is_first` tells that no other response
    /// has arrived on its connection.
    parsed_response(response_info info, response_subject subject, std::string named, bool is_first)
        : info_(std::move(info)), named_(std::move(named)),
          is_known_(subject == response_subject::this_request ||
                    (subject == response_subject::unnamed && is_first)) {}

    /// What the response says of the request; nothing if it may be about another one. A response
    /// that names no request is about this one only if it is the first on its connection: behind
    /// another response it may be a copy, or bytes that belong to no request.
    std::optional<response_info> about_request() const {
        return is_known_ ? std::optional(info_) : std::nullopt;
    }
    /// The id that the response names; empty if it names none.
    const std::string& named() const { return named_; }

private:
    response_info info_;
    std::string named_;
    bool is_known_;
};

} // namespace bamboostream
