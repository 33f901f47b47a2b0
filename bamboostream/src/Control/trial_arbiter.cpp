#include "bamboostream/src/Control/trial_arbiter.h"

#include "bamboostream/src/Control/async_wait.h"
#include "bamboostream/src/Core/event_log.h"

namespace bamboostream {

namespace asio = boost::asio;

namespace {

constexpr milliseconds poll_interval{20};
/// While a trial of a request that many callers send takes longer, for example because it lasts or
/// because its instance has lost its links, another one may begin.
constexpr duration max_popular_lease = milliseconds(300);

} // namespace

asio::awaitable<trial_result> await_trial(quarantine_registry& quarantine,
                                          trial_arbiter* const& arbiter, quarantine_subject request,
                                          time_point deadline, std::function<bool()> abandoned,
                                          request_digest& trial_of) {
    const time_point began = monotonic_now();
    const time_point limit = began + (deadline - began) / 2;
    while (true) {
        const time_point now = monotonic_now();
        quarantine.settle(now);
        const suspect_state* state = quarantine.decisions().find_suspect(request);
        if (state == nullptr) {
            co_return trial_result::released;
        }
        trial_of = state->suspect;
        if (arbiter == nullptr && state->verdict <= quarantine_verdict::suspected) {
            co_return trial_result::released;
        }
        if (abandoned()) {
            co_return trial_result::refused;
        }
        const bool deferred = state->verdict == quarantine_verdict::deferred;
        if (now >= limit && (deferred || state->popular)) {
            co_return state->verdict == quarantine_verdict::contested ? trial_result::on_trial
                                                                      : trial_result::released;
        }
        const bool waits = deferred || state->popular || now < state->undecided_until;
        if (arbiter == nullptr || (!waits && state->trial_due > limit) || now >= limit) {
            co_return trial_result::refused;
        }
        const duration lease =
            state->popular ? std::min(deadline - now, max_popular_lease) : deadline - now;
        if (!deferred && now >= state->trial_due && co_await arbiter->acquire(trial_of, lease)) {
            // The verdict may have changed while the arbiter was asked.
            const quarantine_verdict verdict = quarantine.verdict(trial_of);
            const bool undecided = verdict == quarantine_verdict::suspected ||
                                   verdict == quarantine_verdict::contested;
            if (undecided && !abandoned()) {
                log_event(events::quarantine_trial, "digest={} waited_ms={:.0f}", trial_of.text(),
                          to_milliseconds(monotonic_now() - began));
                co_return trial_result::on_trial;
            }
            arbiter->release(trial_of);
            continue;
        }
        co_await pause_for(poll_interval);
    }
}

} // namespace bamboostream
