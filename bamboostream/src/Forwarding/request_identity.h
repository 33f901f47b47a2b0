#pragma once

#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Core/request_digest.h"
#include "bamboostream/src/Http/message.h"

#include <optional>

namespace bamboostream {

/// Digest of caller, method, host, target and body, which identifies repeated attempts at the same
/// request. The caller is identified by its workspace, if any, because API keys may be renewed.
request_digest digest_of(const http_request& request, const std::optional<workspace_id>& caller);

} // namespace bamboostream
