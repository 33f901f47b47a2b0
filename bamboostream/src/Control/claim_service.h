#pragma once

#include "bamboostream/src/Contracts/log_service.h"
#include "bamboostream/src/Contracts/plain_service.h"
#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Ledger/claim_table.h"
#include "bamboostream/src/Links/peer_links.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboostream {

namespace wire {
struct LedgerQueryT;
}

/// Whether this instance may send a non-idempotent call, or else what to tell its caller.
struct claim_result {
    enum class kind : std::uint8_t {
        /// The claim is won: send the call now, exactly once, under `claim`.
        dispatch,
        /// The call has run; `status` and `body` are its response.
        decided,
        /// The call was not sent and never will be for this request.
        not_run,
        /// Whether the call ran can't be determined.
        unknown,
        /// The key was used for a different call.
        key_reused,
    };
    kind decision = kind::unknown;
    std::string claim;
    int status = 0;
    std::string body;
    std::string reason;
};

/// The asynchronous part of the ledger, which ensures that a non-idempotent call is sent at most
/// once. Batches claims, outcomes and voids into few appends, reads the log, and asks other
/// instances for the state of their claims. Runs on the control thread.
class claim_service {
public:
    /// Periods, timeouts and limits of the service.
    struct timing {
        milliseconds poll_wait{2'000};
        milliseconds retry_pause{100};
        /// Minimum time between two appends of one instance, multiplied by the number of instances:
        /// together they make at most 1000 / (this in milliseconds) appends per second.
        milliseconds append_interval_per_instance{10};
        /// Maximum age of a key. Must be shorter than the log's retention.
        milliseconds window{600'000};
        /// Maximum difference between the clocks of callers and instances.
        milliseconds clock_tolerance{60'000};
    };

    claim_service(boost::asio::io_context& context, log_service& log,
                  membership_service& membership, peer_links& links, timing times);

    void start();
    /// Claims a call, or finds the outcome of an earlier claim, until `deadline` (monotonic).
    boost::asio::awaitable<claim_result> claim(std::string workspace, std::string key,
                                               std::string call_digest, time_point deadline);
    /// Records the response of the sent call, which every later retry gets.
    void decided(const std::string& workspace, const std::string& key, const std::string& claim,
                 int status, const std::string& body);
    /// Records that the sent call may or may not have run; the claim stands without an outcome.
    void mark_unknown(const std::string& claim);
    /// Voids a claim. No byte of the call may have been sent, or be sent later.
    void abandon(const std::string& workspace, const std::string& key, const std::string& claim);
    /// Answers a query of another instance about a claim or a key.
    boost::asio::awaitable<std::unique_ptr<wire::FrameT>>
    handle_query(const wire::LedgerQueryT& query);

    /// True once the existing records of the log have been read.
    bool ready() const { return replayed_; }
    std::size_t size() const { return table_.size(); }
    std::uint64_t appends() const { return appends_; }
    std::uint64_t claims() const { return claims_; }

private:
    /// State of one of this instance's own claims, which may be ahead of the log.
    enum class claim_state : std::uint8_t { pending, dispatched, unknown, abandoned, decided };
    struct own_claim {
        claim_state state = claim_state::pending;
        int status = 0;
        std::string body;
        wall_time at = 0;
    };

    /// A claimant's answer about its claim.
    struct claimant_report {
        claim_state state = claim_state::dispatched;
        int status = 0;
        std::string body;
    };

    boost::asio::awaitable<void> tail_loop();
    boost::asio::awaitable<void> append_loop();
    boost::asio::awaitable<bool> wait_for_log_update(time_point until);
    boost::asio::awaitable<std::optional<claim_result>> place_claim(std::string workspace,
                                                                    std::string key,
                                                                    std::string call_digest,
                                                                    time_point deadline);
    boost::asio::awaitable<std::optional<claim_result>>
    resolve_claim(std::string workspace, std::string key, time_point deadline);
    boost::asio::awaitable<claimant_report> ask_claimant(std::string workspace, std::string key,
                                                         call_view view);
    boost::asio::awaitable<claim_result> confirm_not_run(std::string workspace, std::string key,
                                                         std::string reason);
    /// Whether this instance has sent the call under no claim of its own and will send it under
    /// none that it has made so far.
    bool has_only_abandoned_claims(const std::string& workspace, const std::string& key) const;
    bool is_too_old(std::string_view key) const;
    void enqueue(ledger_entry entry);
    void notify_readers();
    milliseconds append_period() const;

    boost::asio::io_context& context_;
    log_service& log_;
    membership_service& membership_;
    peer_links& links_;
    timing times_;
    claim_table table_;
    std::vector<ledger_entry> queue_;
    /// Claims whose record the log rejected, so that they can never take effect.
    std::unordered_map<std::string, bool> rejected_claims_;
    std::unordered_map<std::string, own_claim> own_;
    /// This instance's claims for a call, by workspace and key.
    std::unordered_map<std::string, std::vector<std::string>> claims_of_call_;
    std::vector<std::shared_ptr<boost::asio::steady_timer>> readers_;
    boost::asio::steady_timer queue_filled_;
    bool replayed_ = false;
    bool log_is_down_ = false;
    std::uint64_t appends_ = 0;
    std::uint64_t claims_ = 0;
};

} // namespace bamboostream
