#pragma once

#include "bamboostream/src/Contracts/log_service.h"
#include "bamboostream/src/Contracts/plain_service.h"
#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Ledger/claim_table.h"
#include "bamboostream/src/Links/link.h"

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

/// Whether this instance may send a non-idempotent call, or what its caller is told instead.
struct claim_result {
    enum class kind : std::uint8_t {
        /// Dispatch it now, once, under `claim`.
        dispatch,
        /// It has run; `status` and `body` are its answer.
        decided,
        /// It was not run and will not be under this request.
        not_run,
        /// It can't be known whether it ran.
        unknown,
        /// The key belongs to another call.
        key_reused,
    };
    kind decision = kind::not_run;
    std::string claim;
    int status = 0;
    std::string body;
    std::string reason;
};

/// The asynchronous part of the ledger: groups claims, outcomes and voids into few appends, reads
/// the log, and asks a claimant what became of its claim.
class claim_service {
public:
    struct timing {
        milliseconds poll_wait{2'000};
        milliseconds retry_pause{100};
        /// Least time between two appends of one instance, multiplied by the number of instances:
        /// together they stay under 1000 / this many appends a second.
        milliseconds append_share{10};
        /// Age a key may have. Shorter than the log's retention.
        milliseconds window{600'000};
        /// Clocks of callers and instances may differ by this much.
        milliseconds clock_tolerance{60'000};
    };

    claim_service(boost::asio::io_context& context, log_service& log,
                  membership_service& membership, link_hub& links, timing times);

    void start();
    /// Claims a call until `deadline` (monotonic).
    boost::asio::awaitable<claim_result> claim(std::string workspace, std::string key,
                                               std::string call_digest, time_point deadline);
    /// The dispatched call has this outcome; the same answer goes to every later retry.
    void decided(const std::string& workspace, const std::string& key, const std::string& claim,
                 int status, const std::string& body);
    /// The dispatched call may or may not have run; the claim stands without an outcome.
    void mark_unknown(const std::string& claim);
    /// The claim was won but not a byte of the call was sent and none ever will be.
    void abandon(const std::string& workspace, const std::string& key, const std::string& claim);
    boost::asio::awaitable<std::unique_ptr<wire::FrameT>>
    handle_query(const wire::LedgerQueryT& query);

    bool ready() const { return replayed_; }
    std::size_t size() const { return table_.size(); }
    std::uint64_t appends() const { return appends_; }
    std::uint64_t claims() const { return claims_; }

private:
    /// What this instance knows of a claim of its own that the log may not tell yet.
    enum class own_state : std::uint8_t { pending, dispatched, unknown, abandoned, decided };
    struct own_claim {
        own_state state = own_state::pending;
        int status = 0;
        std::string body;
        wall_time at = 0;
    };

    /// What a claimant says of its claim.
    struct claimant_word {
        own_state state = own_state::dispatched;
        int status = 0;
        std::string body;
    };

    boost::asio::awaitable<void> tail_loop();
    boost::asio::awaitable<void> append_loop();
    boost::asio::awaitable<bool> wait_for_news(time_point until);
    boost::asio::awaitable<std::optional<claim_result>>
    compete(std::string workspace, std::string key, std::string call_digest, time_point deadline);
    boost::asio::awaitable<std::optional<claim_result>>
    learn_from_claimant(std::string workspace, std::string key, time_point deadline);
    boost::asio::awaitable<claimant_word> ask_claimant(std::string workspace, std::string key,
                                                       call_view view);
    boost::asio::awaitable<claim_result> say_not_run(std::string workspace, std::string key,
                                                     std::string reason);
    std::optional<claim_result> refuse_by_age(std::string_view key) const;
    void enqueue(ledger_entry entry);
    void wake_readers();
    milliseconds append_period() const;

    boost::asio::io_context& context_;
    log_service& log_;
    membership_service& membership_;
    link_hub& links_;
    timing times_;
    claim_table table_;
    std::vector<ledger_entry> queue_;
    /// Claims whose record was refused by the log, so that they certainly never stand.
    std::unordered_map<std::string, bool> refused_;
    std::unordered_map<std::string, own_claim> own_;
    /// This instance's last claim for a call, by workspace and key.
    std::unordered_map<std::string, std::string> last_claim_;
    std::vector<std::shared_ptr<boost::asio::steady_timer>> readers_;
    boost::asio::steady_timer queue_filled_;
    bool replayed_ = false;
    bool log_is_down_ = false;
    std::uint64_t appends_ = 0;
    std::uint64_t claims_ = 0;
};

} // namespace bamboostream
