#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Limits/recent_responses.h"
#include "bamboostream/src/Limits/request_quarantine.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboostream {

/// An admitted request whose final response has not been sent yet.
class open_call {
public:
    virtual ~open_call() = default;
    /// Cancels the call if it is an attempt at `request`, or held because of the part `request`,
    /// and no part of a response has been sent.
    virtual void withdraw(const request_digest& request) = 0;
    /// Whether this is a stream of a request with these parts that has gone on for longer than
    /// `limit` since the first event of its server.
    virtual bool has_streamed(const held_parts& /*parts*/, duration /*limit*/) const {
        return false;
    }
};

/// Owns the quarantine of one instance and acts on its decisions: writes log events, announces
/// evidence, and cancels open calls.
///
/// Listeners are called in the thread of the call that changes the quarantine. Not thread-safe;
/// lives on one thread.
///
/// Example: `registry.add_local_evidence(evidence, now); if (registry.holds(digest)) refuse();`
class quarantine_registry {
public:
    using evidence_listener = std::function<void(const crash_evidence&)>;
    using answer_listener = std::function<void(const part_answer&)>;
    using change_listener = std::function<void(const request_digest&)>;
    /// Returns the name of a server for logs by its incarnation key; empty if it is unknown.
    using server_name_lookup = std::function<std::string(std::uint64_t)>;

    explicit quarantine_registry(quarantine_rules rules = {}) : quarantine_(rules) {}

    bool any() const { return quarantine_.any(); }
    bool holds(const request_digest& request) const { return quarantine_.holds(request); }
    duration held_for(const request_digest& request, time_point now) const {
        return quarantine_.held_for(request, now);
    }
    const request_quarantine& decisions() const { return quarantine_; }
    quarantine_verdict verdict(const request_digest& request) const {
        return quarantine_.verdict(request);
    }
    /// The verdict on a request by itself or because of the parts of its prompt.
    quarantine_verdict verdict(const quarantine_subject& request) const {
        const suspect_state* state = quarantine_.find_suspect(request);
        return state != nullptr ? state->verdict : quarantine_verdict::free;
    }

    /// Adds evidence. `origin` names its source in logs: "peer" or "store".
    void take(std::span<const crash_evidence> evidence, std::string_view origin, time_point now);
    /// Adds what another instance knows of answers to requests with parts.
    void take_answers(std::span<const part_answer> answers, std::string_view origin,
                      time_point now);
    /// Adds evidence found by this instance and announces it. It is added as cleared if the request
    /// was answered here a short time ago, and marked if it was answered here before that.
    void add_local_evidence(crash_evidence evidence, time_point now);
    /// Whether the response to a request of this size should be recorded, which costs a digest of
    /// the request: while there is any evidence, and always for short requests, which are the ones
    /// that many callers send in identical form.
    bool wants_answer(std::size_t request_bytes) const;
    /// Records that a backend server has run the request and survived: clears the evidence against
    /// it and announces the change.
    void note_answer(const request_digest& request, time_point now);
    /// Records the same for the parts of its prompt, and announces it if there is evidence against
    /// any of them.
    void note_part_answers(std::span<const request_digest> parts, time_point now);
    /// Removes evidence that is too old.
    void expire(time_point now);
    /// Decides again once all evidence of the last crash should have arrived; costs little until
    /// then.
    void settle(time_point now);

    void add(open_call& call) { open_calls_.insert(&call); }
    void remove(open_call& call) { open_calls_.erase(&call); }
    std::size_t open_calls() const { return open_calls_.size(); }

    /// Sets the listener for evidence that this instance itself has found or cleared.
    void on_evidence(evidence_listener listener) { on_evidence_ = std::move(listener); }
    /// Sets the listener for answers that this instance knows of, to requests with parts of which
    /// there is evidence.
    void on_part_answer(answer_listener listener) { on_part_answer_ = std::move(listener); }
    /// Sets the listener for requests whose verdict has changed.
    void on_change(change_listener listener) { on_change_ = std::move(listener); }
    void set_server_name_lookup(server_name_lookup names) {
        server_name_lookup_ = std::move(names);
    }
    /// Removes all listeners and the name lookup. Call it before the objects that they refer to are
    /// destroyed.
    void clear_listeners();

private:
    void apply_changes(std::string_view origin, time_point now);
    /// Announces what this instance knows of answers to requests with parts that are held, and
    /// releases them if that clears the evidence.
    void check_held_parts(time_point now);
    /// Adds the answers and announces them.
    void add_part_answers(std::span<const part_answer> answers, time_point now);
    /// What this instance remembers of answers to requests with these parts.
    std::vector<part_answer> remembered_answers(std::span<const request_digest> parts,
                                                time_point now) const;
    void withdraw(const request_digest& request);
    void announce(const crash_evidence& evidence) const;
    std::string describe(const request_digest& request, time_point now) const;
    /// Comma-separated names of the servers that count as evidence against a request.
    std::string servers_of(const request_digest& request) const;

    request_quarantine quarantine_;
    recent_responses recent_responses_;
    /// By part of a prompt.
    recent_responses recent_part_answers_;
    std::set<open_call*> open_calls_;
    evidence_listener on_evidence_;
    answer_listener on_part_answer_;
    change_listener on_change_;
    server_name_lookup server_name_lookup_;
};

} // namespace bamboostream
