#include "bamboostream/src/Http/response_head.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// Whether `text` contains the version and the code of a status line: "HTTP/1.1 200". The code ends
/// the text or is followed by a space; more digits, or a dot, are the begin of an address, as in
/// "Via: HTTP/1.1 192.0.2.1".
bool contains_status_line(std::string_view text) {
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::string_view rest = "d ddd";
    const auto is_rest = [rest](std::string_view found) {
        const bool ends = found.size() == rest.size() ||
                          (found.size() > rest.size() && found[rest.size()] == ' ');
        return ends && std::equal(rest.begin(), rest.end(), found.begin(), [](char kind, char c) {
                   return kind == 'd' ? c >= '0' && c <= '9' : c == kind;
               });
    };
    std::size_t at = text.find(version);
    while (at != std::string_view::npos && !is_rest(text.substr(at + version.size()))) {
        at = text.find(version, at + version.size());
    }
    return at != std::string_view::npos;
}

} // namespace

bool is_valid_status(int status) {
    constexpr int switching_protocols = 101;
    return status >= 100 && status <= 599 && status != switching_protocols;
}

bool is_single_head(const boost::beast::http::response_header<>& head) {
    return !contains_status_line(head.reason()) &&
           std::none_of(head.begin(), head.end(),
                        [](const auto& field) { return contains_status_line(field.value()); });
}

void folded_line_finder::append(std::string_view bytes) {
    for (const char c : bytes) {
        if (head_ended_) {
            return;
        }
        if (c == '\n') {
            head_ended_ = at_line_begin_;
            at_line_begin_ = true;
        } else if (c != '\r') {
            found_ = found_ || (at_line_begin_ && (c == ' ' || c == '\t'));
            at_line_begin_ = false;
        }
    }
}

} // namespace bamboostream
