#pragma once

#include "bamboostream/src/Configuration/document.h"
#include "bamboostream/src/Http/message.h"

#include <optional>
#include <string>

namespace bamboostream {

/// Returns the workspace that owns the bearer key in the request's `Authorization` field, or
/// nullopt when the field is absent, uses another scheme, or holds an unknown key.
std::optional<workspace_id> authenticate(const http_request& request,
                                         const configuration_document& document);

/// Whether an idempotency key is non-empty, printable ASCII without spaces and at most 200 bytes
/// long, so that it can be stored and forwarded.
bool is_valid_idempotency_key(std::string_view key);

} // namespace bamboostream
