#include "bamboostream/src/Routing/server_pace.h"

#include <algorithm>
#include <cmath>

namespace bamboostream {

namespace {

/// A server's own samples have the same weight as the mean of its service after this many
/// intervals: less than one stream brings in a second.
constexpr double server_prior_intervals = 6.0;
/// Samples of a server decay exponentially with the intervals observed since, on this scale: some 5
/// to 10 s at a loaded engine, while disturbances of machines last 0.6 s.
constexpr double server_retention_intervals = 300.0;
/// Samples also lose weight with time, to half after this: a server that gets no streams because of
/// its pace is tried again after some minutes.
constexpr seconds server_half_life{60};
/// An estimate is computed anew for a choice if the server's latest sample is older than this.
constexpr seconds max_cached_age{2};
constexpr double service_retention_intervals = 20'000.0;
/// Scale on which the intervals of a band decay: enough to measure a share of 1 in 10,000.
constexpr double band_retention_intervals = 50'000.0;
/// Width of the bands of the ratio of pace to pause objective; the last band has no upper limit.
constexpr double band_width = 0.05;
/// The share of late intervals expected in a band without samples is exp(-prior_slope / ratio),
/// with the weight of `band_prior_intervals`. The slope fits 45 of 107 streams of 189 events with a
/// late pause at a ratio of 0.39, and none of 593 at 0.16.
constexpr double prior_slope = 2.3;
constexpr double band_prior_intervals = 1'000.0;
/// Upper limits of the weight of one sample, of the late intervals that it counts for, and of its
/// mean relative to that of the service. Most samples are the 10 to 30 intervals that an instance
/// observes at a server between two reports, with at most one or two late ones.
constexpr double max_sample_intervals = 60.0;
constexpr double max_sample_late = 3.0;
constexpr double max_mean_ratio = 4.0;
constexpr double max_interval_ms = 10'000.0;
/// A server counts as slow from this multiple of the median pace, and as recovered below the other.
/// Differences below a third arise from load alone.
constexpr double slow_ratio = 1.7;
constexpr double recovered_ratio = 1.35;
/// Only servers with this many intervals are judged, so that one disturbance doesn't make a server
/// slow.
constexpr double min_judged_intervals = 40.0;

/// A figure above the lowest one raises it by this part of the difference: the machine of one in
/// ten responses is disturbed, and a machine that has become slow is known after some 50 responses.
constexpr double host_rise = 0.02;
constexpr double max_host_percent = 10'000.0;
constexpr double cautious_quantile = 0.75;
/// The quantile is computed over all servers, so not for each sample.
constexpr std::uint32_t observations_per_update = 64;

double prior_rate(std::size_t band) {
    return std::exp(-prior_slope / ((static_cast<double>(band) + 0.5) * band_width));
}

} // namespace

double server_pace::service_entry::late_rate(double ratio) const {
    const double position =
        std::clamp(ratio / band_width - 0.5, 0.0, static_cast<double>(band_count - 1));
    const auto lower = std::min(static_cast<std::size_t>(position), band_count - 2);
    const double part = position - static_cast<double>(lower);
    return late_rates[lower] + part * (late_rates[lower + 1] - late_rates[lower]);
}

/// Isotonic regression: adjacent bands whose shares fall are pooled.
void server_pace::service_entry::update_late_rates() {
    struct pool {
        double weight;
        double late;
        std::size_t end;
    };
    std::array<pool, band_count> pools{};
    std::size_t count = 0;
    for (std::size_t i = 0; i < band_count; ++i) {
        static const std::array<double, band_count> priors = [] {
            std::array<double, band_count> out{};
            for (std::size_t b = 0; b < band_count; ++b) {
                out[b] = prior_rate(b);
            }
            return out;
        }();
        pools[count++] = {bands[i].intervals + band_prior_intervals,
                          bands[i].late + band_prior_intervals * priors[i], i + 1};
        while (count > 1 && pools[count - 2].late * pools[count - 1].weight >
                                pools[count - 1].late * pools[count - 2].weight) {
            pools[count - 2].weight += pools[count - 1].weight;
            pools[count - 2].late += pools[count - 1].late;
            pools[count - 2].end = pools[count - 1].end;
            --count;
        }
    }
    std::size_t i = 0;
    for (std::size_t p = 0; p < count; ++p) {
        const double share = std::min(pools[p].late / pools[p].weight, 0.999);
        const double rate = -std::log1p(-share);
        for (; i < pools[p].end; ++i) {
            late_rates[i] = rate;
        }
    }
}

double server_pace::server_entry::remaining_intervals() const {
    const double age = std::chrono::duration<double>(service->at - at).count();
    const double half_life = std::chrono::duration<double>(server_half_life).count();
    return age > 0.0 ? intervals * half_life / (half_life + age) : intervals;
}

double server_pace::server_entry::prior_ms() const {
    if (host_percent <= 0.0 || service->host_intervals <= 0.0) {
        return service->mean_ms();
    }
    const double ratio = host_percent * service->host_intervals / service->host_sum;
    return service->mean_ms() * std::clamp(ratio, 1.0 / max_mean_ratio, max_mean_ratio);
}

double server_pace::server_entry::ms_per_event() const {
    return service->at - at < max_cached_age ? latest_ms : estimate_ms();
}

double server_pace::server_entry::estimate_ms() const {
    const double own = intervals > 0.0 ? remaining_intervals() : 0.0;
    const double own_ms = intervals > 0.0 ? own * total_ms / intervals : 0.0;
    return (own_ms + server_prior_intervals * prior_ms()) / (own + server_prior_intervals);
}

server_pace::service_entry& server_pace::entry_of(const service_id& service) {
    service_entry& out = services_[service];
    if (out.id != service) {
        out.id = service;
        out.update_late_rates();
    }
    return out;
}

server_pace::server_entry& server_pace::server_of(service_entry& service, std::uint64_t server_hash,
                                                  time_point now) {
    server_entry& own = servers_[server_hash];
    if (own.service != &service) {
        own = {};
        own.service = &service;
        own.at = now;
    }
    return own;
}

void server_pace::observe_host(const service_id& service, std::uint64_t server_hash, int percent,
                               time_point now) {
    if (percent <= 0) {
        return;
    }
    server_entry& own = server_of(entry_of(service), server_hash, now);
    const double figure = std::min<double>(percent, max_host_percent);
    own.host_percent = own.host_percent <= 0.0 || figure < own.host_percent
                           ? figure
                           : own.host_percent + host_rise * (figure - own.host_percent);
    if (own.intervals <= 0.0) {
        own.at = now;
    }
    own.latest_ms = own.estimate_ms();
}

void server_pace::update_cautious_pace(service_entry& service) const {
    std::vector<double> paces;
    for (const auto& [hash, own] : servers_) {
        if (own.service == &service) {
            paces.push_back(own.ms_per_event());
        }
    }
    if (!paces.empty()) {
        const auto at = paces.begin() + static_cast<std::ptrdiff_t>(
                                            cautious_quantile * static_cast<double>(paces.size()));
        std::nth_element(paces.begin(), at, paces.end());
        service.cautious_ms = *at;
    }
}

void server_pace::observe(const service_id& service, std::uint64_t server_hash,
                          const pace_sample& sample, time_point now) {
    if (!(sample.intervals > 0.0) || !(sample.total_ms > 0.0)) {
        return;
    }
    service_entry& common = entry_of(service);
    const double weight = std::min(sample.intervals, max_sample_intervals);
    double mean = std::min(sample.total_ms / sample.intervals, max_interval_ms);
    if (common.intervals > 0.0) {
        mean = std::min(mean, max_mean_ratio * common.mean_ms());
    }
    const auto add = [&](double& intervals, double& ms, double retention) {
        const double kept = std::max(0.0, 1.0 - weight / retention);
        intervals = intervals * kept + weight;
        ms = ms * kept + weight * mean;
    };
    add(common.intervals, common.total_ms, service_retention_intervals);
    common.at = std::max(common.at, now);
    server_entry& own = server_of(common, server_hash, now);
    if (own.host_percent > 0.0) {
        const double kept = std::max(0.0, 1.0 - weight / service_retention_intervals);
        common.host_intervals = common.host_intervals * kept + weight;
        common.host_sum = common.host_sum * kept + weight * own.host_percent;
    }
    if (own.intervals > 0.0) {
        const double remaining = own.remaining_intervals() / own.intervals;
        own.intervals *= remaining;
        own.total_ms *= remaining;
    }
    add(own.intervals, own.total_ms, server_retention_intervals);
    own.at = now;
    own.latest_ms = own.estimate_ms();
    if (common.observations++ % observations_per_update == 0) {
        update_cautious_pace(common);
    }
    const double objective_ms = to_milliseconds(sample.pause_objective);
    if (objective_ms <= 0.0) {
        return;
    }
    const double ratio = own.ms_per_event() / objective_ms;
    band& of = common.bands[std::min(static_cast<std::size_t>(ratio / band_width), band_count - 1)];
    const double kept = 1.0 - weight / band_retention_intervals;
    of.intervals = of.intervals * kept + weight;
    of.late = of.late * kept + std::clamp(sample.late, 0.0, std::min(weight, max_sample_late));
    common.update_late_rates();
}

double server_pace::ms_per_event(const service_id& service, std::uint64_t server_hash) const {
    if (const auto own = servers_.find(server_hash); own != servers_.end()) {
        return own->second.ms_per_event();
    }
    const auto common = services_.find(service);
    return common != services_.end() ? common->second.mean_ms() : 0.0;
}

server_pace::rated server_pace::rate(const service_id& service, std::uint64_t server_hash,
                                     duration pause_objective) const {
    const service_entry* common = nullptr;
    rated out;
    if (const auto own = servers_.find(server_hash); own != servers_.end()) {
        common = own->second.service;
        out.ms_per_event = own->second.ms_per_event();
    } else if (const auto found = services_.find(service); found != services_.end()) {
        common = &found->second;
        out.ms_per_event = common->cautious_ms;
    }
    if (common != nullptr && pause_objective > duration{}) {
        out.late_rate = common->late_rate(out.ms_per_event / to_milliseconds(pause_objective));
    }
    return out;
}

double server_pace::late_risk(const service_id& service, std::uint64_t server_hash,
                              duration pause_objective, double events) const {
    return -std::expm1(-std::max(events, 0.0) * late_rate(service, server_hash, pause_objective));
}

std::optional<server_pace::estimate> server_pace::find(std::uint64_t server_hash) const {
    const auto own = servers_.find(server_hash);
    if (own == servers_.end() || own->second.intervals <= 0.0) {
        return std::nullopt;
    }
    return estimate{own->second.ms_per_event(), own->second.remaining_intervals(),
                    own->second.slow};
}

const service_id* server_pace::service_of(std::uint64_t server_hash) const {
    const auto own = servers_.find(server_hash);
    return own != servers_.end() ? &own->second.service->id : nullptr;
}

std::vector<server_pace::change> server_pace::take_changes(const service_id& service) {
    std::vector<change> out;
    std::vector<std::pair<std::uint64_t, server_entry*>> judged;
    std::vector<double> paces;
    for (auto& [hash, own] : servers_) {
        if (own.service->id == service && own.intervals > 0.0 &&
            own.remaining_intervals() >= min_judged_intervals) {
            judged.emplace_back(hash, &own);
            paces.push_back(own.ms_per_event());
        }
    }
    if (judged.empty()) {
        return out;
    }
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    const double median = *middle;
    for (const auto& [hash, own] : judged) {
        const double pace = own->ms_per_event();
        const bool slow = pace > median * (own->slow ? recovered_ratio : slow_ratio);
        if (slow != own->slow) {
            own->slow = slow;
            out.push_back({hash, slow, pace, median});
        }
    }
    return out;
}

} // namespace bamboostream
