#include "bamboostream/src/Limits/retry_delay.h"

#include <algorithm>

namespace bamboostream {

namespace {

/// After a crowd: half the objective, doubled at most by the spread.
constexpr double crowd_part = 0.5;
constexpr double crowd_spread = 2.0;
constexpr milliseconds least_after_crowd{100};
constexpr milliseconds most_after_crowd{1'000};
/// Callers wait at most this part of their patience.
constexpr double honoured_part = 1.0 / 3.0;
/// Of times near the latest that callers honour: less spread leaves more of that for the wait.
constexpr double lasting_spread = 1.3;
/// While nothing is known: a quarter of the patience, with the spread just under what they wait.
constexpr double outage_part = 0.25;
constexpr milliseconds least_after_outage{100};
/// Outages of the store last 2 to 9 s on the days seen; half of them are over by then.
constexpr milliseconds most_after_outage{5'000};
/// Callers use another address after a refusal.
constexpr milliseconds elsewhere{50};

duration spread(duration base, double most, std::mt19937_64& random) {
    return std::chrono::duration_cast<duration>(
        base * std::uniform_real_distribution<double>(1.0, most)(random));
}

duration part_of(duration whole, double part, milliseconds least, milliseconds most) {
    const auto wanted = std::chrono::duration_cast<duration>(whole * part);
    return std::clamp<duration>(wanted, least, most);
}

} // namespace

duration choose_retry_delay(const refused_request& request, std::mt19937_64& random) {
    if (request.cause == refusal_cause::leaving) {
        return elsewhere;
    }
    if (request.cause == refusal_cause::quarantined) {
        return request.quarantine;
    }
    if (request.cause == refusal_cause::state_unknown && request.patience) {
        const duration base =
            part_of(*request.patience, outage_part, least_after_outage, most_after_outage);
        return spread(base, lasting_spread, random);
    }
    const duration objective =
        request.objective > duration{} ? request.objective : duration(2 * most_after_crowd);
    const duration moment = part_of(objective, crowd_part, least_after_crowd, most_after_crowd);
    if (request.overload <= moment || !request.patience) {
        return spread(moment, crowd_spread, random);
    }
    const auto honoured = std::chrono::duration_cast<duration>(*request.patience * honoured_part);
    const auto latest = std::chrono::duration_cast<duration>(honoured / lasting_spread);
    return std::min(spread(request.overload, crowd_spread, random),
                    spread(std::max(moment, latest), lasting_spread, random));
}

} // namespace bamboostream
