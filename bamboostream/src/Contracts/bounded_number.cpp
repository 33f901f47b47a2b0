#include "bamboostream/src/Contracts/bounded_number.h"

namespace bamboostream {

milliseconds duration_at(const boost::json::value& value, std::string_view name,
                         milliseconds default_value) {
    const boost::json::object* object = value.if_object();
    const boost::json::value* found = object != nullptr ? object->if_contains(name) : nullptr;
    if (found == nullptr || !found->is_number()) {
        return default_value;
    }
    return std::max(bounded_milliseconds(found->to_number<double>()), milliseconds{0});
}

} // namespace bamboostream
