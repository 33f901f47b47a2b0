#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Forwarding/engine_choice.h"
#include "bamboostream/src/Forwarding/forwarding_state.h"
#include "bamboostream/src/Links/peer_links.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboostream::wire {
struct AdmitRequestT;
struct LoadReportT;
} // namespace bamboostream::wire

namespace bamboostream {

/// One instance chooses the engines of a service for all.
///
/// The owner, and a deputy in another failure domain, are told of all work at the engines; whoever
/// has a generation to place asks the owner, then the deputy. The owner counts each choice at once,
/// so that no two instances choose by the same idle engine. When neither answers, an instance
/// chooses by its own work alone, which spreads generations at random.
///
/// Telling every instance of each change instead costs the square of the instances, and choices by
/// views of different ages crowd the same engines.
class pool_owner final : public engine_scheduler {
public:
    pool_owner(peer_links& links, membership_service& membership, forwarding_state& forwarding)
        : links_(links), membership_(membership), forwarding_(forwarding) {}

    boost::asio::awaitable<std::optional<engine_choice>>
    choose(const engine_request& request) override;
    sender_role role(const service_id& service) const override;
    /// Chooses for another instance.
    std::unique_ptr<wire::FrameT> answer(const wire::AdmitRequestT& request,
                                         const std::string& sender);
    /// Takes what another instance tells of its work and of what became of it.
    void hear(const wire::LoadReportT& report, const std::string& sender);
    /// Looks which services' engines this instance chooses for all.
    void note_roles(time_point now);
    /// The instances that must know of work at the engines; this one excluded.
    std::vector<std::string> told_of_work() const;

private:
    /// The owner and the deputy of a service's engines.
    std::vector<std::string> owners(const service_id& service) const;
    bool is_silent(const std::string& owner, time_point now) const;

    peer_links& links_;
    membership_service& membership_;
    forwarding_state& forwarding_;
    /// Owners that have not answered in time, and until when they are passed over.
    std::unordered_map<std::string, time_point> silent_until_;
};

} // namespace bamboostream
