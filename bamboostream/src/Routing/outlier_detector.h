#pragma once

#include "bamboostream/src/Core/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bamboostream {

/// Outlier detection: ejects backend servers that fail several times in a row and readmits them
/// after a time that grows with each ejection. Never ejects more than a fraction of the group, so
/// that a fault of the network or of the callers can't empty it. Not thread-safe.
class outlier_detector {
public:
    struct rules {
        int consecutive_failures = 3;
        milliseconds base_ejection_time{2'000};
        milliseconds max_ejection_time{30'000};
        double max_ejected_fraction = 0.34;
    };

    outlier_detector() = default;
    explicit outlier_detector(rules r) : rules_(r) {}

    void on_success(std::string_view backend, time_point now);
    /// `group_size` is the number of servers to which the limit on ejections applies.
    void on_failure(std::string_view backend, std::size_t group_size, time_point now);
    bool ejected(std::string_view backend, time_point now) const;
    void forget(std::string_view backend) { histories_.erase(std::string(backend)); }

private:
    struct backend_history {
        int failures = 0;
        int ejections = 0;
        time_point ejected_until{};
    };
    std::size_t ejected_count(time_point now) const;

    rules rules_;
    std::unordered_map<std::string, backend_history> histories_;
};

} // namespace bamboostream
