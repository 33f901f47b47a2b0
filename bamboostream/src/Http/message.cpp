#include "bamboostream/src/Http/message.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace bamboostream {

namespace {

bool equals_ignore_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return std::tolower(static_cast<unsigned char>(x)) ==
               std::tolower(static_cast<unsigned char>(y));
    });
}

std::string_view find_field(const std::vector<http_field>& fields, std::string_view name) {
    for (const http_field& field : fields) {
        if (equals_ignore_case(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

std::string percent_decode(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const bool escaped =
            text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr ==
                text.data() + i + 3;
        out += escaped ? static_cast<char>(value) : text[i] == '+' ? ' ' : text[i];
        i += escaped ? 2 : 0;
    }
    return out;
}

} // namespace

std::string_view http_request::field(std::string_view name) const {
    return find_field(fields, name);
}

std::string_view http_response::field(std::string_view name) const {
    return find_field(fields, name);
}

std::optional<std::string> http_request::parameter(std::string_view name) const {
    std::string_view rest = query;
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name) {
            return percent_decode(pair.substr(std::min(equals + 1, pair.size())));
        }
        rest = rest.substr(std::min(end + 1, rest.size()));
    }
    return std::nullopt;
}

std::int64_t http_request::number_parameter(std::string_view name,
                                            std::int64_t default_value) const {
    const std::optional<std::string> text = parameter(name);
    std::int64_t value = 0;
    if (!text) {
        return default_value;
    }
    const char* end = text->data() + text->size();
    const auto result = std::from_chars(text->data(), end, value);
    return result.ec == std::errc{} && result.ptr == end ? value : default_value;
}

std::vector<std::string> split_path(std::string_view path) {
    std::vector<std::string> parts;
    while (!path.empty()) {
        const std::size_t end = std::min(path.find('/'), path.size());
        if (end > 0) {
            parts.push_back(percent_decode(path.substr(0, end)));
        }
        path = path.substr(std::min(end + 1, path.size()));
    }
    return parts;
}

std::string percent_encode(std::string_view text) {
    std::string out;
    for (const char c : text) {
        const bool plain = std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                           std::string_view("-._~").find(c) != std::string_view::npos;
        if (plain) {
            out += c;
        } else {
            fmt::format_to(std::back_inserter(out), "%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return out;
}

} // namespace bamboostream
