#pragma once

#include "bamboostream/src/Gateway/deployment_contract.h"
#include "bamboostream/src/Routing/route_table.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <memory>
#include <string>

namespace bamboostream {

/// Parses configurations on a thread of its own and builds the new route table while the old one is
/// in use.
///
/// Parsing a large document takes a small instance longer than a probe may take. On the request
/// thread it would block all requests and probes, and the other instances would suspect an instance
/// that is only busy.
class configuration_reader {
public:
    /// Receives the result. `table` is null when the document isn't a valid configuration; `why`
    /// then gives the reason.
    using listener = std::function<void(std::shared_ptr<const route_table> table, std::string why)>;

    /// Listeners are called on `context`.
    configuration_reader(boost::asio::io_context& context, const record_codec& codec)
        : context_(context), codec_(codec) {}

    void read(std::shared_ptr<const std::string> document, listener done);

private:
    boost::asio::io_context& context_;
    const record_codec& codec_;
    boost::asio::thread_pool worker_{1};
};

} // namespace bamboostream
