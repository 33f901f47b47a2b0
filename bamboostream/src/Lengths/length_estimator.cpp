#include "bamboostream/src/Lengths/length_estimator.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numbers>

namespace bamboostream {

namespace {

/// Weight of the prior, which is the estimate of the next broader level (the kind, then the model),
/// in outputs for each bin.
constexpr double prior_outputs = 6.0;
/// Prior before any output has been observed: log-normal, with the weight of a few outputs.
constexpr double prior_median = 150.0;
constexpr double prior_sigma = 1.0;
constexpr double prior_weight = 2.0;
constexpr std::size_t max_categories = 20'000;
/// A curve is recomputed after more than this many updates, or earlier, after more than a quarter
/// of the outputs that have ended.
constexpr std::uint32_t updates_per_curve = 64;

using hazards = std::array<double, life_table::bin_count>;

double log_normal_survival(double tokens) {
    const double z = std::log(tokens / prior_median) / prior_sigma;
    return 0.5 * std::erfc(z / std::numbers::sqrt2);
}

const hazards& prior_hazards() {
    static const hazards table = [] {
        hazards out{};
        for (std::size_t i = 0; i < out.size(); ++i) {
            const double reaching = log_normal_survival(life_table::lower_edge(i));
            const double passing = log_normal_survival(life_table::lower_edge(i + 1));
            out[i] = reaching > 0.0 ? 1.0 - passing / reaching : 1.0;
        }
        return out;
    }();
    return table;
}

} // namespace

std::uint32_t length_estimator::table_index(const std::string& name) {
    const auto [found, is_new] =
        table_index_.try_emplace(name, static_cast<std::uint32_t>(tables_.size()));
    if (is_new) {
        tables_.emplace_back();
    }
    return found->second;
}

length_key length_estimator::key(const length_category& category) {
    const bool full = entries_.size() >= max_categories;
    const std::string kind = fmt::format("{}\x1f{}", category.model, category.kind);
    const std::string name = full ? kind : fmt::format("{}\x1f{}", kind, category.workspace);
    const auto [found, is_new] =
        category_index_.try_emplace(name, static_cast<std::uint32_t>(entries_.size()));
    if (is_new) {
        entry& e = entries_.emplace_back();
        e.kind = table_index(kind);
        e.model = table_index(category.model);
    }
    return length_key{found->second};
}

void length_estimator::record_progress(length_key key, std::uint32_t from, std::uint32_t to) {
    if (life_table::bin_of(from) == life_table::bin_of(to)) {
        return;
    }
    entry& e = entries_[static_cast<std::uint32_t>(key)];
    e.own.passed(from, to);
    tables_[e.kind].passed(from, to);
    tables_[e.model].passed(from, to);
    ++e.changes;
}

void length_estimator::record_end(length_key key, std::uint32_t tokens) {
    entry& e = entries_[static_cast<std::uint32_t>(key)];
    e.own.ended(tokens);
    tables_[e.kind].ended(tokens);
    tables_[e.model].ended(tokens);
    ++e.changes;
    ++e.ended;
}

const survival_curve& length_estimator::curve_of(length_key key) const {
    const entry& e = entries_[static_cast<std::uint32_t>(key)];
    if (e.changes > std::min(updates_per_curve, e.ended / 4)) {
        hazards chances{};
        for (std::size_t i = 0; i < chances.size(); ++i) {
            const double model = tables_[e.model].hazard(i, prior_hazards()[i], prior_weight);
            const double kind = tables_[e.kind].hazard(i, model, prior_outputs);
            chances[i] = e.own.hazard(i, kind, prior_outputs);
        }
        e.curve = survival_curve(chances);
        e.changes = 0;
    }
    return e.curve;
}

double length_estimator::remaining_quantile(length_key key, std::uint32_t reached, double q) const {
    return curve_of(key).conditional_quantile(reached, q) - reached;
}

void length_estimator::conditional_survival(length_key key, double reached,
                                            std::span<const double> ahead,
                                            std::span<double> out) const {
    const survival_curve& known = curve_of(key);
    const double now = reached + 0.5;
    const double alive = known.survival(now);
    for (std::size_t i = 0; i < ahead.size(); ++i) {
        // Beyond the longest length of the table: as likely to double in length as not.
        out[i] = alive > 0.0 ? known.survival(now + ahead[i]) / alive : now / (now + ahead[i]);
    }
}

double length_estimator::expected_length(length_key key) const {
    return curve_of(key).mean();
}

} // namespace bamboostream
