#pragma once

#include "bamboostream/src/Core/request_digest.h"
#include "bamboostream/src/Forwarding/attempt_policy.h"
#include "bamboostream/src/Forwarding/event_splitter.h"
#include "bamboostream/src/Forwarding/forwarding_state.h"
#include "bamboostream/src/Forwarding/stream_origin.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboostream {

/// Handles one caller's request from its head to its final response: finds the route, sends the
/// request to a backend server, forwards the response, and retries at other servers as long as that
/// is safe. Used on the thread of its `forwarding_state`.
///
/// Example: `forwarded_call call(state, exchange, monotonic_now()); co_await call.run();`
/// `may_retry` and `choose_final_response` make the decisions that this class carries out.
class forwarded_call final : public open_call {
public:
    forwarded_call(forwarding_state& state, http_exchange& exchange, time_point arrival);
    ~forwarded_call() override;
    forwarded_call(const forwarded_call&) = delete;
    forwarded_call& operator=(const forwarded_call&) = delete;

    /// Runs the request to its final response. Call once.
    boost::asio::awaitable<void> run();
    void withdraw(const request_digest& request) override;
    bool has_streamed(const held_parts& parts, duration limit) const override;
    /// Ends the request with a final response if none has begun, because the process is about to
    /// exit.
    void end_before_shutdown(time_point now);

private:
    /// Why a request is rejected before any attempt.
    struct rejection {
        int status = 0;
        std::string_view code;
        /// The cause if a later attempt may succeed; nothing if it never will. Determines
        /// Retry-After.
        std::optional<refusal_cause> not_run;
        /// The route table rejected it, so that a newer configuration may accept it.
        bool depends_on_configuration = false;
    };
    /// A backend server's failure response, kept in case no other attempt succeeds.
    struct saved_response {
        int status = 0;
        std::vector<http_field> fields;
        std::string body;
    };
    /// The server of an attempt and, if the generation was moved there, the copy to continue from.
    struct destination {
        registered_backend backend;
        std::optional<generation_copy> copy;
        /// The server's work on which the choice was based; nothing if that is in `loads`.
        std::optional<backend_work> work;
        /// The server names a limit on its requests a second, and a permit was taken.
        bool has_permit = false;
    };

