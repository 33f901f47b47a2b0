#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/failure.h"
#include "bamboostream/src/Membership/backend_table.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bamboostream {

/// Why the platform's list could not be read.
enum class list_error : std::uint8_t { none, unavailable, malformed };
using list_failure = failure<list_error>;

/// The live and leaving machines that the platform lists, split into instances of this system and
/// backend servers.
struct machine_list {
    /// Addresses for traffic between instances.
    std::vector<std::string> instances;
    std::vector<backend_facts> backends;
};

/// Reads the platform's list of machines. The list lags: it may contain a machine long after its
/// failure, and may report half a minute late that a machine is leaving.
class instance_list {
public:
    virtual ~instance_list() = default;
    /// Reads the current list; nothing, with the reason in `why`, on failure.
    virtual boost::asio::awaitable<std::optional<machine_list>> read(list_failure& why) = 0;
};

/// Reads the list over HTTP.
class http_instance_list final : public instance_list {
public:
    http_instance_list(boost::asio::any_io_executor executor, std::string address,
                       milliseconds timeout);
    boost::asio::awaitable<std::optional<machine_list>> read(list_failure& why) override;

private:
    boost::asio::any_io_executor executor_;
    std::string address_;
    milliseconds timeout_;
};

} // namespace bamboostream
