#include "bamboostream/src/Gateway/change_cursor.h"

namespace bamboostream {

change_cursor::change_action change_cursor::evaluate(std::int64_t previous, std::int64_t next) {
    if (next <= position_) {
        return change_action::known;
    }
    if (previous > position_) {
        return change_action::resync;
    }
    position_ = next;
    return change_action::apply;
}

} // namespace bamboostream
