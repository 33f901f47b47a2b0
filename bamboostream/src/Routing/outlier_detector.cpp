#include "bamboostream/src/Routing/outlier_detector.h"

#include <algorithm>

namespace bamboostream {

void outlier_detector::on_success(std::string_view backend, time_point now) {
    backend_history& r = histories_[std::string(backend)];
    r.failures = 0;
    if (now > r.ejected_until + rules_.max_ejection_time) {
        r.ejections = 0;
    }
}

std::size_t outlier_detector::ejected_count(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(histories_.begin(), histories_.end(),
                      [now](const auto& item) { return now < item.second.ejected_until; }));
}

void outlier_detector::on_failure(std::string_view backend, std::size_t group_size,
                                  time_point now) {
    backend_history& r = histories_[std::string(backend)];
    if (++r.failures < rules_.consecutive_failures || now < r.ejected_until) {
        return;
    }
    const double out_after = static_cast<double>(ejected_count(now)) + 1.0;
    if (out_after > rules_.max_ejected_fraction * static_cast<double>(group_size)) {
        return;
    }
    ++r.ejections;
    r.failures = 0;
    r.ejected_until = now + std::min<milliseconds>(rules_.base_ejection_time * r.ejections,
                                                   rules_.max_ejection_time);
}

bool outlier_detector::ejected(std::string_view backend, time_point now) const {
    const auto found = histories_.find(std::string(backend));
    return found != histories_.end() && now < found->second.ejected_until;
}

} // namespace bamboostream
