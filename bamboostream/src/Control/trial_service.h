#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Control/trial_arbiter.h"
#include "bamboostream/src/Limits/trial_permits.h"
#include "bamboostream/src/Links/peer_links.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace bamboostream::wire {
struct TrialRequestT;
} // namespace bamboostream::wire

namespace bamboostream {

/// Grants trials of held requests among instances that can reach each other.
///
/// The owner of the request's digest, by rendezvous hashing over the instances, grants them. While
/// it doesn't reply, nobody gets a trial; once it counts as lost, the next owner grants them. When
/// instances disagree about the owner, each of the owners grants one trial at a time. Used on one
/// thread only.
class trial_service final : public trial_arbiter {
public:
    trial_service(peer_links& links, const membership_service& membership,
                  quarantine_registry& quarantine);

    boost::asio::awaitable<bool> acquire(request_digest request, duration lease) override;
    void release(const request_digest& request) override;
    /// Answers the request of another instance; null if it ends its trial.
    std::unique_ptr<wire::FrameT> answer(const wire::TrialRequestT& request,
                                         std::string_view sender);

private:
    bool grant(const request_digest& request, std::string_view holder, duration lease);
    void send_release(const std::string& owner, const request_digest& request);

    peer_links& links_;
    const membership_service& membership_;
    quarantine_registry& quarantine_;
    /// The trials that this instance grants.
    trial_permits permits_;
    /// The owners that have granted this instance's trials.
    std::map<request_digest, std::string> granted_by_;
    /// When the owner may be asked again, after it has refused or while it is being asked.
    std::map<request_digest, time_point> ask_again_at_;
};

} // namespace bamboostream
