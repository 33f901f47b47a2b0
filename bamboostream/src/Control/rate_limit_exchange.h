#pragma once

#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Control/rate_permit_source.h"
#include "bamboostream/src/Limits/permit_issuer.h"
#include "bamboostream/src/Limits/server_rate_limits.h"
#include "bamboostream/src/Links/peer_links.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace bamboostream::wire {
struct RateLimitReportT;
struct RatePermitReplyT;
struct RatePermitRequestT;
} // namespace bamboostream::wire

namespace bamboostream {

/// Requests for permits by their result.
struct permit_counts {
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
    /// Neither the owner nor the standby answered in time.
    std::uint64_t unanswered = 0;
    /// Requests sent without a permit because they could not wait for one.
    std::uint64_t unpermitted = 0;
};

/// Divides the limits that backend servers name on the requests a second that they take.
///
/// The instance that first sees that a server names a limit, or names none any more, tells all
/// others at once. Another value of the limit is told only to the owner of the server's key and its
/// standby, by rendezvous, which issue the permits: requests come to all instances in changing
/// shares, and a fixed share for each would leave most of the limit unused. Once a second, each
/// instance repeats what it knows to one other, for those that have joined or missed a frame. An
/// instance that was denied a permit doesn't ask again before the next one is expected.
///
/// Used on one thread only.
class rate_limit_exchange final : public rate_permit_source {
public:
    /// The key whose owner issues the permits of a server.
    using key_function = std::function<std::string(const registered_backend&)>;

    rate_limit_exchange(boost::asio::io_context& context, peer_links& links,
                        membership_service& membership, const backend_registry& servers,
                        server_rate_limits& limits, permit_issuer& issuer, key_function key);

    void start();
    duration expected_wait(const registered_backend& server, int priority, time_point now) override;
    bool take_own(const registered_backend& server, int priority, time_point now) override;
    boost::asio::awaitable<bool> acquire(registered_backend server, int priority) override;
    void record_unpermitted_send(const registered_backend& server, time_point now) override;

    /// Records what a peer says of limits.
    void hear(const wire::RateLimitReportT& report);
    /// Issues a permit to a peer.
    std::unique_ptr<wire::FrameT> answer(const wire::RatePermitRequestT& request);
    /// Discards what is known of a server that is gone or has restarted.
    void forget(const backend_id& server);
    const permit_counts& counts() const { return counts_; }

private:
    /// Requests of rank 0, and all others.
    static constexpr std::size_t rank_classes = 2;

    void announce(const server_rate_limit& state, rate_limit_change change, bool seen_here);
    boost::asio::awaitable<void> repeat_loop();
    /// Tells the issuer of this instance its present role for each server.
    void note_roles(std::span<const server_rate_limit> known, time_point now);
    std::vector<std::string> issuers(const registered_backend& server) const;
    issuer_role own_role(const registered_backend& server) const;
    permit_terms terms_for(const registered_backend& server, int priority) const;
    boost::asio::awaitable<std::unique_ptr<wire::RatePermitReplyT>>
    ask(std::string issuer, registered_backend server, int priority);
    bool is_unresponsive(const std::string& issuer, time_point now) const;
    void set_wait(const backend_id& server, int priority, time_point until);

    boost::asio::io_context& context_;
    peer_links& links_;
    membership_service& membership_;
    const backend_registry& servers_;
    server_rate_limits& limits_;
    permit_issuer& issuer_;
    key_function key_;
    /// When to ask for a permit again, by server and class of rank.
    std::map<backend_id, std::array<time_point, rank_classes>> ask_again_at_;
    /// Issuers that have not answered in time, and until when they are skipped.
    std::map<std::string, time_point> unresponsive_until_;
    permit_counts counts_;
    std::mt19937_64 random_;
};

} // namespace bamboostream
