#include "bamboostream/src/Streams/resume_handle.h"

#include "bamboostream/src/Core/digest.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <sstream>

namespace bamboostream {

namespace {

constexpr char separator = '\x1f';
constexpr std::size_t field_count = 5;
constexpr std::size_t max_handle_bytes = 1024;

std::vector<std::string> split(std::string_view payload) {
    std::vector<std::string> fields;
    while (true) {
        const std::size_t at = payload.find(separator);
        fields.emplace_back(payload.substr(0, at));
        if (at == std::string_view::npos) {
            return fields;
        }
        payload = payload.substr(at + 1);
    }
}

} // namespace

handle_signer::handle_signer(std::vector<handle_key> keys) : keys_(std::move(keys)) {
    std::sort(keys_.begin(), keys_.end(),
              [](const handle_key& a, const handle_key& b) { return a.id > b.id; });
}

std::optional<issued_handle> handle_signer::issue(resume_handle content) const {
    const auto key =
        std::find_if(keys_.begin(), keys_.end(), [](const handle_key& k) { return k.active; });
    if (key == keys_.end()) {
        return std::nullopt;
    }
    const std::string payload = fmt::format(
        "{}{}{}{}{}{}{}{}{}", key->id, separator, content.backend.text(), separator,
        content.generation.text(), separator, content.workspace.text(), separator, content.expires);
    std::string text = base64url_encode(payload);
    text += '.';
    text += base64url_encode(hmac_sha256(key->secret, payload));
    return issued_handle(std::move(content), std::move(text));
}

std::optional<resume_handle> handle_signer::verify(std::string_view text, const workspace_id& owner,
                                                   wall_time now, handle_failure& why) const {
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos || text.size() > max_handle_bytes) {
        why.set(handle_error::malformed, "not a resume handle");
        return std::nullopt;
    }
    const std::string payload = base64url_decode(text.substr(0, dot));
    const std::string signature = base64url_decode(text.substr(dot + 1));
    const std::vector<std::string> fields = split(payload);
    if (fields.size() != field_count) {
        why.set(handle_error::malformed, "not a resume handle");
        return std::nullopt;
    }
    const auto key = std::find_if(keys_.begin(), keys_.end(),
                                  [&](const handle_key& k) { return k.id == fields[0]; });
    if (key == keys_.end()) {
        why.set(handle_error::unknown_key, "signed with a key that is no longer accepted");
        return std::nullopt;
    }
    if (!equal_in_constant_time(signature, hmac_sha256(key->secret, payload))) {
        why.set(handle_error::forged, "the signature does not fit");
        return std::nullopt;
    }
    resume_handle handle{backend_id(fields[1]), generation_id(fields[2]), workspace_id(fields[3]),
                         0};
    std::from_chars(fields[4].data(), fields[4].data() + fields[4].size(), handle.expires);
    if (handle.expires < now) {
        why.set(handle_error::expired, "the handle has expired");
        return std::nullopt;
    }
    if (handle.workspace != owner) {
        why.set(handle_error::wrong_workspace, "the handle belongs to another workspace");
        return std::nullopt;
    }
    return handle;
}

std::optional<issued_handle> handle_signer::reissue(std::string_view text,
                                                    const workspace_id& owner, wall_time now,
                                                    handle_failure& why) const {
    auto content = verify(text, owner, now, why);
    if (!content) {
        return std::nullopt;
    }
    return issued_handle(std::move(*content), std::string(text));
}

} // namespace bamboostream
