#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace bamboostream {

/// A Beast body that is kept in a string and takes memory only for bytes that have arrived,
/// whatever length the peer announces. Beast's own `string_body` reserves the announced length.
struct growing_body {
    using value_type = std::string;

    class reader {
    public:
        template <bool is_request, class Fields>
        reader(boost::beast::http::header<is_request, Fields>& /*head*/, value_type& body)
            : body_(body) {}

        void init(const boost::optional<std::uint64_t>& /*length*/, boost::beast::error_code& ec) {
            ec = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& ec) {
            ec = {};
            std::size_t count = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<const char*>(buffer.data()), buffer.size());
                count += buffer.size();
            }
            return count;
        }

        void finish(boost::beast::error_code& ec) { ec = {}; }

    private:
        value_type& body_;
    };
};

} // namespace bamboostream
