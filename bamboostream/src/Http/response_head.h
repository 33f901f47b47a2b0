#pragma once

#include <boost/beast/http/message.hpp>
#include <string_view>

namespace bamboostream {

/// Whether `status` may stand in a response to a request of this library, which never asks for
/// another protocol: 100 to 599 without 101 (RFC 9110, section 15).
bool is_valid_status(int status);

/// Whether the head is that of one response. If a server stops within the head of one response and
/// goes on with the next one, the line that it stopped in goes on with the status line of the next
/// response.
bool is_single_head(const boost::beast::http::response_header<>& head);

/// Finds lines of a head that begin with a blank. The parser takes such a line for a part of the
/// line before (RFC 9112, section 5.2); no sound server sends one, and the field whose name is
/// spoiled would be missing.
class folded_line_finder {
public:
    /// Takes the next bytes of a message. Bytes behind its head have no effect.
    void append(std::string_view bytes);
    bool found() const { return found_; }

private:
    bool at_line_begin_ = true;
    bool head_ended_ = false;
    bool found_ = false;
};

} // namespace bamboostream
