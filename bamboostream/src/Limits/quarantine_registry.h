#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Limits/recent_answers.h"
#include "bamboostream/src/Limits/request_quarantine.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace bamboostream {

/// A request that was admitted and has no final answer yet.
class open_call {
public:
    virtual ~open_call() = default;
    /// Cancels the call if it is an attempt at `request` and no part of an answer has gone out.
    virtual void withdraw(const request_digest& request) = 0;
};

/// The quarantine of one instance and what its decisions cause: log events, announcements, and the
/// cancellation of open calls.
///
/// Listeners are called in the thread of the call that changes the quarantine. Lives on one thread.
///
/// Example: `registry.add_local_evidence(evidence, now); if (registry.holds(digest)) refuse();`
class quarantine_registry {
public:
    using evidence_listener = std::function<void(const crash_evidence&)>;
    using change_listener = std::function<void(const request_digest&)>;
    /// The name of a server in logs, by the key of its life; empty when it is not known.
    using server_names = std::function<std::string(std::uint64_t)>;

    explicit quarantine_registry(quarantine_rules rules = {}) : quarantine_(rules) {}

    bool any() const { return quarantine_.any(); }
    bool holds(const request_digest& request) const { return quarantine_.holds(request); }
    duration held_for(const request_digest& request, time_point now) const {
        return quarantine_.held_for(request, now);
    }
    const request_quarantine& decisions() const { return quarantine_; }

    /// Adds evidence. `origin` names its source in logs: "peer" or "store".
    void take(std::span<const crash_evidence> evidence, std::string_view origin, time_point now);
    /// Adds evidence that this instance has found, and announces it. It doesn't count when the
    /// request was answered here a short time ago.
    void add_local_evidence(crash_evidence evidence, time_point now);
    /// Whether an answer to a request of so many bytes is worth its digest: while there is any
    /// evidence, and for short requests, which are those that many attempts ask for.
    bool wants_answer(std::size_t request_bytes) const;
    /// A backend server has run the request and survived: evidence so far no longer counts.
    /// Announces the change.
    void note_answer(const request_digest& request, time_point now);
    /// Drops evidence that is too old.
    void expire(time_point now);

    void add(open_call& call) { open_calls_.insert(&call); }
    void remove(open_call& call) { open_calls_.erase(&call); }
    std::size_t open_calls() const { return open_calls_.size(); }

    /// Called with evidence that this instance itself has found or cleared.
    void on_evidence(evidence_listener listener) { on_evidence_ = std::move(listener); }
    /// Called when a request is held from now on, or no longer.
    void on_change(change_listener listener) { on_change_ = std::move(listener); }
    void set_server_name_lookup(server_names names) { names_ = std::move(names); }
    /// Drops the listeners, before what they refer to ends.
    void clear_listeners();

private:
    void carry_out_changes(std::string_view origin, time_point now);
    void announce(const crash_evidence& evidence) const;
    /// The servers that count against a request.
    std::string servers_of(const request_digest& request) const;

    request_quarantine quarantine_;
    recent_answers answers_;
    std::set<open_call*> open_calls_;
    evidence_listener on_evidence_;
    change_listener on_change_;
    server_names names_;
};

} // namespace bamboostream
