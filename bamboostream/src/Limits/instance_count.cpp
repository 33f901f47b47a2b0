#include "bamboostream/src/Limits/instance_count.h"

namespace bamboostream {

namespace {

constexpr seconds retention{60};
constexpr seconds recent_end{10};

} // namespace

void instance_count::update(std::size_t live, std::size_t ended, time_point now) {
    live_ = live;
    if (ended > ended_) {
        last_end_ = now;
    }
    ended_ = ended;
    const std::size_t begun = live_ + ended_;
    while (!recent_.empty() && now - recent_.front().at > retention) {
        recent_.pop_front();
    }
    while (!recent_.empty() && recent_.back().begun <= begun) {
        recent_.pop_back();
    }
    recent_.push_back({now, begun});
}

bool instance_count::lost_only_ended(time_point now) const {
    return last_end_ && now - *last_end_ < recent_end && max_recent() == live_;
}

} // namespace bamboostream
