#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/failure.h"
#include "bamboostream/src/Core/identities.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// Why a resume handle was not accepted.
enum class handle_error : std::uint8_t {
    none,
    malformed,
    unknown_key,
    forged,
    expired,
    wrong_workspace
};
using handle_failure = failure<handle_error>;

/// Data by which any instance can resume a caller's stream.
struct resume_handle {
    backend_id backend;
    generation_id generation;
    workspace_id workspace;
    /// Expiry time, in milliseconds since the Unix epoch.
    wall_time expires = 0;
};

/// A key that signs handles, if active, and verifies them.
struct handle_key {
    std::string id;
    std::string secret;
    bool active = true;
};

class handle_signer;

/// A signed handle. Only `handle_signer` creates one, and `token_stream` requires one to emit
/// tokens, so no token can be sent before its handle exists.
class issued_handle {
public:
    const std::string& text() const { return text_; }
    const resume_handle& content() const { return content_; }

private:
    friend class handle_signer;
    issued_handle(resume_handle content, std::string text)
        : content_(std::move(content)), text_(std::move(text)) {}
    resume_handle content_;
    std::string text_;
};

/// Signs handles with the newest active key and verifies them against all keys, so that key
/// rotation interrupts no stream. Immutable after construction.
///
/// Example: `auto h = signer.issue(content); auto back = signer.verify(h->text(), "acme", now,
/// why);`
class handle_signer {
public:
    explicit handle_signer(std::vector<handle_key> keys);

    /// Signs a handle. Returns nothing if there is no active key.
    std::optional<issued_handle> issue(resume_handle content) const;
    /// Verifies signature (in constant time), expiry and owner. Returns nothing and sets `why` if
    /// one of them is invalid.
    std::optional<resume_handle> verify(std::string_view text, const workspace_id& owner,
                                        wall_time now, handle_failure& why) const;
    /// Verifies a handle and returns it as an issued handle, so that emission can continue under
    /// it.
    std::optional<issued_handle> reissue(std::string_view text, const workspace_id& owner,
                                         wall_time now, handle_failure& why) const;

private:
    std::vector<handle_key> keys_;
};

/// Validity of a handle after it was issued, in milliseconds.
inline constexpr wall_time handle_lifetime_ms = 3'600'000;

} // namespace bamboostream
