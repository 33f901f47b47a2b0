#pragma once

#include "bamboostream/src/Core/request_digest.h"
#include "bamboostream/src/Forwarding/attempt_policy.h"
#include "bamboostream/src/Forwarding/event_splitter.h"
#include "bamboostream/src/Forwarding/forwarding_state.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// One caller's request from its head to its final answer: finds its route, sends it to a backend
/// server, passes the answer on, and sends it elsewhere while that is safe.
///
/// Example: `forwarded_call call(state, exchange, monotonic_now()); co_await call.run();`
/// See also `may_try_again` and `choose_final_answer`, which decide; this class carries it out.
class forwarded_call final : public open_call {
public:
    forwarded_call(forwarding_state& state, http_exchange& exchange, time_point arrival);
    ~forwarded_call() override;
    forwarded_call(const forwarded_call&) = delete;
    forwarded_call& operator=(const forwarded_call&) = delete;

    boost::asio::awaitable<void> run();
    void withdraw(const request_digest& request) override;

private:
    /// Why a request is turned away before it is sent anywhere.
    struct rejection {
        int status = 0;
        std::string_view code;
        /// Why it has not run; nothing when it never will, however often it comes back.
        std::optional<refusal_cause> not_run;
        /// The table of routes and keys says so.
        bool by_table = false;
    };
    /// A backend server's failure, kept until it is known that no other answer will come.
    struct kept_answer {
        int status = 0;
        std::vector<http_field> fields;
        std::string body;
    };
    /// A server and, when the generation was moved there, its copy.
    struct destination {
        registered_backend backend;
        std::optional<generation_copy> copy;
        /// The work there which the choice went by; nothing when that was this instance's view.
        std::optional<backend_work> work;
    };

    std::optional<rejection> prepare();
    /// The same, but looks for a newer table before the request is denied by one that is known to
    /// be old.
    boost::asio::awaitable<std::optional<rejection>> prepare_by_newest();
    std::optional<rejection> find_workspace();
    boost::asio::awaitable<void> reject(rejection why);
    duration return_time(refusal_cause cause) const;
    refusal_cause cause_of_not_run() const;
    boost::asio::awaitable<std::optional<destination>> choose();
    boost::asio::awaitable<std::optional<destination>> choose_for_generation();
    backend_work expected_work() const;
    void log_turned_away(const engine_choice& choice) const;
    /// Sends once; nothing when the caller has got its whole answer.
    boost::asio::awaitable<std::optional<attempt_end>> attempt(const destination& to);
    void log_send(const destination& to) const;
    boost::asio::awaitable<bool> open_connection(const registered_backend& backend);
    time_point attempt_limit() const;
    boost::asio::awaitable<std::optional<attempt_end>> take_answer(const destination& to);
    boost::asio::awaitable<std::optional<attempt_end>> take_body(const destination& to,
                                                                 answer_facts facts);
    boost::asio::awaitable<std::optional<attempt_end>> relay(const destination& to,
                                                             answer_facts facts);
    boost::asio::awaitable<bool> pass_on(std::string_view events, int status);
    boost::asio::awaitable<bool> await_move();
    /// Whether the engine that the stream is told to go on at may still be sent to.
    bool may_follow(const move_notice& notice, time_point now) const;
    boost::asio::awaitable<std::optional<attempt_end>> follow_moves(attempt_end end);
    /// Finds out whether the server whose connection broke has ended, which speaks against the
    /// request unless the server was known to leave.
    boost::asio::awaitable<void> examine_lost_connection();
    const request_digest& digest();
    /// Whether the request is refused because of what it does to servers.
    bool is_held();
    /// A server has run the request and runs on. A failure doesn't show that: a faulty server may
    /// fail a request before it runs it.
    void note_server_survived();
    attempt_end fail(const destination& to, attempt_end end, std::string_view reason);
    /// The server takes no work any more; nothing is held against it.
    attempt_end pass_over(const destination& to);
    /// A server has served the request, or has not.
    void note_outcome(const backend_id& server, bool succeeded);
    bool try_again(attempt_end end);
    boost::asio::awaitable<void> finish(attempt_end end);
    void give_back(const destination& to);
    bool is_movable() const;
    /// Tells how long the engine took to read until the first event, when that shows.
    void note_reading();

    forwarding_state& state_;
    http_exchange& exchange_;
    time_point arrival_;
    time_point deadline_;
    std::shared_ptr<const route_table> routes_;
    forward_request request_;
    const route_rule* route_ = nullptr;
    const service_rule* service_ = nullptr;
    std::optional<workspace_id> workspace_;
    /// The workspace's rank when it has one, else the route's.
    int priority_ = 0;
    attempt_history history_;
    std::vector<backend_id> avoid_;
    std::shared_ptr<http_connection> connection_;
    event_splitter splitter_;
    std::shared_ptr<active_stream> stream_;
    std::optional<kept_answer> failure_;
    /// Computed on first use: while no server has ended, none is needed.
    std::optional<request_digest> digest_;
    /// The work that this request has entered into the load book, and where.
    backend_id entered_at_;
    backend_work entered_;
    /// Where the request was last sent, and whether the head of an answer has come from there.
    registered_backend sent_to_;
    bool answer_begun_ = false;
    /// When the request was last sent, and the work at its engine by which that was chosen.
    time_point sent_at_;
    std::optional<backend_work> queued_before_;
    /// When the first and the latest event went to the caller, and the longest pause between two.
    time_point first_event_;
    time_point latest_event_;
    duration longest_pause_{};
    bool begun_ = false;
    bool left_ = false;
    /// The request was found to end servers while it was open.
    bool withdrawn_ = false;
    /// The engine that was chosen had no room.
    bool turned_away_ = false;
    /// How long generations had been refused then.
    duration overload_{};

    void record_latency() const;
    void enter_work(const backend_id& id);
    void update_work(const backend_work& work);
    void leave_work();
};

} // namespace bamboostream
