#include "bamboostream/src/Gateway/store_duty.h"

#include <algorithm>

namespace bamboostream {

void store_duty::hear(bool fresh, std::int64_t configuration_version, time_point now) {
    told_version_ = std::max(told_version_, configuration_version);
    if (fresh) {
        last_fresh_ = now;
    }
}

milliseconds store_duty::pause_after_failure(bool is_reader, int failures) {
    constexpr milliseconds reader_pause{250};
    constexpr milliseconds first_pause{700};
    constexpr milliseconds longest_pause{2'800};
    if (is_reader) {
        return reader_pause;
    }
    milliseconds pause = first_pause;
    for (int i = 1; i < failures && pause < longest_pause; ++i) {
        pause *= 2;
    }
    return std::min(pause, longest_pause);
}

bool store_duty::covered(time_point now) const {
    return last_fresh_ && now - *last_fresh_ <= reader_silence;
}

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
