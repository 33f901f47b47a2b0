#pragma once

#include "bamboostream/src/Lengths/life_table.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboostream {

/// Names what an output's length depends on: who asks, which model, and the kind of output the
/// caller declares (a label, a summary, a draft).
struct length_subject {
    std::string workspace;
    std::string model;
    std::string kind;
};

/// A handle to what is known about one subject; stays valid for the life of the book.
enum class length_key : std::uint32_t {};

/// What is learned about output lengths, per subject. A subject that is new or rare leans on the
/// experience of its kind over all workspaces, that on the model's, and that on a wide guess; each
/// bin of lengths leans only as far as its own counts are few. Subjects are bounded in number;
/// beyond that they share one entry a model.
///
/// Example: `book.remaining(book.key({"acme", "m1", "label"}), 12, 0.5)`.
class length_estimator {
public:
    /// The handle of a subject, created when new.
    length_key key(const length_subject& subject);
    /// An output goes on: it had `from` tokens and now has `to`.
    void progressed(length_key key, std::uint32_t from, std::uint32_t to);
    /// An output ended by itself. One that was cut off is simply not heard of again.
    void finished(length_key key, std::uint32_t tokens);
    /// How many more tokens an output that has reached `reached` will have, at quantile `q`.
    double remaining(length_key key, std::uint32_t reached, double q) const;
    /// The probability that an output which has reached `reached` tokens goes on for more than each
    /// of `ahead` further ones.
    void survival_ahead(length_key key, double reached, std::span<const double> ahead,
                        std::span<double> out) const;
    /// The expected final length of a new output.
    double expected(length_key key) const;
    /// How many subjects are known.
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        life_table own;
        std::uint32_t kind = 0;
        std::uint32_t model = 0;
        mutable length_curve curve;
        mutable std::uint32_t changes = 1;
        std::uint32_t ended = 0;
    };
    std::uint32_t table_index(const std::string& name);
    const length_curve& curve_of(length_key key) const;

    std::vector<entry> entries_;
    /// Tables of kinds and models.
    std::vector<life_table> tables_;
    std::unordered_map<std::string, std::uint32_t> subject_index_;
    std::unordered_map<std::string, std::uint32_t> table_index_;
};

} // namespace bamboostream
