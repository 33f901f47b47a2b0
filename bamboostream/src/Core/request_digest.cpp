#include "bamboostream/src/Core/request_digest.h"

#include "bamboostream/src/Core/digest.h"

#include <charconv>
#include <fmt/format.h>
#include <iterator>

namespace bamboostream {

namespace {

constexpr std::size_t digits_per_half = 16;

} // namespace

std::optional<std::uint64_t> parse_hexadecimal(std::string_view digits) {
    std::uint64_t out = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), out, 16);
    const bool whole = error == std::errc{} && end == digits.data() + digits.size();
    return whole ? std::optional(out) : std::nullopt;
}

request_digest request_digest::of(std::initializer_list<std::string_view> fields) {
    std::string bytes;
    for (const std::string_view field : fields) {
        // The lengths encode the boundaries between fields.
        fmt::format_to(std::back_inserter(bytes), "{}:", field.size());
        bytes += field;
    }
    const std::string digits = sha256_hex(bytes);
    return *parse(std::string_view(digits).substr(0, 2 * digits_per_half));
}

std::string request_digest::text() const {
    return fmt::format("{:016x}{:016x}", high, low);
}

std::optional<request_digest> request_digest::parse(std::string_view text) {
    if (text.size() != 2 * digits_per_half) {
        return std::nullopt;
    }
    const auto high = parse_hexadecimal(text.substr(0, digits_per_half));
    const auto low = parse_hexadecimal(text.substr(digits_per_half));
    return high && low ? std::optional(request_digest{*high, *low}) : std::nullopt;
}

} // namespace bamboostream
