#include "bamboostream/src/Limits/retry_delay.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// Delay after a transient overload: half the objective, at most doubled by randomization.
constexpr double transient_fraction = 0.5;
constexpr double transient_spread = 2.0;
constexpr milliseconds min_transient_delay{100};
constexpr milliseconds max_transient_delay{1'000};
/// Callers honour a retry delay of at most this fraction of their remaining timeout.
constexpr double max_wait_fraction = 1.0 / 3.0;
/// Randomization of delays close to the longest that callers honour: a smaller spread leaves more
/// of it for the delay itself.
constexpr double long_spread = 1.3;
/// Delay while the state is unknown: a quarter of the caller's timeout, which `long_spread` raises
/// to just under the third that callers honour.
constexpr double outage_fraction = 0.25;
constexpr milliseconds min_outage_delay{100};
/// Observed outages of the store last 2 to 9 s; half of them are over by then.
constexpr milliseconds max_outage_delay{5'000};
/// Fraction of the objective after which a retry is still expected to meet it.
constexpr double max_hold_fraction = 0.6;
constexpr double min_hold_fraction = 0.3;
/// Callers refused during a hold return over this time after its end, so that the prompts of those
/// who return don't queue at once.
constexpr milliseconds return_spread{400};
/// Longest delay: by then the engines whose generations the hold is for have gone.
constexpr milliseconds max_hold_delay{2'000};
/// Short, since callers send the retry to another address.
constexpr milliseconds leaving_delay{50};

duration randomize(duration base, double most, std::mt19937_64& random) {
    return std::chrono::duration_cast<duration>(
        base * std::uniform_real_distribution<double>(1.0, most)(random));
}

duration fraction_of(duration whole, double part, milliseconds least, milliseconds most) {
    const auto wanted = std::chrono::duration_cast<duration>(whole * part);
    return std::clamp<duration>(wanted, least, most);
}

duration delay_after_hold(const refused_request& request, std::mt19937_64& random) {
    const duration objective = request.objective > duration{} ? request.objective : max_hold_delay;
    duration latest =
        fraction_of(objective, max_hold_fraction, min_transient_delay, max_hold_delay);
    if (request.caller_timeout) {
        latest = std::min(latest, std::chrono::duration_cast<duration>(*request.caller_timeout *
                                                                       max_wait_fraction));
    }
    duration earliest =
        std::clamp<duration>(request.hold, min_transient_delay, max_hold_delay - return_spread);
    if (earliest >= latest) {
        earliest = std::min(
            latest, fraction_of(objective, min_hold_fraction, min_transient_delay, max_hold_delay));
    }
    const duration end = std::min(latest, earliest + return_spread);
    return duration(
        std::uniform_int_distribution<duration::rep>(earliest.count(), end.count())(random));
}

} // namespace

duration choose_retry_delay(const refused_request& request, std::mt19937_64& random) {
    if (request.cause == refusal_cause::leaving) {
        return leaving_delay;
    }
    if (request.cause == refusal_cause::quarantined) {
        return request.quarantine;
    }
    if (request.cause == refusal_cause::memory_reserved) {
        return delay_after_hold(request, random);
    }
    const bool awaits_servers = request.cause == refusal_cause::state_unknown ||
                                request.cause == refusal_cause::version_unavailable;
    if (awaits_servers && request.caller_timeout) {
        const duration base = fraction_of(*request.caller_timeout, outage_fraction,
                                          min_outage_delay, max_outage_delay);
        return randomize(base, long_spread, random);
    }
    const duration objective =
        request.objective > duration{} ? request.objective : duration(2 * max_transient_delay);
    const duration transient_delay =
        fraction_of(objective, transient_fraction, min_transient_delay, max_transient_delay);
    if (request.cause == refusal_cause::awaiting_trial) {
        return request.quarantine + randomize(transient_delay, transient_spread, random);
    }
    if (request.overload <= transient_delay || !request.caller_timeout) {
        return randomize(std::max(transient_delay, request.permit_wait), transient_spread, random);
    }
    const auto max_accepted =
        std::chrono::duration_cast<duration>(*request.caller_timeout * max_wait_fraction);
    const auto latest = std::chrono::duration_cast<duration>(max_accepted / long_spread);
    const duration delay =
        std::min(randomize(request.overload, transient_spread, random),
                 randomize(std::max(transient_delay, latest), long_spread, random));
    return std::max(delay, request.permit_wait);
}

} // namespace bamboostream
