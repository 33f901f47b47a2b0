#pragma once

#include "bamboostream/src/Contracts/engine.h"
#include "bamboostream/src/Contracts/instance_list.h"
#include "bamboostream/src/Core/rendezvous.h"
#include "bamboostream/src/Links/link.h"
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
/// watches the backend servers this instance is responsible for.
class membership_service {
public:
    struct timing {
        milliseconds list_period{1'000};
        milliseconds list_timeout{1'000};
        milliseconds watch_period{500};
        milliseconds watch_timeout{800};
        /// Up to so many others are told directly of what an instance has read for all; with more,
        /// relays pass it on. At 62 instances a reader sends some 300 frames a second, within what
        /// the smallest machines carry, and nobody depends on a relay.
        std::size_t max_direct_recipients = 96;
    };
    /// Called with each status of an engine.
    using status_listener = std::function<void(const backend_facts&, const engine_status&)>;

    membership_service(boost::asio::io_context& context, link_hub& links,
                       std::unique_ptr<instance_list> list, member_facts self, timing times,
                       std::uint64_t seed);

    void start();
    void on_status(status_listener listener) { listener_ = std::move(listener); }
    /// Called after each change of a backend server's state.
    void on_backend_change(std::function<void(const backend_change&)> listener) {
        backend_listener_ = std::move(listener);
    }
    /// Whether this instance watches the engines of a pool; asked each watch period.
    void set_watch_filter(std::function<bool(std::string_view)> rule) {
        watches_pool_ = std::move(rule);
    }
    boost::asio::awaitable<std::unique_ptr<wire::FrameT>> handle_probe(const wire::ProbeT& probe,
                                                                       std::string sender);

    member_table& members() { return members_; }
    backend_table& backends() { return backends_; }
    directory_answer directory(std::string_view near_domain);
    /// Owners of a key among the usable instances.
    ///
    /// Machines with at least half the capacity of the largest come first: an owner reads the store
    /// or places generations for all others, which can fill the link of a small one.
    std::vector<std::string> owners(std::string_view key, std::size_t count) const;
    /// The same among the usable instances of one failure domain.
    std::vector<std::string> owners_in(const std::string& failure_domain, std::string_view key,
                                       std::size_t count) const;
    /// The failure domains in which there are usable instances.
    const std::set<std::string>& failure_domains() const;
    /// The other usable instances of one failure domain.
    std::vector<std::string> usable_peers_in(std::string_view failure_domain) const;
    /// Whether there are more than are told directly of what changes.
    bool needs_relays() const { return usable_peers().size() > times_.max_direct_recipients; }
    const failure_domain_id& own_failure_domain() const { return members_.self().failure_domain; }
    /// Addresses of the other instances that are live and don't leave; valid until these change.
    const std::vector<std::string>& usable_peers() const;
    const std::string& own_address() const { return members_.self().id.address; }
    /// A backend server's answer or failure, seen on a traffic thread and posted here.
    void observe(const std::string& backend, wall_time start_stamp, backend_state state);
    void observe_failure(const std::string& backend);

private:
    boost::asio::awaitable<void> probe_loop();
    boost::asio::awaitable<void> probe_one(std::string peer);
    boost::asio::awaitable<bool> ask(std::string peer, std::string target, milliseconds timeout);
    boost::asio::awaitable<void> list_loop();
    boost::asio::awaitable<void> watch_loop();
    boost::asio::awaitable<void> watch_one(backend_facts backend);
    std::vector<std::string> remembered_owners(std::string_view key, std::size_t count,
                                               std::string_view failure_domain) const;
    /// Drops what was worked out from members that have changed since.
    void refresh_views() const;
    void report_changes();

    boost::asio::io_context& context_;
    link_hub& links_;
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
    /// Worked out once for each change of the members: owners are asked for some forty times a
    /// second, and each time all members would be ranked.
    mutable std::uint64_t views_revision_ = 0;
    mutable bool views_known_ = false;
    mutable std::vector<std::string> usable_peers_;
    mutable std::vector<rendezvous_node> nodes_;
    mutable std::set<std::string> failure_domains_;
    mutable std::map<std::string, std::vector<std::string>, std::less<>> orders_;
};

} // namespace bamboostream
