#include "bamboostream/src/Routing/carrier_answer.h"

#include <array>

namespace bamboostream {

std::string_view to_string(carrier_answer answer) {
    constexpr std::array<std::string_view, static_cast<std::size_t>(carrier_answer::count_)> names =
        {"connected", "refused", "no_answer", "cut_off", "busy", "no_reply", "leaving"};
    return names.at(static_cast<std::size_t>(answer));
}

} // namespace bamboostream
