#pragma once

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/message.hpp>
#include <iterator>

namespace bamboostream {

/// Whether the message has no transfer coding but chunks. The parser would pass the body on in any
/// other one, or take the body of a request for the next request (RFC 9112, section 6.3).
template <bool is_request>
bool has_known_coding(const boost::beast::http::header<is_request>& head) {
    const auto range = head.equal_range(boost::beast::http::field::transfer_encoding);
    return std::all_of(
               range.first, range.second,
               [](const auto& field) { return boost::beast::iequals(field.value(), "chunked"); }) &&
           std::distance(range.first, range.second) <= 1;
}

} // namespace bamboostream
