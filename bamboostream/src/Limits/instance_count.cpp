#include "bamboostream/src/Limits/instance_count.h"

namespace bamboostream {

namespace {

constexpr seconds retention{60};

} // namespace

void instance_count::update(std::size_t live, time_point now) {
    live_ = live;
    while (!recent_.empty() && now - recent_.front().at > retention) {
        recent_.pop_front();
    }
    while (!recent_.empty() && recent_.back().live <= live) {
        recent_.pop_back();
    }
    recent_.push_back({now, live});
}

} // namespace bamboostream
