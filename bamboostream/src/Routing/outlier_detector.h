#pragma once

#include "bamboostream/src/Core/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bamboostream {

/// Takes backend servers out of use that fail several times in a row, and lets them back after a
/// time that grows with each ejection. Never more than a share of the group is out, so that a
/// fault of the network or of the callers cannot empty it.
class outlier_detector {
public:
    struct rules {
        int failures_in_a_row = 3;
        milliseconds base_ejection{2'000};
        milliseconds longest_ejection{30'000};
        double most_ejected_share = 0.34;
    };

    outlier_detector() = default;
    explicit outlier_detector(rules r) : rules_(r) {}

    void on_success(std::string_view backend, time_point now);
    /// `group_size` is the number of servers the floor is counted over.
    void on_failure(std::string_view backend, std::size_t group_size, time_point now);
    bool ejected(std::string_view backend, time_point now) const;
    void forget(std::string_view backend) { records_.erase(std::string(backend)); }

private:
    struct record {
        int failures = 0;
        int ejections = 0;
        time_point out_until{};
    };
    std::size_t ejected_count(time_point now) const;

    rules rules_;
    std::unordered_map<std::string, record> records_;
};

} // namespace bamboostream
