#include "bamboostream/src/Report/request_metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

namespace bamboostream {

namespace acc = boost::accumulators;

namespace {

using distribution = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::p_square_quantile>>;

constexpr double high_quantile = 0.95;
constexpr std::size_t max_kept_minutes = 24 * 60;

distribution make_distribution() {
    return distribution(acc::quantile_probability = high_quantile);
}

} // namespace

struct request_metrics::series {
    std::array<std::uint64_t, 4> outcomes{};
    std::uint64_t tokens = 0;
    std::uint64_t resumed = 0;
    std::uint64_t dropped_events = 0;
    std::uint64_t restarts = 0;
    distribution first_token = make_distribution();
    distribution longest_gap = make_distribution();
    distribution mean_gap = make_distribution();
    std::deque<burn_bucket> buckets;
};

request_metrics::request_metrics() = default;
request_metrics::~request_metrics() = default;

void request_metrics::record(const request_sample& sample, const service_objectives& objectives,
                             time_point now) {
    const std::lock_guard lock(mutex_);
    auto& entry = series_[{sample.workspace, sample.pool}];
    if (!entry) {
        entry = std::make_unique<series>();
    }
    series& s = *entry;
    ++s.outcomes[static_cast<std::size_t>(sample.result)];
    s.tokens += sample.tokens;
    s.resumed += sample.resumed;
    s.dropped_events += sample.dropped_events;
    s.restarts += sample.restarts;
    if (sample.tokens > 0) {
        s.first_token(sample.first_token_ms);
        s.longest_gap(sample.longest_gap_ms);
        s.mean_gap(sample.mean_gap_ms);
    }
    const auto minute =
        std::chrono::duration_cast<std::chrono::minutes>(now.time_since_epoch()).count();
    if (s.buckets.empty() || s.buckets.back().minute != minute) {
        s.buckets.push_back({minute, 0, 0, 0, 0, 0});
        if (s.buckets.size() > max_kept_minutes) {
            s.buckets.pop_front();
        }
    }
    const auto over = [](double value, double limit) { return limit > 0.0 && value > limit; };
    burn_bucket& bucket = s.buckets.back();
    ++bucket.requests;
    bucket.late_first_token += over(sample.first_token_ms, objectives.first_token_ms) ? 1 : 0;
    bucket.slow_inter_token += over(sample.mean_gap_ms, objectives.inter_token_ms) ? 1 : 0;
    bucket.stalled += over(sample.longest_gap_ms, objectives.stall_ms) ? 1 : 0;
    bucket.not_completed += sample.result != outcome::completed ? 1 : 0;
}

std::string request_metrics::exposition() const {
    const std::lock_guard lock(mutex_);
    std::string out;
    const auto header = [&](std::string_view name, std::string_view type, std::string_view help) {
        fmt::format_to(std::back_inserter(out), "# HELP {} {}\n# TYPE {} {}\n", name, help, name,
                       type);
    };
    header("bamboostream_requests_total", "counter", "Finished requests by outcome.");
    for (const auto& [key, s] : series_) {
        for (std::size_t i = 0; i < s->outcomes.size(); ++i) {
            fmt::format_to(
                std::back_inserter(out),
                "bamboostream_requests_total{{workspace=\"{}\",pool=\"{}\",outcome=\"{}\"}} {}\n",
                key.workspace, key.pool, to_string(static_cast<outcome>(i)), s->outcomes[i]);
        }
    }
    const auto counter = [&](std::string_view name, std::string_view help, auto member) {
        header(name, "counter", help);
        for (const auto& [key, s] : series_) {
            fmt::format_to(std::back_inserter(out), "{}{{workspace=\"{}\",pool=\"{}\"}} {}\n", name,
                           key.workspace, key.pool, (*s).*member);
        }
    };
    counter("bamboostream_tokens_total", "Tokens delivered.", &series::tokens);
    counter("bamboostream_resumed_total", "Links to engines replaced.", &series::resumed);
    counter("bamboostream_dropped_events_total", "Foreign or repeated events dropped.",
            &series::dropped_events);
    counter("bamboostream_restarts_total", "Generations started again.", &series::restarts);
    const auto summary = [&](std::string_view name, std::string_view help, auto member) {
        header(name, "summary", help);
        for (const auto& [key, s] : series_) {
            const distribution& d = (*s).*member;
            if (acc::count(d) == 0) {
                continue;
            }
            fmt::format_to(std::back_inserter(out),
                           "{0}{{workspace=\"{1}\",pool=\"{2}\",quantile=\"{3}\"}} {4}\n"
                           "{0}_sum{{workspace=\"{1}\",pool=\"{2}\"}} {5}\n"
                           "{0}_count{{workspace=\"{1}\",pool=\"{2}\"}} {6}\n",
                           name, key.workspace, key.pool, high_quantile, acc::p_square_quantile(d),
                           acc::sum(d), acc::count(d));
        }
    };
    summary("bamboostream_first_token_ms", "Time to the first token.", &series::first_token);
    summary("bamboostream_longest_gap_ms", "Longest silence of a stream.", &series::longest_gap);
    summary("bamboostream_inter_token_ms", "Mean time between tokens.", &series::mean_gap);
    return out;
}

std::vector<request_metrics::burn_row> request_metrics::burn_rows() const {
    const std::lock_guard lock(mutex_);
    std::vector<burn_row> out;
    for (const auto& [key, s] : series_) {
        out.push_back({key.workspace, key.pool, {s->buckets.begin(), s->buckets.end()}});
    }
    return out;
}

} // namespace bamboostream
