#pragma once

#include "bamboostream/Core"
#include "bamboostream/Http"

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bamboostream::ctl {

/// A response from the operator port of an instance.
struct operator_answer {
    int status = 0;
    /// The body as JSON; null when it is not valid JSON.
    boost::json::value body;
    /// The body as received.
    std::string text;
};

/// Client for the operator ports of instances. Requests are blocking and sequential, with a timeout
/// of 8 s each.
class operator_client {
public:
    explicit operator_client(std::vector<std::string> addresses)
        : addresses_(std::move(addresses)) {}

    /// Returns the response of the first address that responds; nullopt with the last failure in
    /// `why` when none does.
    std::optional<operator_answer> ask(const std::string& method, const std::string& target,
                                       const std::string& body, std::string& why) const;
    /// Returns the response of one address; nullopt with the reason in `why` when there is none.
    static std::optional<operator_answer> ask_one(const std::string& address,
                                                  const std::string& method,
                                                  const std::string& target,
                                                  const std::string& body, std::string& why);
    /// Returns the operator addresses of all instances known to the first instance that responds,
    /// that one first. Empty with the reason in `why` when none responds.
    std::vector<std::string> all_instances(std::string& why) const;
    const std::vector<std::string>& addresses() const { return addresses_; }

private:
    std::vector<std::string> addresses_;
};

} // namespace bamboostream::ctl
