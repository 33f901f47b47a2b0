#pragma once

#include "bamboostream/src/Evacuation/move_plan.h"
#include "bamboostream/src/Forwarding/forwarding_state.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
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
    /// Announces to the instance that forwards the generation's stream that the engine is about to
    /// be asked to stop it, by `within` from now. Returns false if the stream doesn't run there any
    /// more or the instance doesn't answer.
    virtual boost::asio::awaitable<bool> expect_stop(std::string instance, backend_id backend,
                                                     std::string generation,
                                                     milliseconds within) = 0;
    /// Tells that instance that the engine has not stopped the stream.
    virtual void cancel_stop(const std::string& instance, const std::string& generation) = 0;
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
    /// An engine that leaves, and when that became known.
    struct leaving_engine {
        registered_backend backend;
        time_point since;
    };
    /// Starts the evacuations that have waited and can begin now.
    void start_waiting(time_point now);
    /// Starts the evacuation of an engine whose generations can be moved. Returns false when it has
    /// to wait: the configuration isn't known yet, or another instance coordinates the moves.
    bool try_evacuation(const leaving_engine& engine);
    /// Returns false when another instance coordinates the moves of this service.
    bool start_evacuation(const registered_backend& backend);
    boost::asio::awaitable<void> poll_engine(registered_backend backend);
    boost::asio::awaitable<void> evacuate(registered_backend source);
    boost::asio::awaitable<std::vector<move_candidate>> collect_movable(const backend_id& backend);
    /// The generations of an engine that is evacuated within its notice. Shared by the coroutines
    /// that list them, copy them and end their moves.
    struct evacuation {
        explicit evacuation(boost::asio::io_context& context) : changed(context) {}

        registered_backend source;
        std::vector<move_candidate> listed;
        /// Generations that have moved or whose move isn't finished.
        std::set<std::string> taken;
        /// Generations that could not be moved, and when they are tried again.
        std::map<std::string, time_point> retry_at;
        /// The latest cause for which a generation had no target, and the number of tries.
        struct no_target {
            no_move_cause cause = no_move_cause::time;
            int tries = 0;
        };
        std::map<std::string, no_target> without_target;
        int empty_polls = 0;
        bool alive = true;
        /// Cancelled when the generations have been listed anew or a move has ended.
        boost::asio::steady_timer changed;
    };
    using shared_evacuation = std::shared_ptr<evacuation>;

    /// Evacuates an engine whose end is expected at the end of its notice.
    boost::asio::awaitable<void> evacuate_before_end(registered_backend source);
    /// Lists the generations at the engine while it is evacuated.
    boost::asio::awaitable<void> list_generations(shared_evacuation work, time_point until);
    /// Begins the most urgent move that has a target. Returns false if there is none.
    boost::asio::awaitable<bool> move_next(shared_evacuation work);
    /// Tries the targets of a generation, best first. Returns false if there is none.
    boost::asio::awaitable<bool> try_targets(shared_evacuation work, move_candidate candidate,
                                             move_limits limits);
    /// Copies what was added since the first copy and tells where the generation goes on.
    boost::asio::awaitable<void> finish_copy(shared_evacuation work, move_candidate candidate,
                                             registered_backend target, std::string first_handle);
    void record_no_target(evacuation& work, const std::string& generation, no_move_cause cause);
    /// Logs what was not moved when the engine is gone.
    void end_evacuation(evacuation& work);
    /// Stops to count a generation as one without a target.
    void forget_no_target(evacuation& work, const std::string& generation);
    link_speed link_speed_of(const service_id& service) const;
    stream_origin origin_of(const registered_backend& source,
                            const move_candidate& candidate) const;
    /// Returns false when the source is gone. A generation without a target is logged if it isn't
    /// in `logged` yet.
    boost::asio::awaitable<bool> move_one(const registered_backend& source,
                                          const move_candidate& candidate,
                                          std::set<std::string>& logged);
    /// The engines of the service that aren't receiving a copy, and whether they fit the origin.
    /// Adds to `busy` the number of engines that would fit, but are receiving one or have just
    /// refused one.
    std::vector<move_target> targets(const stream_origin& origin, std::int64_t tokens_left,
                                     std::size_t& busy) const;
    /// The probability that a generation with `tokens_left` tokens to come has a late pause at the
    /// target; zero where the pace of engines isn't known.
    double pause_risk(const service_rule& rule, const backend_id& target,
                      std::int64_t tokens_left) const;
    /// Whether the target, as it was when it was chosen, may still receive a generation.
    bool may_receive(const registered_backend& target) const;
    /// Whether a generation that was stopped there may go on at its source.
    bool may_return_to(const registered_backend& source, time_point now) const;
    boost::asio::awaitable<move_error> move_to(const registered_backend& source,
                                               const registered_backend& target,
                                               const move_candidate& candidate);
    /// Copies a generation to the target while it runs on. Returns the handle of the copy.
    boost::asio::awaitable<std::optional<std::string>>
    copy_first(const registered_backend& source, const registered_backend& target,
               const std::string& id, milliseconds timeout, move_error& error);
    /// Stops the generation, copies the rest and tells where it goes on. Sets `moved` if that is
    /// the target.
    boost::asio::awaitable<move_error> copy_rest(const registered_backend& source,
                                                 const registered_backend& target,
                                                 const move_candidate& candidate,
                                                 const std::string& first_handle, bool& moved);
    /// Announces the last step of a move; false if the stream has ended.
    boost::asio::awaitable<bool> announce_stop(const registered_backend& source,
                                               const move_candidate& candidate);
    /// Tells that the last step has not stopped the stream.
    void cancel_stop(const move_candidate& candidate);
    void finish_move(const registered_backend& source, const move_candidate& candidate,
                     const move_notice& notice);

    boost::asio::io_context& context_;
    forwarding_state& state_;
    generation_mover& mover_;
    evacuation_peers& peers_;
    std::set<backend_id> evacuated_;
    /// Engines whose evacuation has to wait. One that another instance coordinates is taken over
    /// when that instance dies or freezes: otherwise all generations there would be cut off
    /// although their engine is still alive.
    std::vector<leaving_engine> waiting_;
    /// Targets that a generation is being copied to. The final part of a copy queues behind
    /// whatever else is sent to the same target while its stream is paused (250 to 950 ms instead
    /// of about 10), so a target receives one generation at a time.
    std::set<backend_id> busy_targets_;
    /// Engines that have refused a copy, and until when they are passed over. Empty unless an
    /// engine is evacuated before its end.
    std::map<backend_id, time_point> refusing_until_;
};

} // namespace bamboostream
