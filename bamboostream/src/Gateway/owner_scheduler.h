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

/// Lets one instance choose the engines of a service for all instances.
///
/// The owner, and a standby in another failure domain, receive reports of all work at the engines.
/// An instance that has a generation to place asks the owner, then the standby. The owner counts
/// each choice at once, so that no two instances choose the same idle engine. When neither answers,
/// an instance chooses by its own work alone, which spreads generations at random.
///
/// Reporting each change to every instance instead costs the square of the number of instances, and
/// choices by views of different ages crowd the same engines. Lives on one thread.
class owner_scheduler final : public engine_scheduler {
public:
    owner_scheduler(peer_links& links, membership_service& membership, forwarding_state& forwarding)
        : links_(links), membership_(membership), forwarding_(forwarding) {}

    boost::asio::awaitable<std::optional<engine_choice>>
    choose(const engine_request& request) override;
    sender_role role(const service_id& service) const override;
    /// Chooses an engine for another instance.
    std::unique_ptr<wire::FrameT> answer(const wire::AdmitRequestT& request,
                                         const std::string& sender);
    /// Processes another instance's report of its work and of the outcomes.
    void hear(const wire::LoadReportT& report, const std::string& sender);
    /// The engine memory that workspaces hold at this instance, to be reported to the recipients;
    /// only for services whose servers report the load of their host.
    std::vector<workspace_holding> own_holdings() const;
    /// Determines for each service whether this instance is its owner or standby.
    void update_roles(time_point now);
    /// Determines once a second which engines are slow. The owner of a service logs changes; the
    /// others keep the same state, so that a new owner doesn't log them again.
    void update_slow_servers(time_point now);
    /// The instances that must know of work at the engines, without this one.
    std::vector<std::string> load_report_recipients() const;

private:
    /// Records paces that another instance has reported. They show that the servers report the load
    /// of their host.
    void note_paces(const wire::LoadReportT& report, time_point now);
    /// The owner and the standby of a service.
    std::vector<std::string> owners(const service_id& service) const;
    void hear_workspaces(const wire::LoadReportT& report, const std::string& sender,
                         time_point now);
    bool is_unresponsive(const std::string& owner, time_point now) const;

    peer_links& links_;
    membership_service& membership_;
    forwarding_state& forwarding_;
    /// Owners that have not answered in time, and until when they are skipped.
    std::unordered_map<std::string, time_point> unresponsive_until_;
    time_point next_pace_update_{};
};

} // namespace bamboostream