    /// Parses the request and finds its route, workspace, service and deadline.
    std::optional<rejection> prepare();
    /// Like `prepare`, but waits for a newer configuration before the request is rejected by one
    /// that is known to be outdated.
    boost::asio::awaitable<std::optional<rejection>> prepare_with_newest_configuration();
    std::optional<rejection> find_workspace();
    /// Checks the fields with which a caller takes a stream up, on a route where it may.
    std::optional<rejection> check_resumption() const;
    /// Whether the caller takes a stream up.
    bool takes_stream_up() const;
    /// Finds the origin of the stream that the caller takes up, and its service.
    boost::asio::awaitable<std::optional<rejection>> find_origin();
    /// Makes the origin known to other instances if the caller may take the stream up.
    void share_origin();
    boost::asio::awaitable<void> reject(rejection why);
    /// Responds 503 with Retry-After, which promises that the request has not run and never will.
    /// Nothing else in this class responds with such a status.
    boost::asio::awaitable<void> respond_not_run(not_run_promise promise, std::string_view code,
                                                 refusal_cause cause);
    boost::asio::awaitable<void> respond_unknown();
    duration retry_after_delay(refusal_cause cause);
    /// The shortest time until a server of the service may take another request.
    duration min_permit_wait() const;
    refusal_cause not_run_cause();
    /// The cause while the request is held.
    refusal_cause quarantine_cause();
    boost::asio::awaitable<std::optional<destination>> choose();
    boost::asio::awaitable<std::optional<destination>> choose_engine_for_generation();
    /// Servers of the service that the request may be sent to. Sets `rate_limited_` if others are
    /// left out because they have got the requests a second that they take, or, unless
    /// `with_limited`, because they name a limit.
    std::vector<const registered_backend*> candidates(bool with_limited, time_point now);
    /// Logs that all servers that could take the request have got what they take.
    void record_rate_limited(const registered_backend* server);
    backend_work expected_work() const;
    /// The origin of a stream whose first event has just arrived from the server of this attempt.
    stream_origin observe_origin() const;
    /// Whether the server may get the request as far as the origin of its stream is concerned.
    bool fits_origin(const registered_backend& server) const;
    /// Logs and counts that no server can be chosen for a stream that has begun.
    void record_no_server() const;
    /// Logs and counts that the stream can't go on at the server, or at any if it is null.
    void record_not_continued(continuation_refusal cause, const registered_backend* server) const;
    void log_admission_refusal(const engine_choice& choice) const;
    /// Makes one attempt. Returns nothing if the caller has received its complete response.
    boost::asio::awaitable<std::optional<attempt_end>> attempt(const destination& to);
    void log_send(const destination& to) const;
    boost::asio::awaitable<bool> open_connection(const registered_backend& backend,
                                                 http_failure& why);
    /// How long a connection to the server may have been idle to be used for this request; zero if
    /// it must be a new one.
    duration max_idle_time(const backend_id& server) const;
    time_point attempt_deadline() const;
    /// Interprets the head of a response that has arrived, and sets `into` if it is known to be the
    /// response to this request. Returns false if it isn't.
    bool take_response(std::optional<response_info>& into);
    /// Reads the head of the response to this request into `into` and skips responses that aren't
    /// known to be, such as late copies of responses to earlier requests. Returns false, with a
    /// reason in `why`, if there is none that is known to be the response to this request; the
    /// connection is closed then.
    boost::asio::awaitable<bool> read_response(std::optional<response_info>& into,
                                               http_failure& why);
    boost::asio::awaitable<std::optional<attempt_end>> handle_response(const destination& to,
                                                                       const response_info& facts);
    /// Whether the response names no other type of its body.
    bool may_be_event_stream() const;
    /// Records what the response says of the requests a second that its server takes.
    void record_rate_limit(const response_info& facts);
    /// Records what the response says of its server's load.
    void record_server_load(const response_info& facts);
    boost::asio::awaitable<std::optional<attempt_end>> forward_body(const destination& to,
                                                                    const response_info& facts);
    /// Forwards a response that is too large to be kept as it arrives, after `begin`.
    boost::asio::awaitable<std::optional<attempt_end>>
    relay_body(const destination& to, const response_info& facts, saved_response begin);
    /// Reads the rest of a response that says that the request was not run; false if it doesn't
    /// end.
    boost::asio::awaitable<bool> discard_refusal();
    /// Why the response of the latest attempt is of no use, for its log line.
    std::string failure_reason(std::string_view otherwise) const;
    boost::asio::awaitable<std::optional<attempt_end>> relay(const destination& to,
                                                             const response_info& facts);
    boost::asio::awaitable<bool> forward_events(std::string_view events, int status);
    /// Records the time since the previous events of the same attempt, in which `count` events have
    /// arrived. A pause between two attempts says nothing about the pace of either server.
    void record_pace(std::uint64_t count, time_point now);
    /// Waits until it is known whether the engine has stopped the stream for a move, if that was
    /// announced.
    boost::asio::awaitable<void> await_stop_outcome();
    boost::asio::awaitable<bool> await_move();
    /// Whether the server may be sent the request as far as its departure is concerned.
    bool may_send_to(const destination& to, time_point now) const;
    /// Whether a generation with a copy at the server may go on there.
    bool may_continue_at(const backend_id& server, time_point now) const;
    boost::asio::awaitable<std::optional<attempt_end>> follow_moves(attempt_end end);
    /// Whether the process of the server of the latest attempt has ended.
    boost::asio::awaitable<process_state> check_server();
    /// Whether that server is known to be shutting down.
    bool is_server_leaving() const;
    /// Whether a response that has arrived completely, as far as its framing tells, was cut off by
    /// a crash. Only a response without a length, which ends with its connection, can be: then this
    /// takes as long as `check_server`. Sets `survival_shown_`.
    boost::asio::awaitable<bool> was_cut_off();
    /// Checks whether the server whose connection was lost has crashed. If so, that is evidence
    /// against the request, unless the server was known to be shutting down.
    boost::asio::awaitable<void> examine_lost_connection();
    const request_digest& digest();
    /// What the quarantine knows the request by.
    const quarantine_subject& subject();
    std::uint64_t caller_hash() const;
    std::vector<request_digest> shared_part_digests() const;
    /// The digest under which the request is held: its own, or that of a part of its prompt.
    const request_digest& suspect_digest();
    /// Labels of those parts of the prompt because of which the request is held.
    std::string labels_of_held_parts();
    /// From the first event of the latest attempt to its latest event.
    duration streamed_for() const;
    /// Whether the request may be sent as far as the quarantine is concerned. Waits for its release
    /// or its trial if that is possible.
    boost::asio::awaitable<bool> pass_quarantine();
    void end_trial();
    /// Records that a server executed the request, if it is known to have survived. Not called for
    /// failure responses, because a faulty server may fail a request before executing it.
    /// Only a success shows that it has run the prompt.
    void record_server_survived(int status);
    /// Ends an attempt that may have been executed, as `lost`, `silent` or `failed`.
    attempt_end fail(const destination& to, attempt_end end, std::string_view reason);
    /// Ends an attempt before its sending has begun.
    attempt_end fail_unsent(const destination& to, std::string_view reason);
    /// Ends an attempt that the proof shows not to have been executed.
    attempt_end fail_not_run(const destination& to, const not_run_proof& proof,
                             std::string_view reason);
    /// Counts and logs an attempt that has ended, and returns `end`.
    attempt_end record_failure(const destination& to, attempt_end end, std::string_view reason,
                               std::string_view proof);
    /// Ends an attempt because the server accepts no more work; not counted as its failure.
    attempt_end skip_backend(const destination& to, std::string_view reason);
    /// Records for server selection whether the server served the request.
    void record_outcome(const backend_id& server, bool succeeded);
    /// Whether another attempt is allowed. Spends one unit of the service's retry budget if the
    /// request was sent before.
    bool try_acquire_retry();
    boost::asio::awaitable<void> respond_failure(attempt_end end);
    void give_back(const destination& to);
    bool is_movable() const;
    /// Records the prefill time up to the first event, if the measurement is meaningful.
    void record_prefill();

