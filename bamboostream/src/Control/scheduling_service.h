#pragma once

#include "bamboostream/src/Control/configuration_service.h"
#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Limits/pool_scheduler.h"
#include "bamboostream/src/Links/peer_links.h"
#include "bamboostream/src/Streams/relay.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace bamboostream {

namespace wire {
struct AdmitRequestT;
struct ProgressT;
} // namespace wire

/// A generation streamed by this instance, with the data that its pool's scheduler needs.
struct streamed_generation {
    generation_progress facts;
    std::string pool;
    std::shared_ptr<relay_progress> progress;
    /// Address of the scheduler that it was last reported to.
    std::string reported_to;
    std::uint32_t reported_tokens = 0;
};

/// Places requests on engines: asks the instance that owns the pool, answers other instances for
/// the pools that this instance owns, and reports the progress of the streams here. If neither the
/// owner nor its standby answers, this instance schedules its own share of each engine. Runs on the
/// control thread.
class scheduling_service {
public:
    scheduling_service(boost::asio::io_context& context, configuration_service& configuration,
                       membership_service& membership, peer_links& links, std::uint64_t seed);

    void start();
    /// Requests a place in `pool` and waits until it is granted or refused.
    boost::asio::awaitable<scheduling_decision> acquire(std::string pool,
                                                        scheduling_request request);
    /// Records that a stream begins on a granted place.
    void stream_started(streamed_generation generation);
    /// Records that a stream ended; `place` is the id of its place request.
    void stream_ended(std::uint64_t place, generation_end end);

    /// Answers another instance's request for a place; after 700 ms with "still waiting".
    boost::asio::awaitable<std::unique_ptr<wire::FrameT>>
    handle_admit(const wire::AdmitRequestT& request);
    /// Passes the progress of another instance's streams to the pool's scheduler.
    void handle_progress(const wire::ProgressT& progress);
    /// The scheduler of a pool on this instance, or null.
    const pool_scheduler* find(std::string_view pool) const;
    /// Whether this instance is the first owner of the pool.
    bool owns(std::string_view pool) const;

private:
    struct waiter {
        explicit waiter(boost::asio::io_context& context) : decided(context) {}
        boost::asio::steady_timer decided;
        std::optional<scheduling_decision> decision;
    };
    struct local_pool {
        std::unique_ptr<pool_scheduler> scheduler;
        /// Until when this scheduler is in use, also if another instance owns the pool.
        time_point used_until{};
    };

    local_pool& find_or_create(const std::string& pool);
    void configure(const std::string& name, pool_scheduler& scheduler) const;
    boost::asio::awaitable<std::optional<scheduling_decision>>
    request_local(std::string pool, scheduling_request request, time_point until);
    boost::asio::awaitable<std::optional<scheduling_decision>>
    request_remote(std::string owner, std::string pool, const scheduling_request& request,
                   bool& answered);
    boost::asio::awaitable<void> dispatch_loop();
    boost::asio::awaitable<void> progress_loop();
    void deliver(const scheduling_decision& decision);
    void report_progress(bool all);
    bool is_cordoned(const backend_facts& backend) const;
    /// Whether an engine may get new work: it is live and its failure domain is not cordoned.
    bool takes_work(const backend_facts& backend) const;
    void reconfigure();
    std::vector<std::string> candidates(std::string_view pool) const;

    boost::asio::io_context& context_;
    configuration_service& configuration_;
    membership_service& membership_;
    peer_links& links_;
    std::uint64_t seed_;
    std::map<std::string, local_pool, std::less<>> pools_;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> waiters_;
    std::unordered_map<std::uint64_t, scheduling_decision> undelivered_;
    std::unordered_map<std::uint64_t, streamed_generation> streams_;
    std::unordered_map<std::string, time_point> unresponsive_until_;
};

} // namespace bamboostream
