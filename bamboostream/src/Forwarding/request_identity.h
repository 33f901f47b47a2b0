#pragma once

#include "bamboostream/src/Core/identities.h"
#include "bamboostream/src/Core/request_digest.h"
#include "bamboostream/src/Http/message.h"

#include <optional>
#include <string_view>

namespace bamboostream {

/// Digest of caller, method, host, target and body, which identifies repeated attempts at the same
/// request. The caller is identified by its workspace, if any, because API keys may be renewed.
request_digest digest_of(const http_request& request, const std::optional<workspace_id>& caller);

/// Digest that identifies the stream whose first event the caller received in response to its
/// attempt `attempt`. It differs for each caller, host and target, so that no caller can take up,
/// or learn anything of, another's stream.
request_digest stream_digest_of(const http_request& request,
                                const std::optional<workspace_id>& caller,
                                std::string_view attempt);

} // namespace bamboostream
