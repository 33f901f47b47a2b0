#include "bamboostream/src/Forwarding/latency_metrics.h"

#include <algorithm>
#include <array>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>
#include <fmt/format.h>
#include <iterator>
#include <string_view>
#include <vector>

namespace bamboostream {

namespace bh = boost::histogram;

namespace {

/// Bucket bounds in seconds. They include common latency objectives, so that the share of requests
/// within an objective can be read directly.
const std::vector<double> bounds_s = {0.0, 0.005, 0.01, 0.025, 0.05, 0.1, 0.18, 0.3,  0.5,
                                      0.8, 1.0,   1.5,  1.8,   2.5,  5.0, 10.0, 20.0, 40.0};

using axis = bh::axis::variable<double, bh::use_default, bh::axis::option::overflow_t>;
using distribution = decltype(bh::make_histogram(axis(bounds_s)));

constexpr std::size_t stages = static_cast<std::size_t>(latency_stage::count_);
constexpr std::array<std::string_view, stages> stage_names = {
    "request_seconds", "first_event_seconds", "longest_pause_seconds", "view_age_seconds"};
constexpr std::array<std::string_view, 3> repeat_names = {"once", "repeatable", "resumable"};

/// Longer durations are clamped to this value, which keeps the sum finite.
constexpr duration max_recorded = std::chrono::hours(1);

struct histogram_series {
    distribution times = bh::make_histogram(axis(bounds_s));
    double sum_s = 0.0;
};

void append_buckets(std::string& out, std::string_view name, std::string_view repeats,
                    const histogram_series& of) {
    auto to = std::back_inserter(out);
    double cumulative = 0.0;
    for (const auto& bin : bh::indexed(of.times, bh::coverage::all)) {
        cumulative += *bin;
        const double bound = bin.bin().upper();
        const std::string le = std::isinf(bound) ? "+Inf" : fmt::format("{}", bound);
        fmt::format_to(to, "bamboostream_{}_bucket{{repeats=\"{}\",le=\"{}\"}} {:.0f}\n", name,
                       repeats, le, cumulative);
    }
    fmt::format_to(to, "bamboostream_{0}_sum{{repeats=\"{1}\"}} {2:.3f}\n", name, repeats,
                   of.sum_s);
    fmt::format_to(to, "bamboostream_{0}_count{{repeats=\"{1}\"}} {2:.0f}\n", name, repeats,
                   cumulative);
}

} // namespace

struct latency_metrics::series {
    std::array<std::array<histogram_series, repeat_names.size()>, stages> all;
};

latency_metrics::latency_metrics() : series_(std::make_unique<series>()) {}
latency_metrics::~latency_metrics() = default;

void latency_metrics::record(latency_stage stage, repeat_policy repeats, duration elapsed) {
    histogram_series& one =
        series_->all.at(static_cast<std::size_t>(stage)).at(static_cast<std::size_t>(repeats));
    const double seconds_taken = to_milliseconds(std::min(elapsed, max_recorded)) / 1000.0;
    one.times(seconds_taken);
    one.sum_s += seconds_taken;
}

std::string latency_metrics::exposition() const {
    std::string out;
    for (std::size_t stage = 0; stage < stages; ++stage) {
        fmt::format_to(std::back_inserter(out), "# TYPE bamboostream_{} histogram\n",
                       stage_names.at(stage));
        for (std::size_t repeats = 0; repeats < repeat_names.size(); ++repeats) {
            append_buckets(out, stage_names.at(stage), repeat_names.at(repeats),
                           series_->all.at(stage).at(repeats));
        }
    }
    return out;
}

} // namespace bamboostream
