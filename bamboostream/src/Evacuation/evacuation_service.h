#pragma once

#include "bamboostream/src/Evacuation/move_plan.h"
#include "bamboostream/src/Forwarding/forwarding_state.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace bamboostream {

/// Operations of evacuation that involve the other instances.
class evacuation_peers {
public:
    virtual ~evacuation_peers() = default;
    /// Whether this instance coordinates the moves of that service's generations. One instance does
    /// so per service, so that the copies on an engine's link follow each other without gaps and
    /// engines that leave together don't copy to the same target.
    virtual bool coordinates(const service_id& service) const = 0;
    /// Returns the generations at the engine whose streams other instances forward.
    virtual boost::asio::awaitable<std::vector<move_candidate>>
    collect_movable(backend_id backend) = 0;
    /// Tells the instance that forwards the generation's stream at which engine the generation
    /// continues.
    virtual void send_move_notice(const std::string& instance, const std::string& generation,
                                  const move_notice& notice) = 0;
};

/// Moves generations from engines that are leaving to other engines. Lives on one thread.
class evacuation_service {
public:
    evacuation_service(boost::asio::io_context& context, forwarding_state& state,
                       generation_mover& mover, evacuation_peers& peers)
        : context_(context), state_(state), mover_(mover), peers_(peers) {}

    /// Starts polling the engines themselves for whether they are leaving while the store, which
    /// normally reports it, is unreachable.
    void start();
    /// Called when an engine is known to be leaving or has lost its entry. Its generations are
    /// moved for as long as it lives.
    void on_leaving(const registered_backend& backend);

    /// Called when the engine has started again. It is evacuated again the next time that it
    /// leaves.
    void on_restart(const backend_id& id);

private:
    boost::asio::awaitable<void> watch_loop();
    void poll_engines();
    void take_over_delegated(time_point now);
    /// Returns false when another instance coordinates the moves of this service.
    bool start_evacuation(const registered_backend& backend);
    boost::asio::awaitable<void> poll_engine(registered_backend backend);
    boost::asio::awaitable<void> evacuate(registered_backend source);
    boost::asio::awaitable<std::vector<move_candidate>> collect_movable(const backend_id& backend);
    /// Returns false when the source is gone.
    boost::asio::awaitable<bool> move_one(const registered_backend& source,
                                          const move_candidate& candidate);
    /// The engines of the service that aren't receiving a copy, and whether they fit the origin.
    std::vector<move_target> targets(const stream_origin& origin) const;
    /// Whether the target, as it was when it was chosen, may still receive a generation.
    bool may_receive(const registered_backend& target) const;
    boost::asio::awaitable<move_error> move_to(const registered_backend& source,
                                               const registered_backend& target,
                                               const move_candidate& candidate);
    void finish_move(const registered_backend& source, const move_candidate& candidate,
                     const move_notice& notice);

    boost::asio::io_context& context_;
    forwarding_state& state_;
    generation_mover& mover_;
    evacuation_peers& peers_;
    /// An engine that another instance evacuates, and when it was found to be leaving.
    struct delegated_engine {
        registered_backend backend;
        time_point since;
    };
    std::set<backend_id> evacuated_;
    /// Engines whose evacuation another instance coordinates. When that instance dies or freezes,
    /// the next owner takes its evacuations over: otherwise all generations there would be cut off
    /// although their engine is still alive.
    std::vector<delegated_engine> delegated_;
    /// Targets that a generation is being copied to. The final part of a copy queues behind
    /// whatever else is sent to the same target while its stream is paused (250 to 950 ms instead
    /// of about 10), so a target receives one generation at a time.
    std::set<backend_id> busy_targets_;
};

} // namespace bamboostream
