#include "bamboostream/src/Gateway/change_cursor.h"

namespace bamboostream {

change_cursor::verdict change_cursor::evaluate(std::int64_t previous, std::int64_t next) {
    if (next <= position_) {
        return verdict::known;
    }
    if (previous > position_) {
        return verdict::resync;
    }
    position_ = next;
    return verdict::apply;
}

} // namespace bamboostream
