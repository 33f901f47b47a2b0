#include "bamboostream/src/Limits/permit_issuer.h"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace bamboostream {

namespace {

constexpr milliseconds slice{50};
/// The rate below which limits are not kept: one request in three seconds.
constexpr double min_rate = 0.34;
/// Permits that are kept for requests to come. The second one lets less urgent requests wait for
/// more than one, and yet get every permit while no other request comes.
constexpr double max_kept = 2.0;
constexpr double max_kept_per_rate = 0.1;
/// A less urgent request needs that many permits to be left before it gets one.
constexpr double low_rank_threshold = 1.5;
/// Membership changes reach all instances within this time. Until then, an issuer that is replaced
/// may go on, and the standby issues in place of an owner that doesn't answer.
constexpr milliseconds view_lag{1'000};
/// An owner that was the standby goes on at that rate until the previous one has stopped. Another
/// one settles in twice the time, so that owners that change every second, each of which acts for
/// two, issue 1.2 x the limit together.
constexpr milliseconds settling_time = 2 * view_lag;
constexpr double unsettled_rate = 0.6;
/// Time in which the requests of a server are bounded, and the seconds of its limit and the further
/// requests that all issuers together may issue in it.
constexpr milliseconds window{4'000};
constexpr double window_seconds = 4.0;
constexpr double all_seconds = 6.0;
constexpr double all_slack = 5.0;
/// The part of an owner, which covers a steady rate of the whole limit.
constexpr double owner_seconds = 4.0;
constexpr double owner_slack = 3.0;
/// What remains, for an issuer that acts beside an owner. Two instances that both take themselves
/// for the standby issue 1.5 x the limit together.
constexpr double second_seconds = all_seconds - owner_seconds;
constexpr double second_slack = all_slack - owner_slack;
constexpr double standby_rate = 0.75;
constexpr duration max_wait = seconds(3);
constexpr duration no_issuer_wait = milliseconds(200);

double max_kept_permits(double limit) {
    return max_kept + max_kept_per_rate * limit;
}

double threshold(int priority) {
    return priority > 0 ? low_rank_threshold : 1.0;
}

} // namespace

void permit_issuer::update_instance_count(std::size_t live, std::size_t ended, time_point now) {
    instances_.update(live, ended, now);
    const double part = static_cast<double>(live) / static_cast<double>(instances_.max_recent());
    if (part > part_ && !part_grown_at_) {
        part_grown_at_ = now;
    } else if (part <= part_ || now - *part_grown_at_ >= view_lag) {
        part_ = part;
        part_grown_at_.reset();
    }
}

bool permit_issuer::is_settled(const account& known, time_point now) const {
    const bool was_standby = known.began_at < known.role_since;
    return known.role == issuer_role::owner &&
           (instances_.lost_only_ended(now) ||
            now - known.role_since >= (was_standby ? view_lag : settling_time));
}

double permit_issuer::window_cap(const permit_terms& terms, const account& known,
                                 time_point now) const {
    const double limit = terms.per_second;
    const double part = part_ * (all_seconds * limit + all_slack);
    if (!is_settled(known, now)) {
        return std::min(part, second_seconds * limit + second_slack);
    }
    // What a standby issued in the time before leaves the window in its last second.
    const double standby_in_window = std::clamp(
        to_milliseconds(known.began_at + window - now) / to_milliseconds(view_lag), 0.0, 1.0);
    const double by_standby =
        standby_rate * limit * to_milliseconds(view_lag) / 1'000.0 + max_kept_permits(limit);
    return std::clamp(part - standby_in_window * by_standby, 0.0,
                      owner_seconds * limit + owner_slack);
}

double permit_issuer::rate(const permit_terms& terms, const account& known, time_point now) const {
    if (terms.role == issuer_role::none) {
        return 0.0;
    }
    const bool was_standby = known.began_at < known.role_since;
    const double factor = is_settled(known, now)                              ? 1.0
                          : terms.role == issuer_role::standby || was_standby ? standby_rate
                                                                              : unsettled_rate;
    return std::min(factor * std::max(terms.per_second, min_rate),
                    part_ * (all_seconds * terms.per_second + all_slack) / window_seconds);
}

duration permit_issuer::time_until(double most, const account& known, time_point now) {
    constexpr auto count = static_cast<std::int64_t>(slice_count);
    auto recent = std::accumulate(known.issued.begin(), known.issued.end(), 0U);
    for (std::int64_t i = 1; i <= count; ++i) {
        const std::int64_t oldest = known.latest_slice - count + i;
        recent -= known.issued.at(static_cast<std::size_t>((oldest + count) % count));
        if (static_cast<double>(recent) <= most) {
            return time_point((known.latest_slice + i) * slice) - now;
        }
    }
    return window;
}

void permit_issuer::advance(account& known, time_point now) {
    const std::int64_t current = now.time_since_epoch() / slice;
    const auto passed = std::min<std::int64_t>(current - known.latest_slice,
                                               static_cast<std::int64_t>(slice_count));
    for (std::int64_t i = 1; i <= passed; ++i) {
        known.issued.at(static_cast<std::size_t>((current - passed + i) %
                                                 static_cast<std::int64_t>(slice_count))) = 0;
    }
    known.latest_slice = std::max(known.latest_slice, current);
}

permit_issuer::account& permit_issuer::update(const permit_terms& terms, time_point now) {
    const auto [found, is_new] = accounts_.try_emplace(terms.server);
    account& known = found->second;
    if (is_new || known.role != terms.role) {
        const bool continues =
            known.role == issuer_role::standby && terms.role == issuer_role::owner;
        if (!continues) {
            known.permits = std::min(known.permits, 0.0);
            known.began_at = now;
            known.updated = now;
        }
        known.role = terms.role;
        known.role_since = now;
    }
    const double limit = std::max(terms.per_second, min_rate);
    const double elapsed = to_milliseconds(now - known.updated) / 1'000.0;
    known.permits =
        std::min(known.permits + elapsed * rate(terms, known, now), max_kept_permits(limit));
    known.updated = now;
    advance(known, now);
    return known;
}

permit_decision permit_issuer::check(const permit_terms& terms, time_point now) {
    if (terms.role == issuer_role::none && !accounts_.contains(terms.server)) {
        return {false, no_issuer_wait};
    }
    const account& known = update(terms, now);
    const double current_rate = rate(terms, known, now);
    if (current_rate <= 0.0) {
        return {false, no_issuer_wait};
    }
    const double missing = threshold(terms.priority) - known.permits;
    if (missing > 0.0) {
        const duration wait = from_milliseconds(1'000.0 * missing / current_rate);
        return {false, std::min(wait, max_wait)};
    }
    const auto recent = std::accumulate(known.issued.begin(), known.issued.end(), 0U);
    const double cap = std::max(window_cap(terms, known, now), 1.0);
    if (static_cast<double>(recent) + 1.0 > cap) {
        return {false, std::min(time_until(cap - 1.0, known, now), max_wait)};
    }
    return {true, {}};
}

void permit_issuer::spend(account& known) {
    known.permits -= 1.0;
    ++known.issued.at(
        static_cast<std::size_t>(known.latest_slice % static_cast<std::int64_t>(slice_count)));
}

permit_decision permit_issuer::issue(const permit_terms& terms, time_point now) {
    const permit_decision decision = check(terms, now);
    if (decision.granted) {
        spend(accounts_[terms.server]);
        ++issued_;
    }
    return decision;
}

void permit_issuer::record_unpermitted_send(const permit_terms& terms, time_point now) {
    spend(update(terms, now));
}

} // namespace bamboostream
