#pragma once

#include "bamboostream/src/Configuration/document.h"
#include "bamboostream/src/Contracts/json_reader.h"
#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Http/message.h"

#include <optional>
#include <string>
#include <vector>

namespace bamboostream {

/// What to do when a stream's engine is lost after the first token: end the stream as incomplete,
/// or start a new generation that replaces the tokens sent so far.
enum class on_loss : std::uint8_t { incomplete, restart };

/// A parsed and validated completion request.
struct completion_request {
    std::string model;
    std::string prompt;
    std::string kind;
    std::uint32_t max_tokens = 0;
    std::uint32_t prompt_tokens = 0;
    bool stream = false;
    priority_level priority = priority_level::standard;
    on_loss loss = on_loss::incomplete;
    /// How long the caller waits for the generation to start; zero for the default of the pool.
    milliseconds deadline{0};
    /// Idempotency key; empty when the caller gave none.
    std::string key;
    /// Hash of the first 512 bytes of the prompt.
    std::uint64_t prefix = 0;
};

/// Parses and validates a request. Returns nullopt when it is malformed and appends every error
/// found to `errors`.
std::optional<completion_request> read_completion(const http_request& request,
                                                  std::vector<validation_error>& errors);

} // namespace bamboostream
