#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Forwarding/engine_choice.h"
#include "bamboostream/src/Forwarding/forwarding_state.h"
#include "bamboostream/src/Links/link.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboostream::wire {
struct AdmitRequestT;
}

namespace bamboostream {

/// With more other instances than this, one of them chooses the engines of a service for all;
/// with fewer, each tells all others of its work and chooses by itself. Told at each change, a
/// generation makes three frames for each other instance: at 295 instances and 171 generations a
/// second 500 a second for each to take, on 0.12 of a core, where an owner takes five a generation.
/// Up to here choosing by oneself costs less than a tenth of that and needs no one's answer.
inline constexpr std::size_t most_told_by_all = 96;

/// Who chooses the engines of a service.
///
/// The owner, and a deputy in another failure domain, are told of all work at the engines; whoever
/// has a generation to place asks the owner, then the deputy. The owner counts each choice at once,
/// so that no two instances choose by the same idle engine. When neither answers, an instance
/// chooses by its own work alone, which spreads generations at random.
class pool_owner final : public engine_scheduler {
public:
    pool_owner(link_hub& links, membership_service& membership, forwarding_state& forwarding,
               std::size_t most_told = most_told_by_all)
        : links_(links), membership_(membership), forwarding_(forwarding), most_told_(most_told) {}

    boost::asio::awaitable<std::optional<engine_choice>>
    choose(const engine_request& request) override;
    /// Chooses for another instance.
    std::unique_ptr<wire::FrameT> answer(const wire::AdmitRequestT& request,
                                         const std::string& sender);
    /// Whether owners choose, by the number of instances.
    bool is_used() const { return membership_.usable_peers().size() > most_told_; }
    /// The instances that must know of work at the engines; this one excluded.
    std::vector<std::string> told_of_work() const;

private:
    /// The owner and the deputy of a service's engines.
    std::vector<std::string> owners(const service_id& service) const;
    bool is_silent(const std::string& owner, time_point now) const;

    link_hub& links_;
    membership_service& membership_;
    forwarding_state& forwarding_;
    std::size_t most_told_;
    /// Owners that have not answered in time, and until when they are passed over.
    std::unordered_map<std::string, time_point> silent_until_;
};

} // namespace bamboostream
