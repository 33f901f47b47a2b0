#pragma once

#include "bamboostream/src/Core/clock.h"
#include "bamboostream/src/Core/request_digest.h"
#include "bamboostream/src/Limits/quarantine_registry.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>

namespace bamboostream {

/// Decides which attempt at a held request is its trial, over all instances.
class trial_arbiter {
public:
    virtual ~trial_arbiter() = default;
    /// Asks for the trial, which takes at most `lease`. False while another one is in progress, and
    /// if the instance that decides doesn't reply.
    virtual boost::asio::awaitable<bool> acquire(request_digest request, duration lease) = 0;
    /// Ends a trial that was granted to this instance.
    virtual void release(const request_digest& request) = 0;
};

/// How a wait for the release of a held request ended.
enum class trial_result : std::uint8_t {
    /// The request is still held or suspected.
    refused,
    /// The request is neither held nor suspected any more.
    released,
    /// The attempt is the request's trial. `trial_arbiter::release` must be called after it.
    on_trial,
};

/// Waits until a held or suspected request is released or this attempt may be its trial.
///
/// Returns at once if the request is confirmed as harmful, or if its trial is not due in time and
/// its rivals have had time to be answered or held. Without an arbiter there are no trials, and
/// requests that are not held are released. Otherwise it takes at most half of the time until the
/// deadline, so that the other half is left to serve the request, and ends early once `abandoned`
/// returns true. After that time a deferred request is released, and one that many callers send is
/// released or becomes another trial: without a decision, refusing it would concern all of its
/// callers. `arbiter` is read again after each pause, since it may be gone by then.
///
/// The trial is one of the request, or of the part of its prompt that is held: `trial_of` is set to
/// what it was acquired for.
boost::asio::awaitable<trial_result> await_trial(quarantine_registry& quarantine,
                                                 trial_arbiter* const& arbiter,
                                                 quarantine_subject request, time_point deadline,
                                                 std::function<bool()> abandoned,
                                                 request_digest& trial_of);

} // namespace bamboostream
