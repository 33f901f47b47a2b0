#include "bamboostream/src/Core/prompt_part.h"

#include <algorithm>
#include <cctype>

namespace bamboostream {

namespace {

constexpr std::size_t max_name_length = 32;

char to_lower(char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

/// Shortened, without characters that have a meaning in log lines.
std::string printable_name(std::string_view name) {
    std::string out(name.substr(0, max_name_length));
    std::replace_if(
        out.begin(), out.end(),
        [](char c) { return c <= ' ' || c > '~' || c == ',' || c == '=' || c == '/'; }, '?');
    return out;
}

} // namespace

prompt_part prompt_part::of(std::string_view model, std::string_view id) {
    std::string folded(id);
    std::transform(folded.begin(), folded.end(), folded.begin(), to_lower);
    return {request_digest::of({"prompt_part", model, folded}),
            printable_name(model) + "/" + printable_name(folded)};
}

std::string labels_of(std::span<const prompt_part> parts) {
    std::string out;
    for (const prompt_part& part : parts) {
        out += (out.empty() ? "" : ",") + part.label;
    }
    return out.empty() ? "none" : out;
}

} // namespace bamboostream
