#pragma once

#include "bamboostream/src/Lengths/life_table.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// What the length of an output depends on: the workspace, the model, and the kind of output that
/// the caller declares (a label, a summary, a draft).
struct length_category {
    std::string workspace;
    std::string model;
    std::string kind;
};

/// Handle to the estimate of one category; valid for the lifetime of the estimator.
enum class length_key : std::uint32_t {};

/// Estimates output lengths by category from observed outputs.
///
/// The estimates are hierarchical: a category with few observations falls back on the kind over all
/// workspaces, that on the model, and that on a wide prior. The fallback applies to each bin of
/// lengths separately, with a weight that decreases as the bin's own counts grow. The number of
/// categories is bounded; beyond it, new ones share an entry for each model and kind.
///
/// Not thread-safe, also for const members, which recompute cached curves.
///
/// Example: `estimator.remaining_quantile(estimator.key({"acme", "m1", "label"}), 12, 0.5)`.
class length_estimator {
public:
    /// Returns the handle of a category; adds the category if it is new.
    length_key key(const length_category& category);
    /// Records that an output grew from `from` to `to` tokens.
    void record_progress(length_key key, std::uint32_t from, std::uint32_t to);
    /// Records that an output ended by itself with `tokens` tokens. For one that was cut off
    /// nothing is recorded beyond its progress.
    void record_end(length_key key, std::uint32_t tokens);
    /// Quantile `q` of the number of further tokens of an output that has `reached` tokens.
    double remaining_quantile(length_key key, std::uint32_t reached, double q) const;
    /// Writes to `out`, for each element of `ahead`, the probability that an output which has
    /// `reached` tokens continues for more than that many further tokens.
    void conditional_survival(length_key key, double reached, std::span<const double> ahead,
                              std::span<double> out) const;
    /// The mean final length of a new output.
    double expected_length(length_key key) const;
    /// Number of categories.
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        life_table own;
        std::uint32_t kind = 0;
        std::uint32_t model = 0;
        mutable survival_curve curve;
        mutable std::uint32_t changes = 1;
        std::uint32_t ended = 0;
    };
    std::uint32_t table_index(const std::string& name);
    const survival_curve& curve_of(length_key key) const;

    std::vector<entry> entries_;
    /// Tables of the kinds and of the models.
    std::vector<life_table> tables_;
    std::unordered_map<std::string, std::uint32_t> category_index_;
    std::unordered_map<std::string, std::uint32_t> table_index_;
};

} // namespace bamboostream
