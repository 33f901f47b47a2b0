#include "bamboostream/src/Routing/objective.h"

#include <array>

namespace bamboostream {

namespace {
constexpr std::array<objective_rules, 2> table = {
    objective_rules{"stall_time", 2.0, 4.0, 8192, false, 0.5},
    objective_rules{"tail_latency", 1.8, 4.0, 4096, true, 0.25},
};
} // namespace

const objective_rules& rules_of(objective which) {
    return table[static_cast<std::size_t>(which)];
}

std::optional<objective> parse_objective(std::string_view name) {
    for (std::size_t i = 0; i < table.size(); ++i) {
        if (table[i].name == name) {
            return static_cast<objective>(i);
        }
    }
    return std::nullopt;
}

} // namespace bamboostream
