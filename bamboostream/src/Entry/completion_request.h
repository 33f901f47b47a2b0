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

/// What a stream's caller wants when its engine is lost after the first token.
enum class on_loss : std::uint8_t { incomplete, restart };

/// A caller's request for a completion, read and checked.
struct completion_request {
    std::string model;
    std::string prompt;
    std::string kind;
    std::uint32_t max_tokens = 0;
    std::uint32_t prompt_tokens = 0;
    bool stream = false;
    priority_level priority = priority_level::standard;
    on_loss loss = on_loss::incomplete;
    /// How long the caller waits for the start, and for the whole answer when not streaming.
    milliseconds deadline{0};
    /// Idempotency key; empty when the caller gave none.
    std::string key;
    /// Hash of the prompt's beginning.
    std::uint64_t prefix = 0;
};

/// Reads a request; nothing with every mistake when it is malformed.
std::optional<completion_request> read_completion(const http_request& request,
                                                  std::vector<validation_error>& errors);

} // namespace bamboostream
