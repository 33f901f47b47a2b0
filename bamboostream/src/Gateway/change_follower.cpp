#include "bamboostream/src/Gateway/change_follower.h"

namespace bamboostream {

change_follower::verdict change_follower::judge(std::int64_t previous, std::int64_t next) {
    if (next <= position_) {
        return verdict::known;
    }
    if (previous > position_) {
        return verdict::ask_for_all;
    }
    position_ = next;
    return verdict::apply;
}

} // namespace bamboostream
