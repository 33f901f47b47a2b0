#include "bamboostream/src/Forwarding/request_identity.h"

#include <string_view>

namespace bamboostream {

request_digest digest_of(const http_request& request, const std::optional<workspace_id>& caller) {
    return request_digest::of({caller ? caller->text() : std::string_view{}, request.method,
                               request.field("Host"), request.target, request.body});
}

request_digest stream_digest_of(const http_request& request,
                                const std::optional<workspace_id>& caller,
                                std::string_view attempt) {
    return request_digest::of({"stream", caller ? caller->text() : std::string_view{},
                               request.field("Host"), request.target, attempt});
}

} // namespace bamboostream
