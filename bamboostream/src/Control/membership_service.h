#pragma once

#include "bamboostream/src/Contracts/engine.h"
#include "bamboostream/src/Contracts/instance_list.h"
#include "bamboostream/src/Core/rendezvous.h"
#include "bamboostream/src/Links/peer_links.h"
#include "bamboostream/src/Membership/backend_table.h"
#include "bamboostream/src/Membership/directory.h"
#include "bamboostream/src/Membership/member_table.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

namespace wire {
struct ProbeT;
}

/// Runs membership on the control thread: probes other instances, reads the platform's list, and
/// polls the backend servers that this instance is responsible for.
class membership_service {
public:
    /// Periods, timeouts and limits of the service.
    struct timing {
        milliseconds list_period{1'000};
        milliseconds list_timeout{1'000};
        milliseconds watch_period{500};
        milliseconds watch_timeout{800};
        /// An instance that reads the store for all others sends its updates directly to up to this
        /// many peers; with more, relays forward them. With 62 instances a reader sends about 300
        /// frames per second, which the smallest machines can handle, and no instance depends on a
        /// relay.
        std::size_t max_direct_recipients = 96;
    };
    /// Called with each polled status of an engine.
    using status_listener = std::function<void(const backend_facts&, const engine_status&)>;

    membership_service(boost::asio::io_context& context, peer_links& links,
                       std::unique_ptr<instance_list> list, member_facts self, timing times,
                       std::uint64_t seed);

    void start();
    void on_status(status_listener listener) { listener_ = std::move(listener); }
    /// Sets a function that is called after each change of a backend server's state.
    void on_backend_change(std::function<void(const backend_change&)> listener) {
        backend_listener_ = std::move(listener);
    }
    /// Sets the predicate that selects the pools whose engines this instance polls. It is evaluated
    /// in each watch period.
    void set_watch_filter(std::function<bool(std::string_view)> rule) {
        watches_pool_ = std::move(rule);
    }
    /// Answers a probe, after probing the target of an indirect one.
    boost::asio::awaitable<std::unique_ptr<wire::FrameT>> handle_probe(const wire::ProbeT& probe,
                                                                       std::string sender);

    member_table& members() { return members_; }
    backend_table& backends() { return backends_; }
    directory_answer directory(std::string_view near_domain);
    /// The owners of a key among the usable instances, by rendezvous hashing.
    ///
    /// Machines with at least half the capacity of the largest come first: an owner reads the store
    /// or places generations for all others, which can saturate the link of a small machine.
    std::vector<std::string> owners(std::string_view key, std::size_t count) const;
    /// As above, among the usable instances of one failure domain only.
    std::vector<std::string> owners_in(const std::string& failure_domain, std::string_view key,
                                       std::size_t count) const;
    /// The failure domains that contain usable instances.
    const std::set<std::string>& failure_domains() const;
    /// The other usable instances of one failure domain.
    std::vector<std::string> usable_peers_in(std::string_view failure_domain) const;
    /// True if there are more peers than updates are sent to directly.
    bool needs_relays() const { return usable_peers().size() > times_.max_direct_recipients; }
    const failure_domain_id& own_failure_domain() const { return members_.self().failure_domain; }
    /// Addresses of the other instances that are live and not leaving. The reference is valid until
    /// the set changes.
    const std::vector<std::string>& usable_peers() const;
    const std::string& own_address() const { return members_.self().id.address; }
    /// Records a response or failure of a backend server. Traffic threads post these calls to the
    /// control thread.
    void observe(const std::string& backend, wall_time start_stamp, backend_state state);
    void observe_failure(const std::string& backend);

private:
    boost::asio::awaitable<void> probe_loop();
    boost::asio::awaitable<void> probe_one(std::string peer);
    boost::asio::awaitable<bool> send_probe(std::string peer, std::string target,
                                            milliseconds timeout, link_failure& why);
    boost::asio::awaitable<void> list_loop();
    boost::asio::awaitable<void> watch_loop();
    boost::asio::awaitable<void> watch_one(backend_facts backend);
    std::vector<std::string> cached_owners(std::string_view key, std::size_t count,
                                           std::string_view failure_domain) const;
    /// Recomputes the cached views if the members have changed.
    void refresh_views() const;
    void report_changes();

    boost::asio::io_context& context_;
    peer_links& links_;
    std::unique_ptr<instance_list> list_;
    timing times_;
    member_table members_;
    backend_table backends_;
    std::mt19937_64 random_;
    status_listener listener_;
    std::function<void(const backend_change&)> backend_listener_;
    std::function<bool(std::string_view)> watches_pool_;
    bool list_was_down_ = false;
    bool was_self_suspect_ = false;
    /// Views that are cached until the members change: owners are looked up about forty times per
    /// second, and each lookup would rank all members.
    mutable std::uint64_t views_revision_ = 0;
    mutable bool views_valid_ = false;
    mutable std::vector<std::string> usable_peers_;
    mutable std::vector<rendezvous_node> nodes_;
    mutable std::set<std::string> failure_domains_;
    mutable std::map<std::string, std::vector<std::string>, std::less<>> owner_lists_;
};

} // namespace bamboostream
