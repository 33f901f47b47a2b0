#pragma once

#include "bamboostream/src/Core/request_digest.h"

#include <span>
#include <string>
#include <string_view>

namespace bamboostream {

/// A part of a prompt that other requests may have as well, such as a system prompt or a document.
///
/// Its identity is the model and the id of the part: the same text is read differently by another
/// model. The caller, the route and the service don't belong to it, since the same part crashes the
/// servers of a model whoever sends it.
struct prompt_part {
    /// Identifies the part on all instances. Cryptographic, so that no caller can construct an id
    /// with the digest of another caller's part.
    request_digest digest;
    /// "MODEL/ID" for log lines, shortened.
    std::string label;

    /// `id` is compared without regard to case, since it is hexadecimal.
    static prompt_part of(std::string_view model, std::string_view id);
};

/// The parts' labels for log lines, separated by commas; "none" if there are none.
std::string labels_of(std::span<const prompt_part> parts);

} // namespace bamboostream
