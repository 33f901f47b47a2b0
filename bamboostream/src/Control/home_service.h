#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Links/peer_links.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <unordered_map>

namespace bamboostream {

namespace wire {
struct HomeRequestT;
}

/// What the home of a key answered.
struct home_answer {
    /// The asker is the first and may run the request.
    bool first = true;
    /// Handle of the stream that already runs; empty while it has none yet.
    std::string handle;
    /// Who holds the key.
    std::string claimant;
};

/// Keeps, for each (workspace, key), who runs the request, so that a retry attaches to the running
/// stream instead of starting a second one. Each key has two homes in different failure domains.
/// Homes only save double work: when none answers, the request is run.
class home_service {
public:
    home_service(membership_service& membership, peer_links& links);

    /// Claims a key for `claimant`, or learns who has it.
    boost::asio::awaitable<home_answer> claim(std::string workspace, std::string key,
                                              std::string claimant);
    /// Tells the homes the handle of the stream.
    void publish(const std::string& workspace, const std::string& key, const std::string& claimant,
                 const std::string& handle);
    /// The claimant gave up without a stream.
    void release(const std::string& workspace, const std::string& key, const std::string& claimant);
    /// Replaces whoever holds the key: used when a stream is taken up again elsewhere.
    void take_over(const std::string& workspace, const std::string& key,
                   const std::string& claimant);

    std::unique_ptr<wire::FrameT> handle(const wire::HomeRequestT& request,
                                         const std::string& sender);
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::string claimant;
        std::string handle;
        std::string sender;
        time_point touched{};
    };
    std::vector<std::string> homes(const std::string& workspace, const std::string& key) const;
    void tell(const wire::HomeRequestT& request);
    home_answer decide(const wire::HomeRequestT& request, const std::string& sender,
                       time_point now);
    void expire(time_point now);
    bool holder_alive(const entry& e) const;

    membership_service& membership_;
    peer_links& links_;
    std::unordered_map<std::string, entry> entries_;
    time_point last_expiry_{};
};

} // namespace bamboostream
