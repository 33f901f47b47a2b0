#include "bamboostream/src/Lengths/length_estimator.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numbers>

namespace bamboostream {

namespace {

/// How many outputs the experience of the next wider circle counts for, in each bin.
constexpr double prior_outputs = 6.0;
/// Before anything is known: log-normal around some hundred tokens, counting for few outputs.
constexpr double first_guess_median = 150.0;
constexpr double first_guess_sigma = 1.0;
constexpr double first_guess_outputs = 2.0;
constexpr std::size_t most_subjects = 20'000;
/// A curve is worked out again once this share of its outputs is new.
constexpr std::uint32_t changes_a_curve = 64;

using hazards = std::array<double, life_table::bin_count>;

double log_normal_survival(double tokens) {
    const double z = std::log(tokens / first_guess_median) / first_guess_sigma;
    return 0.5 * std::erfc(z / std::numbers::sqrt2);
}

const hazards& first_guess() {
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

length_key length_estimator::key(const length_subject& subject) {
    const bool full = entries_.size() >= most_subjects;
    const std::string kind = fmt::format("{}\x1f{}", subject.model, subject.kind);
    const std::string name = full ? kind : fmt::format("{}\x1f{}", kind, subject.workspace);
    const auto [found, is_new] =
        subject_index_.try_emplace(name, static_cast<std::uint32_t>(entries_.size()));
    if (is_new) {
        entry& e = entries_.emplace_back();
        e.kind = table_index(kind);
        e.model = table_index(subject.model);
    }
    return length_key{found->second};
}

void length_estimator::progressed(length_key key, std::uint32_t from, std::uint32_t to) {
    if (life_table::bin_of(from) == life_table::bin_of(to)) {
        return;
    }
    entry& e = entries_[static_cast<std::uint32_t>(key)];
    e.own.passed(from, to);
    tables_[e.kind].passed(from, to);
    tables_[e.model].passed(from, to);
    ++e.changes;
}

void length_estimator::finished(length_key key, std::uint32_t tokens) {
    entry& e = entries_[static_cast<std::uint32_t>(key)];
    e.own.ended(tokens);
    tables_[e.kind].ended(tokens);
    tables_[e.model].ended(tokens);
    ++e.changes;
    ++e.ended;
}

const length_curve& length_estimator::curve_of(length_key key) const {
    const entry& e = entries_[static_cast<std::uint32_t>(key)];
    if (e.changes > std::min(changes_a_curve, e.ended / 4)) {
        hazards chances{};
        for (std::size_t i = 0; i < chances.size(); ++i) {
            const double model = tables_[e.model].hazard(i, first_guess()[i], first_guess_outputs);
            const double kind = tables_[e.kind].hazard(i, model, prior_outputs);
            chances[i] = e.own.hazard(i, kind, prior_outputs);
        }
        e.curve = length_curve(chances);
        e.changes = 0;
    }
    return e.curve;
}

double length_estimator::remaining(length_key key, std::uint32_t reached, double q) const {
    return curve_of(key).conditional_quantile(reached, q) - reached;
}

void length_estimator::survival_ahead(length_key key, double reached, std::span<const double> ahead,
                                      std::span<double> out) const {
    const length_curve& known = curve_of(key);
    const double now = reached + 0.5;
    const double alive = known.survival(now);
    for (std::size_t i = 0; i < ahead.size(); ++i) {
        // Longer than anything possible: as likely to double as not.
        out[i] = alive > 0.0 ? known.survival(now + ahead[i]) / alive : now / (now + ahead[i]);
    }
}

double length_estimator::expected(length_key key) const {
    return curve_of(key).mean();
}

} // namespace bamboostream
