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

/// Answer of a key's home to a claim.
struct home_answer {
    /// The caller is the first claimant and may run the request.
    bool first = true;
    /// Handle of the running stream; empty while there is none yet.
    std::string handle;
    /// Current claimant of the key.
    std::string claimant;
};

/// Tracks which claimant runs the request of each (workspace, key), so that a retry attaches to the
/// running stream instead of starting a second one. The homes of a key are the two instances, in
/// different failure domains, that rendezvous hashing selects as its owners. They only avoid
/// duplicate work: if none answers, the request is run. Runs on the control thread.
class home_service {
public:
    home_service(membership_service& membership, peer_links& links);

    /// Claims a key for `claimant`, or returns its current claimant.
    boost::asio::awaitable<home_answer> claim(std::string workspace, std::string key,
                                              std::string claimant);
    /// Sends the stream's handle to the homes.
    void publish(const std::string& workspace, const std::string& key, const std::string& claimant,
                 const std::string& handle);
    /// Releases the key of a claimant that gave up without a stream.
    void release(const std::string& workspace, const std::string& key, const std::string& claimant);
    /// Replaces the current claimant; used when a stream is resumed at another instance.
    void take_over(const std::string& workspace, const std::string& key,
                   const std::string& claimant);

    /// Answers a claim, handle, release or takeover sent by another instance.
    std::unique_ptr<wire::FrameT> handle(const wire::HomeRequestT& request,
                                         const std::string& sender);
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::string claimant;
        std::string handle;
        std::string sender;
        time_point updated_at{};
    };
    std::vector<std::string> homes(const std::string& workspace, const std::string& key) const;
    void notify_homes(const wire::HomeRequestT& request);
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
