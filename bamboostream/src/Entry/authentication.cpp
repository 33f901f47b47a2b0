#include "bamboostream/src/Entry/authentication.h"

#include "bamboostream/src/Core/digest.h"

#include <algorithm>

namespace bamboostream {

namespace {
constexpr std::string_view scheme = "Bearer ";
constexpr std::size_t max_key_length = 200;
} // namespace

std::optional<workspace_id> authenticate(const http_request& request,
                                         const configuration_document& document) {
    const std::string_view header = request.field("Authorization");
    if (!header.starts_with(scheme)) {
        return std::nullopt;
    }
    const std::string owner = document.workspace_of_key(sha256_hex(header.substr(scheme.size())));
    if (owner.empty()) {
        return std::nullopt;
    }
    return workspace_id(owner);
}

bool is_valid_idempotency_key(std::string_view key) {
    return !key.empty() && key.size() <= max_key_length &&
           std::all_of(key.begin(), key.end(),
                       [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

} // namespace bamboostream
