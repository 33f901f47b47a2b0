#pragma once

#include "bamboostream/src/Configuration/configuration_state.h"
#include "bamboostream/src/Contracts/log_service.h"
#include "bamboostream/src/Control/membership_service.h"
#include "bamboostream/src/Links/peer_links.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace bamboostream {

namespace wire {
struct ConfigurationRequestT;
}

/// Maintains the configuration in force: follows the log, catches up from peers while the log is
/// down, appends submissions, and writes snapshots before log retention removes the records that
/// they replace. Runs on the control thread, except for `document` and `version`.
class configuration_service {
public:
    /// Periods, timeouts and limits of the service.
    struct timing {
        milliseconds poll_wait{2'000};
        milliseconds retry_pause{200};
        milliseconds submit_timeout{5'000};
        milliseconds snapshot_period{60'000};
    };

    configuration_service(boost::asio::io_context& context, log_service& log,
                          membership_service& membership, peer_links& links, timing times);

    void start();
    /// Sets a function that is called on the control thread when a newer version is in force.
    void on_change(std::function<void()> listener) { listener_ = std::move(listener); }
    /// The document in force; may be called on any thread.
    std::shared_ptr<const configuration_document> document() const { return document_.load(); }
    std::int64_t version() const { return version_.load(); }
    const configuration_state& state() const { return state_; }

    /// Appends a submission and waits until it has been read back from the log. `undecided` means
    /// that it may still be accepted; it is safe to submit it again with the same id.
    boost::asio::awaitable<submission_verdict> submit(configuration_submission submission);
    /// Answers a peer's request with this instance's state if it is newer.
    std::unique_ptr<wire::FrameT> handle_request(const wire::ConfigurationRequestT& request);

private:
    boost::asio::awaitable<void> tail_loop();
    boost::asio::awaitable<void> peer_loop();
    boost::asio::awaitable<void> snapshot_loop();
    boost::asio::awaitable<bool> ask_peer();
    void apply_page(const log_page& page);
    void publish();

    boost::asio::io_context& context_;
    log_service& log_;
    membership_service& membership_;
    peer_links& links_;
    timing times_;
    configuration_state state_;
    std::atomic<std::shared_ptr<const configuration_document>> document_;
    std::atomic<std::int64_t> version_{0};
    std::unordered_map<std::string, submission_verdict> verdicts_;
    std::unordered_map<std::string, std::shared_ptr<boost::asio::steady_timer>> waiting_;
    std::function<void()> listener_;
    bool log_is_down_ = false;
    time_point last_snapshot_seen_{};
    std::int64_t snapshot_version_ = -1;
};

} // namespace bamboostream