    /// A response of which nothing has arrived for this long isn't one without an end; and one that
    /// has not taken as long may be just late.
    static constexpr seconds receiving_span{1};

    forwarding_state& state_;
    http_exchange& exchange_;
    time_point arrival_;
    time_point deadline_;
    std::shared_ptr<const route_table> routes_;
    forward_request request_;
    const route_rule* route_ = nullptr;
    const service_rule* service_ = nullptr;
    std::optional<workspace_id> workspace_;
    /// The workspace's priority if it has one, else the route's.
    int priority_ = 0;
    attempt_history history_;
    std::vector<backend_id> avoid_;
    /// Servers that were sent this request.
    std::vector<backend_id> sent_to_before_;
    std::shared_ptr<http_connection> connection_;
    event_splitter splitter_;
    std::shared_ptr<active_stream> stream_;
    /// Set with the first event, or at once if the caller takes a stream up; limits the servers to
    /// which the request may be sent.
    std::optional<stream_origin> origin_;
    /// Digest under which the origin is shared with other instances; nothing if it isn't.
    std::optional<request_digest> shared_stream_;
    std::optional<saved_response> failure_;
    /// Computed on first use; not needed as long as no server has crashed.
    std::optional<request_digest> digest_;
    std::optional<quarantine_subject> subject_;
    /// The work that this request has added to `loads`, and for which backend server.
    backend_id work_backend_;
    backend_work registered_work_;
    /// The workspace and service to which that work counts.
    share_key work_key_;
    /// The server of the latest attempt, and whether it has sent a response head.
    registered_backend sent_to_;
    bool response_head_received_ = false;
    /// The server has survived its response: the response was framed, or the server still runs.
    bool survival_shown_ = false;
    /// The connection of the latest attempt had carried another request before.
    bool connection_reused_ = false;
    /// When the latest attempt was sent, and its engine's work when the engine was chosen.
    time_point sent_at_;
    std::optional<backend_work> work_before_send_;
    /// When the latest attempt brought its first event; nothing before.
    std::optional<time_point> attempt_first_event_;
    /// When the first and the latest event were sent to the caller, and the longest pause between
    /// two events.
    time_point first_event_;
    time_point latest_event_;
    duration longest_pause_{};
    /// Events that had arrived by `latest_event_`.
    std::uint64_t events_before_ = 0;
    bool stream_started_ = false;
    /// The end of the latest attempt has waited for the outcome of a move already.
    bool stop_outcome_awaited_ = false;
    /// The caller has received a part of a response that was not kept.
    bool body_started_ = false;
    bool caller_left_ = false;
    /// The request was quarantined while in progress.
    bool withdrawn_ = false;
    bool ended_by_shutdown_ = false;
    /// The request is held, and this is the trial of `trial_of_`: of the request or a part of its
    /// prompt.
    bool on_trial_ = false;
    request_digest trial_of_;
    /// Admission control refused the request at the chosen engine.
    bool admission_refused_ = false;
    /// The latest choice found only servers that have got the requests a second that they take.
    bool rate_limited_ = false;
    /// Admission refused the request because memory is held for generations of leaving engines.
    bool memory_reserved_ = false;
    /// How long requests of the service had been refused by then.
    duration overload_duration_{};

    void record_latency() const;
    void record_caller_left();
    void register_work(const backend_id& id);
    void update_work(const backend_work& work);
    void unregister_work();
};

} // namespace bamboostream
