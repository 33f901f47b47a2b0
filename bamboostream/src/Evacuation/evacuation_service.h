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

/// What evacuation needs from the other instances.
class evacuation_peers {
public:
    virtual ~evacuation_peers() = default;
    /// True when this instance moves the generations of that service's engines; one instance does,
    /// so that the copies on an engine's link follow each other without gaps, and engines that
    /// leave together don't copy to the same target.
    virtual bool coordinates(const service_id& service) const = 0;
    /// Generations at the engine that other instances pass on.
    virtual boost::asio::awaitable<std::vector<move_candidate>>
    collect_movable(backend_id backend) = 0;
    /// Tells the instance that passes a generation on where it goes on.
    virtual void send_move_notice(const std::string& instance, const std::string& generation,
                                  const move_notice& notice) = 0;
};

/// Carries generations over from engines that leave. Lives on one thread.
class evacuation_service {
public:
    evacuation_service(boost::asio::io_context& context, forwarding_state& state,
                       generation_mover& mover, evacuation_peers& peers)
        : context_(context), state_(state), mover_(mover), peers_(peers) {}

    /// Asks engines themselves whether they leave while the store, which tells it otherwise, is
    /// away.
    void start();
    /// An engine is known to leave or has lost its entry; its generations are moved while it lives.
    void on_leaving(const registered_backend& backend);

    /// The engine has started again; when it leaves once more it is evacuated once more.
    void on_restart(const backend_id& id);

private:
    boost::asio::awaitable<void> watch();
    void ask_engines();
    void take_over(time_point now);
    /// False when another instance drives.
    bool start_driving(const registered_backend& backend);
    boost::asio::awaitable<void> ask(registered_backend backend);
    boost::asio::awaitable<void> drive(registered_backend source);
    boost::asio::awaitable<std::vector<move_candidate>> collect_movable(const backend_id& backend);
    /// False when the source is gone.
    boost::asio::awaitable<bool> move_one(const registered_backend& source,
                                          const move_candidate& candidate);
    std::vector<move_target> targets(const service_id& service) const;
    boost::asio::awaitable<move_error> move_to(const registered_backend& source,
                                               const registered_backend& target,
                                               const move_candidate& candidate);
    void finish_move(const move_candidate& candidate, const move_notice& notice);

    boost::asio::io_context& context_;
    forwarding_state& state_;
    generation_mover& mover_;
    evacuation_peers& peers_;
    /// An engine that another instance evacuates, and when it was found to leave.
    struct watched_engine {
        registered_backend backend;
        time_point since;
    };
    std::set<backend_id> driven_;
    /// When the instance that drives dies or freezes, the next owner takes its evacuations over:
    /// all generations there would be cut though their engine still lives.
    std::vector<watched_engine> left_to_others_;
    /// Targets that a generation is on its way to. The last part of a copy waits behind whatever
    /// else is sent to the same target, while its stream stands still (250 to 950 ms instead of
    /// some 10), so a target gets one generation at a time.
    std::set<backend_id> receiving_;
};

} // namespace bamboostream
